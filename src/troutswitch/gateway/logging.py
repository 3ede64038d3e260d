"""JSON-line logging that never blocks the thread that logs.

Lines pass through a bounded queue to a thread that writes them to standard output. If the output is
not read and the queue fills, further lines are dropped and counted.
"""

import queue
import sys
import threading
import time

import structlog

from troutswitch.clock import steady_seconds

MAX_QUEUE_LINES = 4096
"""Maximum number of lines waiting to be written."""
FLUSH_POLL_SECONDS = 0.01


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
        """Does nothing; the thread flushes the output when the queue is empty."""

    def drain(self, seconds: float) -> None:
        """Waits until the queue is empty, for at most `seconds`."""
        deadline = steady_seconds() + seconds
        while not self._lines.empty() and steady_seconds() < deadline:
            time.sleep(FLUSH_POLL_SECONDS)

    def _run(self) -> None:
        with open(self._descriptor, "w", closefd=False) as output:
            while True:
                output.write(self._lines.get())
                if self._lines.empty():
                    output.flush()


def configure_line_logging(
    daemon: str,
) -> tuple[structlog.typing.FilteringBoundLogger, LineWriter]:
    """Configures structlog to write JSON lines to standard output without blocking."""
    writer = LineWriter(sys.stdout.fileno())
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
