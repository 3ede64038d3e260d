"""Which software version began which stream, as far as this daemon knows.

Owns a bounded record of streams by the id of the request that brought their first event. A stream
that began again in a later attempt of the same request replaces the earlier one. Times are by this
process's clock, in seconds.
"""

import enum
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from troutswitch.common import stable_hash

ORIGIN_SECONDS = 60.0
"""Time for which an origin is kept: several times the longest time that callers wait."""
MAX_ORIGINS = 16_384
"""Maximum number of origins; the oldest are dropped first."""


def stream_key(request_id: str) -> int:
    """Returns the 64-bit key that identifies a stream in messages."""
    return stable_hash("stream", request_id)


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began: the keys of the service and of its engine's software version.

    `attempt` is the ordinal of the attempt that began it, within its request.
    """

    service: int
    version: int
    attempt: int


class NoOriginNeeded(enum.Enum):
    """No origins are kept, as engines never change their version: any may continue the stream."""

    ONE_VERSION = enum.auto()


ONE_VERSION = NoOriginNeeded.ONE_VERSION
Location = StreamOrigin | NoOriginNeeded
"""Where a stream may continue."""


@dataclass(frozen=True, slots=True)
class Located:
    """The result of a search; `location` is None if the origin is unknown."""

    token: int
    location: Location | None


@dataclass(frozen=True, slots=True)
class _Recorded:
    origin: StreamOrigin
    at: float
    is_own: bool


class OriginRecords:
    """The origins that this daemon keeps, of its own streams and of its peers'."""

    def __init__(self) -> None:
        self._by_stream: OrderedDict[int, _Recorded] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_stream)

    def add(self, now: float, stream: int, origin: StreamOrigin, *, is_own: bool) -> None:
        """Adds an origin, unless a later attempt of the same request is known."""
        known = self._by_stream.get(stream)
        if known is not None and known.origin.attempt > origin.attempt:
            return
        self._by_stream.pop(stream, None)
        self._by_stream[stream] = _Recorded(origin, now, is_own)
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        while self._by_stream:
            oldest = next(iter(self._by_stream))
            is_old = self._by_stream[oldest].at < now - ORIGIN_SECONDS
            if not is_old and len(self._by_stream) <= MAX_ORIGINS:
                return
            del self._by_stream[oldest]

    def find(self, now: float, stream: int) -> StreamOrigin | None:
        """Returns the origin of a stream, or None if it is not known."""
        known = self._by_stream.get(stream)
        return known.origin if known is not None and now - known.at < ORIGIN_SECONDS else None

    def own_since(self, since: float) -> Iterator[tuple[int, StreamOrigin]]:
        """Yields the streams that began here since a time, newest first."""
        for stream, recorded in reversed(self._by_stream.items()):
            if recorded.at < since:
                return
            if recorded.is_own:
                yield stream, recorded.origin
