"""Tells servers that ended under requests from answers that only broke off.

(lost)   -> CHECKED    the connection broke: the server is asked for a new one
(lost)   -> AWAITED    nothing came any more: only the list of servers can tell
CHECKED  -> crash      its port refuses connections
CHECKED  -> forgotten  it takes connections
CHECKED  -> AWAITED    no word came
AWAITED  -> crash      its entry went without a planned end
AWAITED  -> forgotten  `AWAITED_SECONDS` passed
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.decisions.crashes.messages import (
    CheckServer,
    Crash,
    ServerChecked,
    ServerFound,
)
from troutswitch.decisions.forwarding.servers import ServerRegistry

AWAITED_SECONDS = 8.0
"""Time after which a silent server's entry must be gone: three heartbeats without a write (3.6 s
at the usual 1.2 s), the reading of the list, and an outage of the store of some seconds."""
SERVERS_MOST = 1024
"""Servers that are looked into at once; beyond that, none is added."""
CONTENTS_MOST = 256
"""Requests that are noted for one server: more than any has slots and places to wait."""


@dataclass(slots=True)
class _Lost:
    """The requests that were lost with one server."""

    contents: dict[str, None] = field(default_factory=dict)
    is_checked: bool = False
    forget_at: float = float("inf")


class ServerEndings:
    """Servers of which connections were lost lately."""

    def __init__(self, servers: ServerRegistry, emit: Callable[[CheckServer], None]) -> None:
        self._servers = servers
        self._emit = emit
        self._lost: dict[str, _Lost] = {}

    def on_lost(self, now: float, content: str, server_id: str, is_silent: bool) -> None:
        """An attempt's answer was lost; `is_silent` if nothing came, not even an end.

        A server that leaves as planned ends too, and no request is the cause.
        """
        server = self._servers.servers.get(server_id)
        if not content or server is None or server.is_leaving:
            return
        lost = self._lost.get(server_id)
        if lost is None and len(self._lost) >= SERVERS_MOST:
            return
        if lost is None:
            lost = self._lost[server_id] = _Lost(forget_at=now + AWAITED_SECONDS)
        if len(lost.contents) < CONTENTS_MOST:
            lost.contents[content] = None
        if not is_silent and not lost.is_checked:
            lost.is_checked = True
            self._emit(CheckServer(server_id, server.record.address))

    def on_checked(self, event: ServerChecked) -> list[Crash]:
        """Returns the crashes that a check has shown."""
        lost = self._lost.get(event.server_id)
        if lost is None:
            return []
        if event.found is ServerFound.UNKNOWN:
            lost.is_checked = False
            return []
        del self._lost[event.server_id]
        return _crashes(event.server_id, lost) if event.found is ServerFound.ENDED else []

    def on_list(self) -> list[Crash]:
        """Returns the crashes that a new list of servers has shown."""
        crashes: list[Crash] = []
        for server_id, lost in list(self._lost.items()):
            server = self._servers.servers.get(server_id)
            if server is not None and not server.is_leaving:
                continue
            del self._lost[server_id]
            if server is None or not server.is_draining:
                crashes += _crashes(server_id, lost)
        return crashes

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min((lost.forget_at for lost in self._lost.values()), default=float("inf"))

    def on_timer(self, now: float) -> None:
        """Forgets what was not shown to be a crash."""
        for server_id in [name for name, lost in self._lost.items() if lost.forget_at <= now]:
            del self._lost[server_id]


def _crashes(server_id: str, lost: _Lost) -> list[Crash]:
    return [Crash(content, server_id) for content in lost.contents]
