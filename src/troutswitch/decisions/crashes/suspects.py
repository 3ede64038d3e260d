"""What this daemon knows of requests under which servers ended."""

from collections.abc import Callable

from troutswitch.decisions.crashes.endings import ServerEndings
from troutswitch.decisions.crashes.messages import Crash, ServerChecked
from troutswitch.decisions.forwarding.servers import ServerRegistry

CONTENTS_LOGGED = 24
"""Requests that one log line names: two servers' slots."""


class CrashSuspects:
    """Requests that were on servers when these ended."""

    def __init__(
        self,
        servers: ServerRegistry,
        emit: Callable[[object], None] = lambda instruction: None,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self._log = log
        self._endings = ServerEndings(servers, emit)

    def on_lost(self, now: float, content: str, server_id: str, *, is_silent: bool = False) -> None:
        """An attempt's answer was lost; `is_silent` if nothing came, not even an end."""
        self._endings.on_lost(now, content, server_id, is_silent)

    def on_checked(self, now: float, event: ServerChecked) -> None:
        """A server was checked after an answer of it was lost."""
        crashes = self._endings.on_checked(event)
        self._log(
            "server checked",
            server=event.server_id,
            found=event.found,
            contents=_named(crashes),
        )

    def on_list(self, now: float) -> None:
        """A new list of servers was taken in."""
        for crash in self._endings.on_list():
            self._log("silent server gone", server=crash.server_id, contents=[crash.content])

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._endings.next_due()

    def on_timer(self, now: float) -> None:
        """Forgets what is over."""
        self._endings.on_timer(now)


def _named(crashes: list[Crash]) -> list[str]:
    """Returns the contents for a log line, as many as it may name."""
    return [crash.content for crash in crashes[:CONTENTS_LOGGED]]
