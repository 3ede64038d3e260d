"""The clock file shifts a daemon's time of day, but not its monotonic clock."""

import os
import signal
import time
from pathlib import Path

import pytest

from troutswitch.clock import steady_seconds
from troutswitch.soak.clocked_daemon import install

JUMP_SECONDS = 1000.0


def test_sigusr1_shifts_the_time_of_day_to_the_offset_of_the_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_time = time.time
    monkeypatch.setattr(time, "time", real_time)  # restores it after the test
    previous_handler = signal.getsignal(signal.SIGUSR1)
    file = tmp_path / "clock"
    try:
        install(file)
        steady_start = steady_seconds()
        for offset_seconds in (JUMP_SECONDS, 0.0):
            file.write_text(str(offset_seconds))
            os.kill(os.getpid(), signal.SIGUSR1)
            assert abs(time.time() - real_time() - offset_seconds) < JUMP_SECONDS / 10
        assert steady_seconds() - steady_start < JUMP_SECONDS / 10
    finally:
        signal.signal(signal.SIGUSR1, previous_handler)
