"""The account of the bytes that this process holds for callers, engines and jobs.

All threads of the process share it. One lock guards all entries; nothing else is locked, and no
other code is called, while it is held, except the functions of `observe`, which take no lock.
`pressure` decides what fits and which readers are closed.
"""

import itertools
import threading
from collections.abc import Callable
from typing import Protocol

from troutswitch.gateway.memory import pressure
from troutswitch.gateway.memory.limits import LARGE_ANSWERS_BYTES, MemoryLimits
from troutswitch.gateway.memory.pressure import Kind, Reader

BODY_REFUSED = "body refused for memory"
READER_CLOSED = "reader closed for memory"


class Log(Protocol):
    """Writes one log line."""

    def __call__(self, event: str, **fields: object) -> None:
        """Writes a line with its fields."""
        ...


def _no_log(event: str, **fields: object) -> None:
    """Writes nothing."""


class OpenReader(Protocol):
    """The connection of a caller with an unread answer."""

    def describe(self, number: int) -> Reader:
        """Returns how slowly the caller reads; called with the account's lock held."""
        ...

    def close_slow(self) -> None:
        """Closes the connection soon; its bytes are released when it is closed."""
        ...


class Holding:
    """Bytes of one kind that one owner holds; 0 at first and after `release`."""

    def __init__(self, account: "MemoryAccount", kind: Kind) -> None:
        self._account = account
        self.kind = kind
        self.size = 0

    def try_resize(self, size: int) -> bool:
        """Holds `size` bytes if that fits, and returns whether it does; shrinking always fits."""
        return self._account.resize(self, size, is_forced=False)

    def resize(self, size: int) -> None:
        """Holds `size` bytes, even beyond the limit."""
        self._account.resize(self, size, is_forced=True)

    def release(self) -> None:
        """Holds nothing any more; may be called repeatedly, from any thread."""
        self._account.resize(self, 0, is_forced=True)


class MemoryAccount:
    """Entries by kind, their high-water mark, and the callers with unread answers.

    Args:
        limits: the limits; without a limit everything fits.
        log: writes log lines; called without the lock.
    """

    def __init__(self, limits: MemoryLimits | None = None, log: Log = _no_log) -> None:
        self.limits = limits or MemoryLimits()
        self.log = log
        self.high_water = 0
        """Most bytes held at once."""
        self._held = dict.fromkeys(Kind, 0)
        self._observed: dict[Kind, Callable[[], int]] = {}
        self._readers: dict[int, OpenReader] = {}
        self._closing: dict[int, int] = {}
        """Unread bytes of readers that are being closed, by number."""
        self._numbers = itertools.count(1)
        self._large_bytes = 0
        """What answers hold beyond the usual size."""
        self._lock = threading.Lock()

    @property
    def is_limited(self) -> bool:
        """Whether the account has a limit."""
        return self.limits.account_bytes > 0

    def observe(self, kind: Kind, read: Callable[[], int]) -> None:
        """Adds to a kind what `read` returns: bytes whose owner counts them itself."""
        self._observed[kind] = read

    def held(self, kind: Kind) -> int:
        """Returns the bytes held of a kind."""
        read = self._observed.get(kind)
        return self._held[kind] + (read() if read is not None else 0)

    @property
    def total(self) -> int:
        """Bytes of all kinds that take room in the account."""
        observed = sum(read() for read in self._observed.values())
        return sum(self._held.values()) + pressure.counted(observed, self.limits.account_bytes)

    def resize(self, holding: Holding, size: int, is_forced: bool) -> bool:
        """Changes the size of a holding, and returns whether the change was made."""
        with self._lock:
            change = size - holding.size
            if change > 0:
                total = self.total
                if not is_forced and not self._fits(holding.kind, change, total, size):
                    return False
                self.high_water = max(self.high_water, total + change)
            holding.size = size
            self._held[holding.kind] += change
            assert self._held[holding.kind] >= 0, "more was released than held"
            return True

    def _fits(self, kind: Kind, change: int, total: int, size: int) -> bool:
        """Returns whether a holding may grow to `size`: its whole size tells if it is large."""
        return pressure.fits(kind, size, total - (size - change), self.limits.account_bytes)

    def reserve_large(self, change: int) -> bool:
        """Reserves room for what an answer has beyond the usual size; returns whether there is any.

        The room is bounded even without a limit of the account.
        """
        with self._lock:
            total = self._large_bytes + change
            if change > 0 and total > LARGE_ANSWERS_BYTES:
                return False
            self._large_bytes = total
            return True

    def move(self, holding: Holding, kind: Kind) -> None:
        """Changes the kind of a holding."""
        with self._lock:
            self._held[holding.kind] -= holding.size
            self._held[kind] += holding.size
            holding.kind = kind

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached, so that further answers must wait for room."""
        return self.is_limited and self.total >= self.limits.account_bytes

    # Readers.

    def next_number(self) -> int:
        """Returns a new number for a reader."""
        return next(self._numbers)

    def add_reader(self, number: int, reader: OpenReader) -> None:
        """Adds a caller that now has an unread answer."""
        with self._lock:
            self._readers[number] = reader

    def remove_reader(self, number: int) -> None:
        """Removes a caller that has read everything, or whose connection is closed."""
        with self._lock:
            self._readers.pop(number, None)
            self._closing.pop(number, None)

    def relieve(self) -> None:
        """Closes the slowest readers if the account holds too much."""
        with self._lock:
            chosen = self._choose_readers()
            held = self.total
        for described, reader in chosen:
            self.log(
                READER_CLOSED,
                reason="the account is full",
                **reader_fields(described),
                held_bytes=held,
                limit_bytes=self.limits.account_bytes,
            )
            reader.close_slow()

    def _choose_readers(self) -> list[tuple[Reader, OpenReader]]:
        limit = self.limits.account_bytes
        bytes_to_free = pressure.excess(self.total - sum(self._closing.values()), limit)
        if not self.is_limited or bytes_to_free <= 0:
            return []
        described = [
            reader.describe(number)
            for number, reader in self._readers.items()
            if number not in self._closing
        ]
        chosen = pressure.readers_to_close(described, bytes_to_free)
        for reader in chosen:
            self._closing[reader.number] = reader.unread_bytes
        return [(reader, self._readers[reader.number]) for reader in chosen]


def reader_fields(reader: Reader) -> dict[str, object]:
    """Returns the fields of a log line about a reader."""
    return {
        "request_id": reader.request_id,
        "idle_ms": round(reader.idle_seconds * 1000),
        "lag_ms": round(reader.lag_seconds * 1000),
        "unread_bytes": reader.unread_bytes,
        "is_job_read": reader.is_job_read,
    }
