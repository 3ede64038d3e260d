"""The clock by which all leases, deadlines and ages of this process are kept.

It goes on while the machine is suspended, which `time.monotonic` does not: a daemon that was
suspended for ten seconds would go on with leases that others have taken over, give engines ten
seconds more than its callers wait, and take a list of engines of ten seconds ago for a new one.
Waits of the kernel (sockets, queues) still go by the other clock; they end late by what was left
of them, so nothing may be concluded from a wait alone.
"""

import time


def steady_seconds() -> float:
    """Returns seconds since the machine's start, suspensions included; it never goes back."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
