"""Decides when a coordinator asks an engine for its pace at the health path of its service.

Question: an engine of a service with a pace gets no requests, so nothing tells its pace. Its last
paces may be those of a slow episode, and be the reason why it gets no requests. Is it asked?

Inputs: the groups that this daemon coordinates, and since when; the readings of their engines, and
when each engine last had a request of any daemon, known here at most 0.5 s later; the health path
in the configuration.

Rule: an engine is asked after `IDLE_SECONDS` without a reading and without requests, while others
of its group are in use. At most one request is in flight for a group, and the next one follows
after `GROUP_INTERVAL_SECONDS`; the engine that was asked least recently is next. A daemon that has
just become the coordinator waits for `IDLE_SECONDS`, as it does not know of earlier requests.

Owns the health requests in flight. They are lost with the process; the next coordinator asks.
"""

from collections.abc import Callable, Mapping

from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.slots.messages import HealthAnswered, HealthResult, RequestHealth

IDLE_SECONDS = 10.0
"""Time without requests and readings after which an engine is asked. Engines of a busy fleet have
some requests each second, so this is reached only by those that the choice of engines avoids."""
GROUP_INTERVAL_SECONDS = 20.0
"""Minimum interval between health requests of a group. One request costs 0.0033 of a day's value:
for six groups and a day of 41 s, this limits the cost to 0.04."""
IN_USE_SECONDS = 2.0
"""Time since the last request at any engine of a group up to which the group counts as in use. The
pace of an engine that no caller needs is not worth a request."""
CHECK_SECONDS = 1.0
"""Interval between checks."""


class HealthRequests:
    """Health requests for the groups that this daemon coordinates.

    Args:
        coordinated: the groups by name, with the time since which each is coordinated.
        health_path: returns a service's health path, or an empty string if it has none.
    """

    def __init__(
        self,
        engines: EngineRegistry,
        groups: EngineGroups,
        coordinated: Mapping[str, float],
        health_path: Callable[[str], str],
    ) -> None:
        self._engines = engines
        self._groups = groups
        self._coordinated = coordinated
        self._health_path = health_path
        self._checked_at = float("-inf")
        self._asked_at: dict[str, float] = {}
        """When a health request for each group was last sent."""
        self._in_flight: dict[str, str] = {}
        """Group of each engine that was asked and has not answered."""

    def next_due(self) -> float:
        """Returns when `on_timer` is due next; infinite without a coordinated group with a pace."""
        if any(self._paced_group(name) is not None for name in self._coordinated):
            return self._checked_at + CHECK_SECONDS
        return float("inf")

    def _paced_group(self, name: str) -> Group | None:
        group = self._groups.named(name)
        return group if group is not None and self._engines.is_paced(group.service) else None

    def on_timer(self, now: float) -> list[RequestHealth]:
        """Returns the health requests that are due."""
        if now < self.next_due():
            return []
        self._checked_at = now
        due = (
            self._request(now, name)
            for name, since in self._coordinated.items()
            if now >= since + IDLE_SECONDS
            and now >= self._asked_at.get(name, float("-inf")) + GROUP_INTERVAL_SECONDS
            and name not in self._in_flight.values()
        )
        return [request for request in due if request is not None]

    def _request(self, now: float, name: str) -> RequestHealth | None:
        """Returns a request to the engine of a group that is to be asked; None if there is none."""
        group = self._paced_group(name)
        path = self._health_path(group.service) if group is not None else ""
        if not path:
            return None
        known = (self._engines.engines.get(member) for member in self._groups.members(name))
        engines = [engine for engine in known if engine is not None and not engine.is_leaving]
        if not any(now - engine.busy_at <= IN_USE_SECONDS for engine in engines):
            return None
        idle = [engine for engine in engines if _is_idle(now, engine)]
        if not idle:
            return None
        engine = min(idle, key=lambda engine: (engine.health_asked_at, engine.pace.read_at))
        engine.health_asked_at = self._asked_at[name] = now
        self._in_flight[engine.record.engine_id] = name
        return RequestHealth(engine.record.engine_id, engine.record.address, path)

    def on_answered(self, now: float, event: HealthAnswered) -> LogLine:
        """Records the pace in an answer; returns the line about it.

        The rest of the load is not used: an engine that no longer serves requests may still answer
        at its health path.
        """
        self._in_flight.pop(event.engine_id, None)
        engine = self._engines.engines.get(event.engine_id)
        if event.result is HealthResult.PACE and event.percent is not None and engine is not None:
            self._engines.on_pace(engine, event.percent, now)
        fields: dict[str, object] = {
            "engine": event.engine_id,
            "result": event.result.value,
            "percent": event.percent,
        }
        return LogLine("engine health answered", fields)


def _is_idle(now: float, engine: Engine) -> bool:
    """Returns whether an engine has had no requests and no readings for `IDLE_SECONDS`."""
    if engine.in_flight(now) or engine.online_count() or engine.batch_count():
        return False
    last = max(engine.busy_at, engine.pace.read_at, engine.last_seen_at)
    return now - last >= IDLE_SECONDS
