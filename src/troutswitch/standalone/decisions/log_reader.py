"""Log reads: assigns a token to each read and passes the answer to its handler."""

from collections.abc import Callable

from troutswitch.standalone.constants import LOG_READ_LIMIT_ENTRIES
from troutswitch.standalone.decisions.effects import Effect, ReadLog
from troutswitch.standalone.decisions.events import LogRead, LogReadFailed

ReadHandler = Callable[[float, LogRead | LogReadFailed], list[Effect]]


class LogReader:
    """Issues read tokens and dispatches each answer to the handler of its token."""

    def __init__(self) -> None:
        self._handlers: dict[int, ReadHandler] = {}
        self._last_token = 0

    def read(
        self, stream: str, offset: int, handler: ReadHandler, limit: int = LOG_READ_LIMIT_ENTRIES
    ) -> list[Effect]:
        """Reads up to `limit` entries from `offset` and calls `handler` with the answer."""
        self._last_token += 1
        self._handlers[self._last_token] = handler
        return [ReadLog(self._last_token, stream, offset, limit)]

    def on_answer(self, now: float, event: LogRead | LogReadFailed) -> list[Effect]:
        """Calls the handler of a read; ignores an answer with an unknown token."""
        handler = self._handlers.pop(event.token, None)
        return handler(now, event) if handler else []
