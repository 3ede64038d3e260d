"""JSON-line logs that never hold up their writer.

Lines go through a bounded queue to one thread that writes them to standard output. When
nobody reads the output, lines are dropped and counted, and the count is logged later.
"""

import queue
import sys
import threading
import time

import structlog

from troutswitch.clock import steady_seconds

QUEUE_LINES_MOST = 4096


class LineWriter:
    """A file-like object whose `write` puts whole lines in a queue."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._lines: queue.Queue[str] = queue.Queue(QUEUE_LINES_MOST)
        self._descriptor = descriptor
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Takes a line, or drops and counts it."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Does nothing: the thread writes as it can."""

    def drain(self, seconds: float) -> None:
        """Waits until the lines so far were written, up to some seconds."""
        until = steady_seconds() + seconds
        while not self._lines.empty() and steady_seconds() < until:
            time.sleep(0.01)

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
