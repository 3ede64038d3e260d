"""The clock goes on while the machine is suspended, and nothing uses another one.

What users would see: after a machine was suspended for seconds, its daemon goes on with leases
that others took over, gives engines more time than callers have left, and uses connections that
are long dead. Cause: `time.monotonic` stands still meanwhile. That no module uses it is checked by
the linter (rule TID251 in pyproject.toml), except in the soak and the stand-ins, which measure
their own machine.
"""

import time

import pytest

from troutswitch.clock import steady_seconds


def test_time_in_suspension_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    readings = {time.CLOCK_BOOTTIME: 110.0, time.CLOCK_MONOTONIC: 100.0}
    monkeypatch.setattr(time, "clock_gettime", lambda clock: readings[clock])
    assert steady_seconds() == 110.0
