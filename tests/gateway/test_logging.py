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


def test_lines_are_written_again_after_the_output_failed() -> None:
    """Guards against a daemon that logs nothing any more after one failed write."""
    reader, writer = os.pipe()
    null = os.open("/dev/full", os.O_WRONLY)
    output = os.dup(null)
    lines = LineWriter(output)
    lines.write("lost\n")
    lines.drain(20.0)
    assert lines.dropped == 1
    os.dup2(writer, output)
    lines.write("kept\n")
    lines.drain(20.0)
    assert os.read(reader, 100) == b"kept\n"


def test_lines_wait_for_an_output_that_does_not_block() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    lines = LineWriter(writer)
    line = "x" * 999 + "\n"
    for _ in range(200):
        lines.write(line)
    received = 0
    while received < 200_000:
        received += len(os.read(reader, 65536))
    lines.drain(20.0)
    assert (received, lines.dropped) == (200_000, 0)
