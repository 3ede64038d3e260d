"""The process's clock advances while the machine is suspended.

Guards against a daemon that, after a suspension of some seconds, keeps using leases that others
took over, gives engines more time than callers have left, and uses dead connections, because
`time.monotonic` does not advance during a suspension. The linter (rule TID251 in pyproject.toml)
forbids `time.monotonic` except in the soak and the stand-ins, which measure their own machine.
"""

import time

import pytest

from troutswitch.clock import steady_seconds


def test_time_in_suspension_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    readings = {time.CLOCK_BOOTTIME: 110.0, time.CLOCK_MONOTONIC: 100.0}
    monkeypatch.setattr(time, "clock_gettime", lambda clock: readings[clock])
    assert steady_seconds() == 110.0
