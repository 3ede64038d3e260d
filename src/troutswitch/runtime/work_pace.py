"""Bounds the processor time that one connection can cost, whatever its peer sends.

Each read and each line that is decoded is a step. A peer that sends single bytes or very short
lines causes many steps for few bytes. `WorkPace` lets a connection take some steps at once, and
makes its thread wait before the next read beyond that; the bytes that arrive meanwhile are then
read together.
"""

import time
from collections.abc import Callable

from troutswitch.clock import steady_seconds

STEPS_PER_SECOND = 2000.0
"""Mean rate of steps: at some 10 microseconds each, 2 % of a processor."""
BURST_STEPS = 1000.0
"""Steps that may follow each other without a pause: an answer in several hundred chunks."""
SMALL_READ_STEPS = 16
"""Steps that a small read counts as: it costs a system call and a switch of threads. Streams with
up to 100 events a second are read without a pause."""
SMALL_READ_BYTES = 4096
"""Reads of at least this size count as one step."""
BYTES_PER_STEP = 128
"""Received bytes that pay for one step: answers in larger chunks are read without a pause."""
MIN_PAUSE_SECONDS = 0.01
"""Shortest pause: bytes must have time to accumulate, or pauses would cost more than reads."""
MAX_PAUSE_SECONDS = 0.25
"""Longest pause: a thread must notice soon that it is to stop. Steps beyond are forgotten, as the
bytes of one read bound them."""


class WorkPace:
    """A token bucket of steps; all calls must come from one thread at a time.

    Args:
        read_clock: returns the time in seconds; it never decreases.
        sleep: waits for some seconds.
    """

    def __init__(
        self,
        read_clock: Callable[[], float] = steady_seconds,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._read_clock = read_clock
        self._sleep = sleep
        self._available = BURST_STEPS
        self._updated_at = read_clock()

    def spend_read(self, size: int) -> None:
        """Counts a read that returned `size` bytes."""
        self._available += size // BYTES_PER_STEP
        self.spend(SMALL_READ_STEPS if size < SMALL_READ_BYTES else 1)

    def spend(self, steps: int) -> None:
        """Counts steps."""
        self._available -= steps

    def pause(self) -> bool:
        """Waits if too many steps were taken, and returns whether; called before each read."""
        self._refill()
        if self._available >= 0:
            return False
        debt_seconds = -self._available / STEPS_PER_SECOND
        self._sleep(min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, debt_seconds)))
        self._available = max(self._available, -MAX_PAUSE_SECONDS * STEPS_PER_SECOND)
        self._refill()
        return True

    def _refill(self) -> None:
        now = self._read_clock()
        gained = (now - self._updated_at) * STEPS_PER_SECOND
        self._available = min(BURST_STEPS, self._available + gained)
        self._updated_at = now
