import os
import time

from troutswitch.gateway.logging import MAX_QUEUE_LINES, LineWriter


def test_writing_does_not_block_if_the_output_is_not_read() -> None:
    """The pipe fills up, then the queue; further lines are dropped and counted."""
    _, writer = os.pipe()
    lines = LineWriter(writer)
    line = "x" * 1000 + "\n"
    for _ in range(3 * MAX_QUEUE_LINES):
        lines.write(line)
    assert lines.dropped > 0


def test_lines_are_written_in_order() -> None:
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    for number in range(100):
        lines.write(f"{number}\n")
    data = b""
    deadline = time.monotonic() + 20
    while data.count(b"\n") < 100 and time.monotonic() < deadline:
        data += os.read(reader, 65536)
    assert data.split() == [str(number).encode() for number in range(100)]
    assert lines.dropped == 0
