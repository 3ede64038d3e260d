"""Runs a gateway daemon whose time of day and links to other daemons the soak can disturb.

`python -m troutswitch.soak.clocked_daemon` accepts the same arguments and settings as the daemon.

The machine's clock does not change. On `SIGUSR1` the process reads an offset in seconds from the
file that `TROUTSWITCH_SOAK_CLOCK` names, and adds it to the time of day from then on. If
`TROUTSWITCH_SOAK_PEER_ADDRESS` is set, other daemons are told to send datagrams to that address,
where a relay of the soak receives them (`datagram_links`).
"""

import os
import runpy
import signal
import time
from pathlib import Path

CLOCK_VARIABLE = "TROUTSWITCH_SOAK_CLOCK"
"""Environment variable with the path of the file that contains the clock offset in seconds."""
PEER_ADDRESS_VARIABLE = "TROUTSWITCH_SOAK_PEER_ADDRESS"
"""Environment variable with the address of the relay for datagrams to this daemon, or empty."""


def install(file: Path) -> None:
    """Replaces `time.time` and reads the clock offset from the file on each `SIGUSR1`."""
    real_time = time.time
    offset_seconds = 0.0

    def read_offset(number: int, frame: object) -> None:
        nonlocal offset_seconds
        offset_seconds = float(file.read_text())

    signal.signal(signal.SIGUSR1, read_offset)
    time.time = lambda: real_time() + offset_seconds


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the daemon itself ignores it while it loads
    install(Path(os.environ[CLOCK_VARIABLE]))
    if os.environ.get(PEER_ADDRESS_VARIABLE):
        from troutswitch.soak.advertised_address import advertise  # after SIGHUP is ignored

        advertise(os.environ[PEER_ADDRESS_VARIABLE])
    runpy.run_module("troutswitch.gateway", run_name="__main__")
