"""JSON-line logging that never blocks the thread that logs.

Lines pass through a bounded queue to a thread that writes them to standard output. If the output is
not read and the queue fills, further lines are dropped and counted.
"""

import contextlib
import os
import queue
import select
import threading
import time

import structlog

from troutswitch.clock import steady_seconds
from troutswitch.runtime.standard_streams import STANDARD_OUTPUT

MAX_QUEUE_LINES = 4096
"""Maximum number of lines waiting to be written."""
MAX_BATCH_LINES = 256
"""Maximum number of lines written by one call."""
DRAIN_POLL_SECONDS = 0.01
WRITABLE_WAIT_MILLISECONDS = 1000
"""Longest wait for room in an output that does not block."""


class LineWriter:
    """A file-like object whose `write` queues whole lines.

    Args:
        descriptor: file descriptor to which the lines are written.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUE_LINES)
        self._descriptor = descriptor
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queues a line; drops and counts it if the queue is full."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Does nothing; the thread writes lines as they come."""

    def drain(self, seconds: float) -> None:
        """Waits until all lines are written or dropped, for at most `seconds`."""
        deadline = steady_seconds() + seconds
        while self._lines.unfinished_tasks and steady_seconds() < deadline:
            time.sleep(DRAIN_POLL_SECONDS)

    def _run(self) -> None:
        while True:
            lines = [self._lines.get()]
            with contextlib.suppress(queue.Empty):
                while len(lines) < MAX_BATCH_LINES:
                    lines.append(self._lines.get_nowait())
            if not self._try_write("".join(lines).encode(errors="replace")):
                self.dropped += len(lines)
            for _ in lines:
                self._lines.task_done()

    def _try_write(self, data: bytes) -> bool:
        """Writes lines, and returns False if the output fails: it may take later ones again."""
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                poller = select.poll()
                poller.register(self._descriptor, select.POLLOUT)
                poller.poll(WRITABLE_WAIT_MILLISECONDS)
            except OSError:
                return False
        return True


def configure_line_logging(
    daemon: str,
) -> tuple[structlog.typing.FilteringBoundLogger, LineWriter]:
    """Configures structlog to write JSON lines to standard output without blocking."""
    writer = LineWriter(STANDARD_OUTPUT)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(writer),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger().bind(daemon=daemon)
    return logger, writer
