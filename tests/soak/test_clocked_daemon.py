"""A daemon's time of day follows the soak's file, and its steady clock doesn't."""

import os
import signal
import time
from pathlib import Path

import pytest

from troutswitch.clock import steady_seconds
from troutswitch.soak.clocked_daemon import install

JUMP_SECONDS = 1000.0


def test_the_time_of_day_jumps_at_the_signal_and_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_time = time.time
    monkeypatch.setattr(time, "time", real_time)  # restores it after the test
    before = signal.getsignal(signal.SIGUSR1)
    file = tmp_path / "clock"
    try:
        install(file)
        steady = steady_seconds()
        for offset_seconds in (JUMP_SECONDS, 0.0):
            file.write_text(str(offset_seconds))
            os.kill(os.getpid(), signal.SIGUSR1)
            assert abs(time.time() - real_time() - offset_seconds) < JUMP_SECONDS / 10
        assert steady_seconds() - steady < JUMP_SECONDS / 10
    finally:
        signal.signal(signal.SIGUSR1, before)
