"""Reports errors that no code expected, from any thread: one log line and one count each.

An error that is expected is an outcome of its own type. What is left is a defect, and must be
found: the line has the step, the error, where it was raised, and its notes.
"""

import contextlib
import os
import threading
import traceback
from collections.abc import Callable

import structlog

MAX_ERROR_CHARACTERS = 500
"""Longest text of an error that is logged; a peer may have chosen it."""


def innermost_frame(error: BaseException) -> str:
    """Returns where an error was raised, as file, line and function; empty if unknown."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    frame = frames[-1]
    return f"{os.path.basename(frame.filename)}:{frame.lineno} {frame.name}"


def error_fields(error: BaseException) -> dict[str, object]:
    """Returns the fields of a log line that describe an error."""
    fields: dict[str, object] = {
        "error": f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARACTERS],
        "at": innermost_frame(error),
    }
    notes = getattr(error, "__notes__", None)
    if notes:
        fields["notes"] = [str(note)[:MAX_ERROR_CHARACTERS] for note in notes]
    return fields


def _ignore(step: str) -> None:
    """Counts nothing."""


class UnexpectedErrors:
    """Logs and counts unexpected errors; safe to call from any thread.

    Args:
        logger: receives a line for each error.
        count: called with the step of each error.
    """

    def __init__(
        self,
        logger: structlog.typing.FilteringBoundLogger | None = None,
        count: Callable[[str], None] = _ignore,
    ) -> None:
        self._logger = logger or structlog.get_logger()
        self._count = count

    def report(self, step: str, error: BaseException) -> None:
        """Reports an error that was raised at a step; never raises one itself."""
        with contextlib.suppress(Exception):
            self._count(step)
        with contextlib.suppress(Exception):
            self._logger.error("unexpected error", step=step, **error_fields(error))

    def watch_threads(self) -> None:
        """Reports errors that end threads, and that no other code has caught."""
        threading.excepthook = self._on_thread_error

    def _on_thread_error(self, failed: threading.ExceptHookArgs) -> None:
        if failed.exc_value is not None:
            name = failed.thread.name if failed.thread is not None else "unknown"
            self.report(f"thread {name.partition('-')[0]}", failed.exc_value)
