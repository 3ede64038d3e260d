"""A tenant inside its share is served by a fleet to which another one sends 7 times its share.

Four daemons, three engines with 8 slots, which run 60 requests a second. The first tenant sends 30
a second, half of them to any daemon. The pair without the mechanism is the same fleet whose engines
report no pace: requests then queue at engines in the order of arrival.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from tests.simulation.fleet import Daemon, SimulatedFleet
from tests.simulation.plain_formats import HOST, SERVICE
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    FinishRequest,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.forwarding.types import (
    Backend,
    EngineLoad,
    PromptShape,
    Route,
    RouteKind,
)
from troutswitch.decisions.gateway_interface import GatewayInstruction
from troutswitch.decisions.tenants.types import Tenant, key_digest
from troutswitch.outcomes import AttemptOutcome, NotRun

SLOTS = 8
SLOT_SECONDS = 0.4
FIRST_EVENT_SECONDS = 0.06
OBJECTIVE = 0.308
SHARE = 30.0
SECONDS = 5.0
TENANTS = ("first", "second")


def online_route() -> Route:
    backends = (Backend(SERVICE, 1.0),)
    return Route("online", HOST, "/online/", RouteKind.AT_MOST_ONCE, backends, 30.0, OBJECTIVE, 1)


@dataclass
class SimulatedEngine:
    """An engine that runs requests in the order of their arrival."""

    running: int = 0
    waiting: list[tuple[Daemon, SendRequest]] = field(default_factory=list)


class TwoTenantFleet(SimulatedFleet):
    """A fleet whose engines run the online requests of two tenants."""

    def __init__(self, pace: int | None) -> None:
        self._engines: dict[str, SimulatedEngine] = {}
        self._pace = pace
        self.sends: Counter[tuple[str, int]] = Counter()
        self.refused: Counter[tuple[str, int]] = Counter()
        self.first_events: dict[tuple[str, int], float] = {}
        self.arrived: dict[tuple[str, int], tuple[str, float]] = {}
        tenants = tuple(Tenant(name, frozenset({key_digest(name)})) for name in TENANTS)
        super().__init__(3, extra_routes=(online_route(),), tenants=tenants)
        self.slot_rng = random.Random("slots")
        self._number = 0

    def execute(self, daemon: Daemon, instruction: GatewayInstruction) -> None:
        match instruction:
            case SendRequest():
                self.sends[daemon.name, instruction.token] += 1
                self.call_later(0.002, lambda: self._accept(daemon, instruction))
            case FinishRequest():
                if isinstance(instruction.outcome, NotRun):
                    self.refused[daemon.name, instruction.token] += 1
            case _:
                super().execute(daemon, instruction)

    def _accept(self, daemon: Daemon, sent: SendRequest) -> None:
        engine = self._engines.setdefault(sent.engine_id, SimulatedEngine())
        engine.waiting.append((daemon, sent))
        self._start_waiting(engine)

    def _start_waiting(self, engine: SimulatedEngine) -> None:
        while engine.waiting and engine.running < SLOTS:
            daemon, sent = engine.waiting.pop(0)
            engine.running += 1
            key = (daemon.name, sent.token)
            load = EngineLoad(engine.running, len(engine.waiting), SLOTS, self._pace)
            begun = AnswerBegun(sent.token, sent.attempt, load)
            self.first_events[key] = self.now + FIRST_EVENT_SECONDS
            self.step_later(daemon, begun, FIRST_EVENT_SECONDS)
            seconds = SLOT_SECONDS * self.slot_rng.uniform(0.5, 1.5)
            self.call_later(seconds, lambda d=daemon, s=sent: self._end(engine, d, s))  # type: ignore[misc]

    def _end(self, engine: SimulatedEngine, daemon: Daemon, sent: SendRequest) -> None:
        engine.running -= 1
        load = EngineLoad(engine.running, len(engine.waiting), SLOTS, self._pace)
        ended = RequestAttemptEnded(
            sent.token, sent.attempt, AttemptOutcome.COMPLETED, delivered=18, load=load
        )
        self.step(daemon, ended)
        self._start_waiting(engine)

    def arrive(self, tenant: str) -> None:
        """Sends a tenant's request to a random daemon."""
        self._number += 1
        daemon = self.rng.choice(list(self.daemons.values()))
        self.arrived[daemon.name, self._number] = (tenant, self.now)
        event = RequestArrived(
            self._number,
            f"r{self._number}",
            HOST,
            "/online/x",
            5.1,
            PromptShape(),
            caller_key=key_digest(tenant),
        )
        self.step(daemon, event)

    def play(self, rates: dict[str, float], seconds: float) -> None:
        """Sends each tenant's requests at its rate, each at a random time of its interval."""
        for tenant, rate in rates.items():
            for number in range(round(rate * seconds)):
                at = (number + self.rng.random()) / rate
                self.call_later(at, lambda name=tenant: self.arrive(name))  # type: ignore[misc]
        self.run(seconds)

    def in_time(self, tenant: str, since: float) -> float:
        """Returns the share of a tenant's requests that met their objective."""
        keys = [k for k, (name, at) in self.arrived.items() if name == tenant and at >= since]
        times = (self.first_events.get(k, float("inf")) - self.arrived[k][1] for k in keys)
        return sum(time <= OBJECTIVE for time in times) / len(keys)


def played(pace: int | None, times: float) -> tuple[TwoTenantFleet, float]:
    """Returns a fleet that was sent both tenants' requests, and when that began."""
    fleet = TwoTenantFleet(pace)
    fleet.run(3.0)
    fleet.play({"first": 10.0, "second": 10.0}, 2.0)
    begun = fleet.now
    fleet.play({"first": SHARE, "second": times * SHARE}, SECONDS)
    fleet.run(6.0)
    return fleet, begun


def test_a_tenant_inside_its_share_is_served_at_seven_times_anothers() -> None:
    fleet, begun = played(100, 7.0)
    assert fleet.in_time("first", begun) >= 0.95
    assert fleet.in_time("second", begun) < 0.5


def test_without_the_queue_it_is_not_served() -> None:
    fleet, begun = played(None, 7.0)
    assert fleet.in_time("first", begun) < 0.5


@pytest.mark.parametrize("failure", ["none", "kill", "pause"])
def test_no_request_is_both_sent_and_refused_or_sent_twice(failure: str) -> None:
    """The route's requests may run once. The coordinator is killed or paused under load."""
    fleet = TwoTenantFleet(100)
    fleet.run(3.0)
    fleet.play({"first": 10.0, "second": 10.0}, 2.0)
    fleet.play({"first": SHARE, "second": 4 * SHARE}, 1.0)
    coordinator = next(d for d in fleet.daemons.values() if d.core.slots.coordinator.coordinated)
    if failure == "kill":
        fleet.kill(coordinator.name, down=30.0)
    elif failure == "pause":
        fleet.pause(coordinator.name, 1.5)
    fleet.play({"first": SHARE, "second": 4 * SHARE}, 3.0)
    fleet.run(7.0)
    assert max(fleet.sends.values()) == 1
    assert max(fleet.refused.values()) == 1
    assert not set(fleet.sends) & set(fleet.refused)
    for daemon in fleet.daemons.values():
        if daemon.is_alive:
            assert not daemon.core.requests.requests
            lengths = [len(s.queue) for s in daemon.core.slots.queues._queues.values()]
            assert sum(lengths) == 0
