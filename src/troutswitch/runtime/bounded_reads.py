"""Reads of a socket within limits: an absolute deadline, a number of bytes and a pace of work.

A socket's own timeout starts again with each byte. A peer that sends without end, quickly or one
byte at a time, would occupy the calling thread, memory or processor without a bound.
"""

import io
import socket
from dataclasses import dataclass, field

from troutswitch.clock import steady_seconds
from troutswitch.runtime.work_pace import WorkPace

MIN_TIMEOUT_SECONDS = 0.001
"""Minimum socket timeout; 0 would make the socket non-blocking."""
MAX_READ_BYTES = 1 << 16
"""Most bytes of one read, so that the work between two reads is bounded."""
PACED_READ_BYTES = 1 << 12
"""The same after a pause: these bytes cost far more work than usual."""


class ReadLimitExceeded(OSError):
    """The peer sent more, or for longer, than an answer may.

    It is no `TimeoutError`, which stands for a peer that sent nothing.
    """


@dataclass(slots=True)
class ReadLimits:
    """What may still be read.

    `wait_seconds` bounds each read, `deadline` all of them, in seconds of the process's steady
    clock. `bytes_left` is the number of bytes that may still be read.
    """

    wait_seconds: float
    deadline: float
    bytes_left: float
    pace: WorkPace = field(default_factory=WorkPace)

    def begin_read(self, connected: socket.socket) -> int:
        """Waits if there were too many reads, and sets the timeout of the next one.

        Returns:
            The number of bytes that it may return.

        Raises:
            ReadLimitExceeded: a limit is reached.
        """
        max_bytes = PACED_READ_BYTES if self.pace.pause() else MAX_READ_BYTES
        if self.bytes_left <= 0:
            raise ReadLimitExceeded("the answer is too long")
        seconds_left = self.deadline - steady_seconds()
        if seconds_left <= 0:
            raise ReadLimitExceeded("the answer took too long")
        connected.settimeout(max(MIN_TIMEOUT_SECONDS, min(self.wait_seconds, seconds_left)))
        return int(min(self.bytes_left, max_bytes))

    def end_read(self, size: int) -> None:
        """Counts a read that returned `size` bytes."""
        self.bytes_left -= size
        self.pace.spend_read(size)


class BoundedReads(io.RawIOBase):
    """The bytes that arrive at a socket. The limits may be changed between reads.

    The socket stays open until both it and this object are closed.
    """

    def __init__(self, connected: socket.socket, limits: ReadLimits) -> None:
        super().__init__()
        self._socket = connected
        self._raw = connected.makefile("rb", buffering=0)
        self._limits = limits

    def readable(self) -> bool:
        """Returns true."""
        return True

    def readinto(self, buffer: memoryview) -> int | None:  # type: ignore[override]
        """Reads some bytes; returns their number, 0 at the end of the stream.

        Raises:
            TimeoutError: nothing arrived in time.
            ReadLimitExceeded: a limit is reached.
            OSError: the connection failed.
        """
        max_bytes = self._limits.begin_read(self._socket)
        size = self._raw.readinto(buffer[:max_bytes])
        self._limits.end_read(size or 0)
        return int(size or 0)

    def close(self) -> None:
        """Closes this reader."""
        self._raw.close()
        super().close()
