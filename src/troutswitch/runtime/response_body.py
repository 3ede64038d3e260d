"""Reads the body of a response strictly by its framing (RFC 9112, sections 6 and 7).

`http.client` takes the end of a connection for the end of a body in several cases: where it knows
no length, inside the last chunk's line, and after it. Here a body ends only at the mark of its end.
"""

import http.client
import re
from collections.abc import Iterator

from troutswitch.runtime.line_reader import READ_BYTES, LineReader
from troutswitch.wire_values import Framing

MAX_CHUNK_LINE_BYTES = 4096
"""Longest line of a chunk's size with its extensions, and of a trailer."""
LINE_END = b"\r\n"

_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")


def body_pieces(reader: LineReader, framing: Framing, length: int) -> Iterator[bytes]:
    """Yields a body's bytes as they arrive.

    Args:
        reader: the connection's reader, at the beginning of the body.
        framing: how the end of the body is marked.
        length: bytes of a body with a length.

    Raises:
        http.client.HTTPException: the body was cut, is malformed, or its end is not marked.
        ReadLimitExceeded: the sizes of its chunks or the trailers are too long.
        OSError: the connection failed or a read timed out.
    """
    match framing:
        case Framing.NO_BODY:
            return iter(())
        case Framing.LENGTH:
            return _exactly(reader, length)
        case Framing.CHUNKED:
            return _chunks(reader)
        case Framing.CLOSE | Framing.MALFORMED:
            raise http.client.HTTPException("the end of the body is not marked")


def pieces_until_closed(reader: LineReader) -> Iterator[bytes]:
    """Yields the bytes of a body whose end is not marked, until the connection ends.

    Raises:
        OSError: the connection failed or a read timed out.
    """
    while data := reader.read1(READ_BYTES):
        yield data


def _exactly(reader: LineReader, length: int) -> Iterator[bytes]:
    left = length
    while left:
        data = reader.read1(min(left, READ_BYTES))
        if not data:
            raise http.client.IncompleteRead(b"", left)
        left -= len(data)
        reader.add_body_bytes(len(data))
        yield data


def _chunks(reader: LineReader) -> Iterator[bytes]:
    while True:
        if data := _received_chunks(reader):
            yield data
            continue
        size = _chunk_size(_read_line(reader))
        if not size:
            break
        yield from _exactly(reader, size)
        if reader.read(len(LINE_END)) != LINE_END:
            raise http.client.HTTPException("a chunk is longer than its size")
    while _read_line(reader) != LINE_END:  # trailers are dropped
        continue


def _received_chunks(reader: LineReader) -> bytes:
    """Returns the data of the chunks that have arrived whole; waits for bytes if there are none.

    Many short chunks then cost their reader's caller one piece. The chunk with which a body ends,
    and one that is malformed or arrived in part, are left to be read in order.
    """
    received = reader.peek(1)
    parts: list[bytes] = []
    position = line_bytes = 0
    while match := _CHUNK_LINE.match(received, position):
        begin, size = match.end(), int(match[1], 16)
        end = begin + size + len(LINE_END)
        if not size or len(match[0]) > MAX_CHUNK_LINE_BYTES or not _ends_line(received, end):
            break
        parts.append(received[begin : begin + size])
        line_bytes += len(match[0])
        position = end
    reader.read(position)
    data = b"".join(parts)
    reader.add_body_bytes(len(data))
    reader.spend_lines(2 * len(parts), line_bytes)
    return data


def _ends_line(received: bytes, end: int) -> bool:
    return end <= len(received) and received[end - len(LINE_END) : end] == LINE_END


def _chunk_size(line: bytes) -> int:
    match = _CHUNK_LINE.fullmatch(line)
    if match is None:
        raise http.client.HTTPException("the size of a chunk is malformed")
    return int(match[1], 16)


def _read_line(reader: LineReader) -> bytes:
    line = reader.readline(MAX_CHUNK_LINE_BYTES)
    if not line.endswith(LINE_END):
        raise http.client.HTTPException("a line of a chunked body is cut or too long")
    return line
