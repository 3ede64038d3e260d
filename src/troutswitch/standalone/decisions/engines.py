"""One daemon's view of the engines: load, freshness, failures and leaving marks.

An engine receives work only if it has answered, without reporting "leaving", a load
poll or request that was sent at most `ENGINE_FRESH_SECONDS` ago. The age counts from
the time of sending, because an answer may wait for a long time on a machine that was
paused. A leaving engine therefore stops receiving work soon after it reports
"leaving", even if the machine list lags and peers are unreachable. The leaving mark
lasts for the engine's incarnation and is sent to peers.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from troutswitch.common import Address, rendezvous_order
from troutswitch.standalone.constants import (
    EJECT_AFTER_FAILURES,
    ENGINE_FRESH_SECONDS,
    ENGINE_IN_USE_SECONDS,
    ENGINE_POLL_SECONDS,
    ENGINE_SUBSET,
    INITIAL_EJECTION_SECONDS,
    LOAD_LAG_SECONDS,
    MAX_EJECTION_SECONDS,
    POLLS_PER_SECOND,
)
from troutswitch.standalone.daemons.messages import EngineLeaving
from troutswitch.standalone.decisions.effects import Effect, LogEvent, PollEngine, SendDatagram
from troutswitch.standalone.decisions.events import EngineLoad, EngineLoadRead, Machine
from troutswitch.standalone.decisions.membership import Membership

ENGINE_TICK_SECONDS = 0.1
"""Interval between checks for engines that are due for a poll."""
ENGINE_SELECTION_SECONDS = 1.0
"""Interval between selections of the engines to poll."""

EngineHook = Callable[[float, str], list[Effect]]


@dataclass(slots=True)
class Engine:
    """This daemon's view of one engine.

    `online_in_flight` counts this daemon's own online requests on the engine.
    `unreported` holds the times at which it sent requests that the last load report,
    which lags, cannot include yet.
    """

    name: str
    address: Address
    zone: str
    service: str
    incarnation: str = ""
    load: EngineLoad | None = None
    confirmed_at: float = float("-inf")
    next_poll_at: float = float("-inf")
    polled_at: float = float("-inf")
    is_polling: bool = False
    online_in_flight: int = 0
    unreported: deque[float] = field(default_factory=deque)
    failures: int = 0
    ejected_until: float = float("-inf")
    listed: bool = True

    @property
    def slots(self) -> int:
        """Sequences that the engine can run concurrently; 1 before the first load report."""
        return self.load.slots if self.load is not None else 1

    @property
    def online_load(self) -> int:
        """Estimated online requests on the engine."""
        if self.load is None:
            return self.online_in_flight
        return max(self.reported_online + len(self.unreported), self.online_in_flight)

    @property
    def reported_online(self) -> int:
        """Online requests that the engine reported last."""
        return self.load.running_online + self.load.waiting_online if self.load else 0

    def expected_load(self, gateways: int) -> int:
        """Returns the estimated online requests if `gateways` gateways send like this one."""
        return max(self.reported_online + gateways * len(self.unreported), self.online_in_flight)


class EngineRegistry:
    """All engines named by the machine list.

    An engine that the list no longer names is kept while it has online requests.
    """

    def __init__(self, membership: Membership) -> None:
        self.engines: dict[str, Engine] = {}
        self._membership = membership
        self._leaving: dict[tuple[str, str], None] = {}
        self._load_hooks: list[EngineHook] = []
        self._is_stewarded: Callable[[str], bool] = lambda name: False
        self._subsets: dict[str, list[str]] = {}
        self._names_by_zone: dict[str, list[str]] = {}
        self._service_used_at: dict[str, float] = {}
        self._poll_interval = ENGINE_POLL_SECONDS
        self._polled: list[Engine] = []
        self._next_selection_at = float("-inf")
        self._next_tick_at = float("-inf")

    def add_load_hook(self, hook: EngineHook) -> None:
        """Adds a function to call with the engine's name after each poll, answered or not."""
        self._load_hooks.append(hook)

    def set_steward_test(self, is_stewarded: Callable[[str], bool]) -> None:
        """Sets the test for engines to poll as their steward, even without work for them."""
        self._is_stewarded = is_stewarded

    # The machine list.

    def on_machine_list(self, now: float, machines: list[Machine]) -> list[Effect]:
        """Applies the list: adds and removes engines, updates addresses, marks leaving ones."""
        effects: list[Effect] = []
        listed = {machine.name for machine in machines}
        for engine in self.engines.values():
            engine.listed = engine.name in listed
        for machine in machines:
            effects.extend(self._update_machine(now, machine))
        for engine in list(self.engines.values()):
            if not engine.listed and engine.online_in_flight == 0:
                del self.engines[engine.name]
        self._subsets.clear()
        self._names_by_zone.clear()
        for engine in self.engines.values():
            self._names_by_zone.setdefault(engine.zone, []).append(engine.name)
        return effects

    def _update_machine(self, now: float, machine: Machine) -> list[Effect]:
        engine = self.engines.get(machine.name)
        if engine is None:
            engine = Engine(machine.name, machine.address, machine.zone, machine.service)
            self.engines[machine.name] = engine
        if engine.address != machine.address:
            engine.address = machine.address
            engine.confirmed_at = float("-inf")
        if machine.leaving:
            return self.mark_leaving(now, machine.name, machine.incarnation)
        return []

    # Leaving.

    def is_leaving(self, engine: Engine) -> bool:
        """Returns whether this incarnation of the engine is leaving."""
        return (engine.name, engine.incarnation) in self._leaving

    def mark_leaving(self, now: float, name: str, incarnation: str) -> list[Effect]:
        """Marks an incarnation as leaving and notifies peers, once per incarnation."""
        if not incarnation or (name, incarnation) in self._leaving:
            return []
        self._leaving[name, incarnation] = None
        if len(self._leaving) > 10_000:
            del self._leaving[next(iter(self._leaving))]
        message = EngineLeaving(self._membership.name, name, incarnation)
        engine = self.engines.get(name)
        zone = engine.zone if engine is not None else None
        peers = self._membership.random_peers(4, zone) + self._membership.random_peers(2)
        log_event = LogEvent("engine leaving", {"engine": name, "incarnation": incarnation})
        return [log_event, *(SendDatagram(peer.address, message) for peer in peers)]

    # Polling.

    def next_due(self) -> float:
        """Returns the time of the next check for due polls."""
        return self._next_tick_at

    def on_timer(self, now: float) -> list[Effect]:
        """Polls the selected engines that are due."""
        if now < self._next_tick_at:
            return []
        self._next_tick_at = now + ENGINE_TICK_SECONDS
        if now >= self._next_selection_at:
            self._next_selection_at = now + ENGINE_SELECTION_SECONDS
            self._select_polled(now)
        effects: list[Effect] = []
        for engine in self._polled:
            if engine.next_poll_at <= now:
                engine.next_poll_at = now + self._poll_interval
                effects.extend(self.poll(now, engine))
        return effects

    def _select_polled(self, now: float) -> None:
        """Selects the engines to poll: stewarded ones and the subsets of services in use.

        The whole subset is polled, not only the engines that receive work. Otherwise a
        gateway with few fresh engines sends all requests to these and never learns the
        state of the others.
        """
        names = set(self._stewarded_engine_names())
        for service, used_at in self._service_used_at.items():
            if now - used_at < ENGINE_IN_USE_SECONDS:
                names.update(self._subset(service))
        self._polled = [self.engines[name] for name in sorted(names) if name in self.engines]
        self._poll_interval = max(ENGINE_POLL_SECONDS, len(self._polled) / POLLS_PER_SECOND)

    def _stewarded_engine_names(self) -> Iterator[str]:
        """Yields the engines of which this daemon is steward.

        Only this zone and zones without a serving daemon can have such engines.
        """
        for zone, names in self._names_by_zone.items():
            if zone == self._membership.zone or not self._membership.serving_in_zone(zone):
                yield from (name for name in names if self._is_stewarded(name))

    def on_service_used(self, now: float, service: str) -> None:
        """Records that work for a service arrived, so that its engines are polled."""
        if now - self._service_used_at.get(service, float("-inf")) >= ENGINE_IN_USE_SECONDS:
            self._next_selection_at = now
        self._service_used_at[service] = now

    def poll(self, now: float, engine: Engine) -> list[Effect]:
        """Polls an engine's load unless a poll is in progress."""
        if engine.is_polling:
            return []
        engine.is_polling = True
        engine.polled_at = now
        return [PollEngine(engine.name, engine.address)]

    def on_load(self, now: float, event: EngineLoadRead) -> list[Effect]:
        """Applies the answer to a poll."""
        engine = self.engines.get(event.engine)
        if engine is None:
            return []
        engine.is_polling = False
        engine.next_poll_at = now + self._poll_interval
        effects: list[Effect] = []
        if event.load is None:
            self._record_failure(now, engine)
        else:
            effects.extend(self._apply_load(now, engine, event.load))
        for hook in self._load_hooks:
            effects.extend(hook(now, engine.name))
        return effects

    def _apply_load(self, now: float, engine: Engine, load: EngineLoad) -> list[Effect]:
        engine.incarnation = load.incarnation
        engine.load = load
        while engine.unreported and engine.unreported[0] < engine.polled_at - LOAD_LAG_SECONDS:
            engine.unreported.popleft()
        self._record_success(engine)
        engine.confirmed_at = max(engine.confirmed_at, engine.polled_at)
        if load.leaving:
            return self.mark_leaving(now, engine.name, load.incarnation)
        return []

    # Outcomes of requests.

    def on_sent(self, now: float, engine: Engine) -> None:
        """Records that an online request was sent to the engine."""
        engine.online_in_flight += 1
        engine.unreported.append(now)

    def on_attempt_ended(self, now: float, engine: Engine, succeeded: bool) -> None:
        """Records that an online attempt on the engine ended."""
        engine.online_in_flight = max(0, engine.online_in_flight - 1)
        if succeeded:
            self._record_success(engine)
        else:
            self._record_failure(now, engine)

    def on_response_started(
        self, now: float, engine: Engine, sent_at: float, leaving: bool
    ) -> list[Effect]:
        """Records the start of a response to a request that was sent at `sent_at`."""
        self._record_success(engine)
        if leaving:
            return self.mark_leaving(now, engine.name, engine.incarnation)
        engine.confirmed_at = max(engine.confirmed_at, sent_at)
        return []

    def _record_success(self, engine: Engine) -> None:
        engine.failures = 0
        engine.ejected_until = float("-inf")

    def _record_failure(self, now: float, engine: Engine) -> None:
        engine.failures += 1
        if engine.failures >= EJECT_AFTER_FAILURES:
            doubling = min(engine.failures - EJECT_AFTER_FAILURES, 10)
            engine.ejected_until = now + min(
                INITIAL_EJECTION_SECONDS * 2**doubling, MAX_EJECTION_SECONDS
            )

    # Selection.

    def is_fresh(self, now: float, engine: Engine) -> bool:
        """Returns whether the engine may receive work without being polled first."""
        return now - engine.confirmed_at <= ENGINE_FRESH_SECONDS

    def usable(self, now: float, service: str) -> Iterator[Engine]:
        """Yields the engines of a service to which this daemon may send work.

        Engines that are unlisted, leaving or ejected are left out; freshness is not checked.
        """
        for name in self._subset(service):
            engine = self.engines.get(name)
            if engine is None or not engine.listed or self.is_leaving(engine):
                continue
            if now >= engine.ejected_until:
                yield engine

    def services(self) -> list[str]:
        """Returns the services offered by at least one engine, in name order."""
        return sorted({engine.service for engine in self.engines.values()})

    def _subset(self, service: str) -> list[str]:
        subset = self._subsets.get(service)
        if subset is None:
            subset = self._select_subset(service)
            self._subsets[service] = subset
        return subset

    def _select_subset(self, service: str) -> list[str]:
        """Returns at most `ENGINE_SUBSET` engine names, engines of this zone first."""
        service_engines = [e for e in self.engines.values() if e.service == service]
        same_zone = [e.name for e in service_engines if e.zone == self._membership.zone]
        other_zones = [e.name for e in service_engines if e.zone != self._membership.zone]
        order = rendezvous_order(self._membership.name, same_zone)
        order += rendezvous_order(self._membership.name, other_zones)
        return order[:ENGINE_SUBSET]
