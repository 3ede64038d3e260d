"""Decides how long each read of one reader may take, and when the next one is sent.

Inputs: the reads in flight, the number of consecutive failures, and this process's clock, in
seconds.

Rule:

- The timeout is `INITIAL_TIMEOUT_SECONDS`, doubled with each failure up to `MAX_TIMEOUT_SECONDS`.
- A read without an answer after `repeat_after` seconds is sent again without abandoning the first,
  with at most `MAX_READS_IN_FLIGHT` in flight. The first answer is used, the others are ignored.
- After a failure with no other read in flight, the next read is sent after a pause.
- While reads fail, each is sent on a new connection.

Why: a slow store answers late, so timeouts must grow. A store that recovers from an outage never
answers the reads that were sent during it, so a reader that only waited for its timeout would learn
nothing for that long after the recovery. Open connections may stay silent forever while new ones
work.

Owns the reads in flight. The reader makes the calls and handles their outcomes.
"""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

INITIAL_TIMEOUT_SECONDS = 0.6
"""Timeout without previous failures: a healthy store answers far sooner."""
MAX_TIMEOUT_SECONDS = 3.0
MAX_TIMEOUT_DOUBLINGS = 5
MISSING_OUTCOME_SECONDS = 2.0
"""Time after its timeout at which a call without any outcome counts as failed."""
MAX_READS_IN_FLIGHT = 6
"""Each read in flight occupies a thread until its timeout. This is one more than the reads that are
sent during the longest timeout if one is repeated every 0.6 s."""
MIN_RETRY_PAUSE_SECONDS = 0.1
"""Minimum pause after a failure; the pause doubles with each one."""
MAX_RETRY_PAUSE_SECONDS = 1.0
MAX_RETRY_DOUBLINGS = 6


class CallNumbers:
    """Source of unique numbers for the store calls of one process."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)

    def next(self) -> int:
        """Returns the next unused number."""
        return next(self._numbers)


@dataclass(frozen=True, slots=True)
class ReadAttempt:
    """One read. Times are by this process's clock, in seconds.

    `timeout` bounds the read in addition to its wait at the store. If there is no outcome by
    `lost_at`, the read counts as failed.
    """

    call: int
    requested_at: float
    timeout: float
    lost_at: float
    on_new_connection: bool


class ReadAttempts:
    """The reads of one reader.

    Args:
        numbers: source of call numbers.
        rng: source of jitter.
        pause: returns the pause, in seconds, after a number of consecutive failures. By default it
            doubles with each failure up to `MAX_RETRY_PAUSE_SECONDS`, with jitter.

    Attributes:
        repeat_after: seconds without an answer, beyond the wait at the store, after which another
            read is sent; infinite for readers that never repeat a read in flight.
        failures: number of reads that failed since the last success.
        failing_since: when the first of these failed, or infinite.
    """

    def __init__(
        self,
        numbers: CallNumbers,
        rng: random.Random,
        pause: Callable[[int], float] | None = None,
    ) -> None:
        self.repeat_after = float("inf")
        self.failures = 0
        self.failing_since = float("inf")
        self._numbers = numbers
        self._rng = rng
        self._pause = pause or self._doubling_pause
        self._in_flight: dict[int, ReadAttempt] = {}
        self._due = float("-inf")
        self._doubts_connections = False

    def _doubling_pause(self, failures: int) -> float:
        doublings = min(failures, MAX_RETRY_DOUBLINGS)
        pause: float = min(MIN_RETRY_PAUSE_SECONDS * 2**doublings, MAX_RETRY_PAUSE_SECONDS)
        return pause * self._rng.uniform(0.5, 1.0)

    def owns(self, call: int) -> bool:
        """Returns whether a store call is one of the reads in flight."""
        return call in self._in_flight

    @property
    def is_reading(self) -> bool:
        """Whether a read is in flight."""
        return bool(self._in_flight)

    def read_seconds(self, now: float) -> float:
        """Returns how long the oldest read in flight has taken, or 0 without one.

        Safe to call from any thread.
        """
        begun = [attempt.requested_at for attempt in tuple(self._in_flight.values())]
        return now - min(begun, default=now)

    def next_due(self) -> float:
        """Returns when a read is due, or when a read in flight counts as failed."""
        lost = (attempt.lost_at for attempt in self._in_flight.values())
        due = float("inf") if self._is_full else self._due
        return min(due, min(lost, default=float("inf")))

    @property
    def _is_full(self) -> bool:
        return len(self._in_flight) >= MAX_READS_IN_FLIGHT

    def is_due(self, now: float) -> bool:
        """Marks overdue reads as failed; returns whether a read is to be sent now."""
        lost = [call for call, attempt in self._in_flight.items() if now >= attempt.lost_at]
        for call in lost:
            self.on_failed(now, call)
        return now >= self._due and not self._is_full

    def begin(self, now: float, wait: float = 0.0) -> ReadAttempt:
        """Records a read that is sent now and may wait at the store for `wait` seconds."""
        doublings = min(self.failures, MAX_TIMEOUT_DOUBLINGS)
        timeout = min(INITIAL_TIMEOUT_SECONDS * 2**doublings, MAX_TIMEOUT_SECONDS)
        is_suspect = self._doubts_connections or bool(self.failures or self._in_flight)
        lost_at = now + wait + timeout + MISSING_OUTCOME_SECONDS
        attempt = ReadAttempt(self._numbers.next(), now, timeout, lost_at, is_suspect)
        self._in_flight[attempt.call] = attempt
        self._due = now + wait + self.repeat_after
        return attempt

    def on_succeeded(self, call: int, due: float) -> ReadAttempt:
        """Records an answered read and abandons the others; the next read is due at `due`."""
        attempt = self._in_flight[call]
        self._in_flight.clear()
        self._due = due
        self.failures = 0
        self.failing_since = float("inf")
        self._doubts_connections = False
        return attempt

    def on_failed(self, now: float, call: int) -> None:
        """Records a failed read; a pause follows unless another read is in flight."""
        del self._in_flight[call]
        self.failures += 1
        self.failing_since = min(self.failing_since, now)
        if not self._in_flight:
            self._due = now + self._pause(self.failures)

    def read_now(self, now: float) -> None:
        """Makes another read due now, on a new connection, without abandoning those in flight."""
        self._due = min(self._due, now)
        self._doubts_connections = True

    def abandon(self, due: float, *, doubts_connections: bool = False) -> None:
        """Abandons the reads in flight; the next read is due at `due`.

        With `doubts_connections`, the next read is sent on a new connection.
        """
        self._in_flight.clear()
        self._due = due
        self._doubts_connections |= doubts_connections
