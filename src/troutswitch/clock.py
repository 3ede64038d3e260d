"""The clock for all leases, deadlines and ages of this process.

It advances while the machine is suspended, which `time.monotonic` does not. With the latter, a
daemon that was suspended for ten seconds would keep using leases that others have taken over, give
engines ten seconds more than its callers wait, and treat a list of engines that is ten seconds old
as new.

The kernel's waits (sockets, queues) still use the monotonic clock: after a suspension they last for
their remaining time. The end of a wait therefore proves nothing about the time that has passed.
"""

import time


def steady_seconds() -> float:
    """Returns the seconds since the machine started, including suspensions; it never decreases."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
