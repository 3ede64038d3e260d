"""Chooses which items start next, at which server, and which ones yield first.

Items that can still be done in time go first, those with the least slack ahead: the time
until their job is due, less the time that they are likely to run yet. An item that cannot
be in time is worth little whenever it is done, so it waits for room that no other item
needs, and it is the first to yield.
"""

import random
from collections.abc import Callable, Iterable

from troutswitch.decisions.forwarding.placement import batch_cost
from troutswitch.decisions.forwarding.routes import RouteTable, choose_service
from troutswitch.decisions.forwarding.servers import Server, ServerRegistry
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.jobs.index import JobEntry, JobIndex
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.pace import RunPace
from troutswitch.decisions.jobs.room import BatchRoomPolicy, free_slots, has_memory, own_part

TICK_SECONDS = 0.05
"""Interval between looks for work."""
PEERS_LAG_SECONDS = 0.15
"""Time after which peers have heard of a step taken here."""
CHOICE_NOISE = 0.1
"""Random part of a server's cost, so that daemons do not all choose the same one."""


class ItemSelection:
    """Orders items and finds servers with room for them."""

    def __init__(
        self,
        routes: RouteTable,
        servers: ServerRegistry,
        index: JobIndex,
        rng: random.Random,
        starters: Callable[[], int],
        zone: str,
        policy: BatchRoomPolicy,
    ) -> None:
        self.pace = RunPace()
        self.policy = policy
        self._routes = routes
        self._servers = servers
        self._index = index
        self._rng = rng
        self._starters = starters
        self._zone = zone
        self._allowed: dict[tuple[str, bool], int] = {}

    # Order.

    def most_urgent_first(self, now: float, items: Iterable[ItemProgress]) -> list[ItemProgress]:
        """Orders items by how much is lost if they wait."""
        return sorted(items, key=lambda progress: self._urgency(now, progress))

    def least_urgent(self, now: float, items: list[ItemProgress], count: int) -> list[ItemProgress]:
        """Returns the items that lose least by being stopped."""
        ordered = self.most_urgent_first(now, items)
        return ordered[len(ordered) - min(count, len(ordered)) :]

    def _urgency(self, now: float, progress: ItemProgress) -> tuple[bool, float]:
        entry = self._index.jobs.get(progress.job_id)
        due = self._due(entry) if entry is not None else float("inf")
        slack = due - now - self.pace.seconds_left(progress)
        return slack < 0, slack

    def _due(self, entry: JobEntry) -> float:
        return entry.seen_at + self._objective(entry)

    def _objective(self, entry: JobEntry) -> float:
        route = self._routes.named(entry.manifest.route)
        return route.completion_target if route is not None else 0.0

    # Servers.

    def begin_look(self) -> None:
        """Begins a new look for work, with a new part of the room."""
        self._allowed = {}

    def choose(
        self, now: float, route: Route, progress: ItemProgress, entry: JobEntry
    ) -> Server | None:
        """Chooses the server with most room, any of those that are alike."""
        service = choose_service(route, self._rng)
        is_pressing = self.policy.is_pressing(now - entry.seen_at, self._objective(entry))
        memory = self._memory(service)
        open_servers = [
            server
            for server in self._servers.usable(now, service)
            if now >= max(server.full_until, server.ejected_until)
            and has_memory(server, progress.item.tokens, memory, self.policy)
            and self._allowance(now, server, is_pressing) > 0
        ]
        if not open_servers:
            return None
        return min(
            open_servers,
            key=lambda s: batch_cost(now, s, self._zone) + CHOICE_NOISE * self._rng.random(),
        )

    def _memory(self, service: str) -> int:
        configuration = self._routes.configuration
        known = configuration.services.get(service) if configuration is not None else None
        return known.cache_tokens if known is not None else 0

    def _allowance(self, now: float, server: Server, is_pressing: bool) -> int:
        """Returns how many items this daemon may still start there in this look."""
        key = (server.record.server_id, is_pressing)
        allowed = self._allowed.get(key)
        if allowed is None:
            part = TICK_SECONDS / PEERS_LAG_SECONDS / max(1, self._starters())
            shares = self.policy.pressing if is_pressing else self.policy.relaxed
            allowed = own_part(free_slots(now, server, shares), part, self._rng)
            self._allowed[key] = allowed
        return allowed

    def on_started(self, server_id: str) -> None:
        """Takes a start off what this look may still start there."""
        for is_pressing in (False, True):
            key = (server_id, is_pressing)
            self._allowed[key] = self._allowed.get(key, 1) - 1
