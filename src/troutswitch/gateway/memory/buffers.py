"""Buffers for bodies and answers that stay in memory and free what has been read.

They replace waitress's buffers, which keep bytes that were read until the buffer is rotated, and
continue in a temporary file beyond a size. Both have the methods that waitress calls.
"""

from collections import deque
from dataclasses import dataclass

from troutswitch.clock import steady_seconds

BODY_CHUNK_BYTES = 64 * 1024
"""Bytes that are joined while a body arrives, so that small segments take no object each."""
MERGED_BYTES = 16 * 1024
"""Bytes of small writes that are joined to one entry of an answer."""
MERGE_SECONDS = 0.25
"""Time within which small writes are joined: an entry has one age."""
SEND_BYTES = 256 * 1024
"""Bytes that are passed to the socket at once; they are copied."""


class BodyBuffer:
    """The body of one request; `read` removes what it returns."""

    def __init__(self) -> None:
        self._chunks: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Adds received bytes."""
        if not self._chunks or len(self._chunks[-1]) >= BODY_CHUNK_BYTES:
            self._chunks.append(bytearray())
        self._chunks[-1] += data
        self._size += len(data)

    def getfile(self) -> "BodyBuffer":
        """Returns the object that the application reads."""
        return self

    def read(self, size: int = -1) -> bytes:
        """Removes and returns up to `size` bytes; all if it is negative."""
        data = b"".join(self._chunks)
        self.close()
        if 0 <= size < len(data):
            self.append(data[size:])
            return data[:size]
        return data

    def close(self) -> None:
        """Drops everything."""
        self._chunks = []
        self._size = 0


@dataclass(slots=True)
class _Entry:
    """Bytes written at a time, of which the first `position` have been read."""

    data: bytes | bytearray
    written_at: float
    position: int = 0


class AnswerBuffer:
    """Bytes written for a caller that it has not read; the channel serializes all calls."""

    def __init__(self) -> None:
        self.oldest_at: float | None = None
        """When the oldest unread byte was written, None without any; read by any thread."""
        self._entries: deque[_Entry] = deque()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Adds bytes; a large write is kept as it is, without a copy."""
        now = steady_seconds()
        last = self._entries[-1] if self._entries else None
        if (
            last is not None
            and isinstance(last.data, bytearray)
            and len(last.data) + len(data) <= MERGED_BYTES
            and now - last.written_at <= MERGE_SECONDS
        ):
            last.data += data
        elif len(data) < MERGED_BYTES:
            self._entries.append(_Entry(bytearray(data), now))
        else:
            self._entries.append(_Entry(data, now))
        self._size += len(data)
        self._update_oldest()

    def get(self, size: int = -1) -> bytes:
        """Returns a copy of the next bytes: at most `size`, and at most those of one entry."""
        if not self._entries:
            return b""
        entry = self._entries[0]
        limit = SEND_BYTES if size < 0 else min(size, SEND_BYTES)
        return bytes(memoryview(entry.data)[entry.position : entry.position + limit])

    def skip(self, size: int, allow_prune: bool = False) -> None:
        """Removes the next `size` bytes, which were read."""
        self._size -= size
        while size > 0:
            entry = self._entries[0]
            taken = min(size, len(entry.data) - entry.position)
            entry.position += taken
            size -= taken
            if entry.position == len(entry.data):
                self._entries.popleft()
        self._update_oldest()

    def _update_oldest(self) -> None:
        self.oldest_at = self._entries[0].written_at if self._entries else None

    def close(self) -> None:
        """Drops everything."""
        self._entries.clear()
        self._size = 0
        self.oldest_at = None
