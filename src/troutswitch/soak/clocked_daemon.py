"""Runs a gateway daemon whose time of day the soak sets off.

`python -m troutswitch.soak.clocked_daemon` takes what the daemon takes.

The machine's clock stays as it is. At `SIGUSR1` the process reads from the file that
`TROUTSWITCH_SOAK_CLOCK` names by how many seconds its time of day is ahead, and goes by that.
"""

import os
import runpy
import signal
import time
from pathlib import Path

CLOCK_VARIABLE = "TROUTSWITCH_SOAK_CLOCK"
"""Names the file with the seconds by which the time of day is ahead."""


def install(file: Path) -> None:
    """Has the time of day of this process follow the file."""
    real_time = time.time
    offset_seconds = 0.0

    def read(number: int, frame: object) -> None:
        nonlocal offset_seconds
        offset_seconds = float(file.read_text())

    signal.signal(signal.SIGUSR1, read)
    time.time = lambda: real_time() + offset_seconds


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # as the daemon itself does while it loads
    install(Path(os.environ[CLOCK_VARIABLE]))
    runpy.run_module("troutswitch.gateway", run_name="__main__")
