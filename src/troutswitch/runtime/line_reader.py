"""Reads the lines of HTTP answers, each of which must be whole.

`http.client` takes the end of a connection for the end of a head, a line that is cut for a whole
one, and a CR inside a line for the line's end. All clients read answers through a `LineReader`, so
a head is complete only if its blank line was received (RFC 9112, sections 2.2 and 8). Its parser
also reads a status as any number that Python does; here it has three digits, the first from 1 to 5
(RFC 9110, section 15).
"""

import http.client
import io
import re

from troutswitch.runtime.work_pace import WorkPace

READ_BYTES = 1 << 16
STATUS_LINE_START = b"HTTP/"
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n")


class LineReader(io.BufferedReader):
    """A buffered reader whose lines are whole, and count as steps of work.

    Args:
        source: the bytes, up to the end of the stream.
        pace: bounds the work of the connection.
    """

    def __init__(self, source: io.RawIOBase, pace: WorkPace) -> None:
        super().__init__(source, READ_BYTES)
        self._pace = pace

    def spend_lines(self, count: int, size: int) -> None:
        """Counts lines outside bodies, of `size` bytes together.

        Raises:
            ReadLimitExceeded: there were too many of them.
        """
        self._pace.spend(count)

    def add_body_bytes(self, size: int) -> None:
        """Counts bytes of a body."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Returns the next line, or its first `size` bytes if it is longer.

        Raises:
            http.client.RemoteDisconnected: the stream ended before or inside the line.
            http.client.HTTPException: a CR inside the line, which the parser of heads takes for the
                line's end: the rest of a value would be a header (RFC 9112, section 2.2).
            http.client.BadStatusLine: a status line without a status.
            ReadLimitExceeded: there were too many lines.
        """
        line = super().readline(-1 if size is None else size)
        if not line.endswith(b"\n") and len(line) != size:
            raise http.client.RemoteDisconnected("the response ended inside its head or a line")
        if b"\r" in line.removesuffix(b"\n").removesuffix(b"\r"):
            raise http.client.HTTPException("a line of the response has a CR inside")
        if line.startswith(STATUS_LINE_START) and not _STATUS_LINE.fullmatch(line):
            raise http.client.BadStatusLine(line[:100].decode(errors="replace"))
        self.spend_lines(1, len(line))
        return line
