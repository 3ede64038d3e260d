"""A daemon that stood still, frozen or on a suspended machine, first of all finds that out.

What users would see: a daemon wakes after seconds and acts on what waited in its queue as if no
time had passed: it gives an engine the time that its caller had before, and sends work to engines
that left meanwhile. Order of events: a request is read, or an attempt decided; the machine is
suspended; the thread goes on. Cause: times were worked out before and not looked at again.
"""

import queue

import pytest

from tests.platform.standins import EngineStandin
from troutswitch.decisions.forwarding.messages import (
    FinishRequest,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.gateway_messages import ProcessResumed, TimerFired
from troutswitch.gateway import loop as loop_module
from troutswitch.gateway.callers import relay as relay_module
from troutswitch.gateway.callers.relay import Relay
from troutswitch.gateway.callers.relay_registry import RelayRegistry
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.loop import SUSPENSION_SECONDS, GatewayLoop
from troutswitch.outcomes import AttemptKind, MayHaveRun, Step
from troutswitch.platform.requests import IncomingRequest

SUSPENDED_SECONDS = 3.0
GIVEN_SECONDS = 5.0


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class Core:
    """Takes events as the gateway's core does; the machine is suspended in its first step."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.events: list[object] = []

    def next_due(self) -> float:
        return self.clock.now

    def step(self, now: float, event: object) -> list[object]:
        self.events.append(event)
        return []


def turned(monkeypatch: pytest.MonkeyPatch, late: float) -> list[object]:
    """Returns what a loop gives its core in a turn that ends late by some seconds."""
    clock = Clock()
    monkeypatch.setattr(loop_module, "steady_seconds", clock)
    core = Core(clock)
    loop = GatewayLoop(
        core,  # type: ignore[arg-type]
        queue.SimpleQueue(),
        lambda instruction: None,
        lambda error: None,
    )
    loop.post("waited")  # type: ignore[arg-type]
    get = loop._events.get_nowait

    def get_late() -> object:
        clock.now += late
        return get()

    monkeypatch.setattr(loop, "_events", type("Queue", (), {"get_nowait": staticmethod(get_late)}))
    loop._run_once()
    return core.events


def test_what_waited_is_taken_after_the_standstill(monkeypatch: pytest.MonkeyPatch) -> None:
    events = turned(monkeypatch, SUSPENDED_SECONDS)
    assert events[:2] == [ProcessResumed(SUSPENDED_SECONDS), "waited"]


def test_a_turn_that_is_a_little_late_is_none(monkeypatch: pytest.MonkeyPatch) -> None:
    events = turned(monkeypatch, SUSPENSION_SECONDS / 4)
    assert events[0] == "waited"
    assert not any(isinstance(event, ProcessResumed | TimerFired) for event in events)


class Run:
    """One request whose machine is suspended between the decision and the sending."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, suspended: float) -> None:
        self.clock = Clock()
        self.suspended = suspended
        monkeypatch.setattr(relay_module, "steady_seconds", self.clock)
        self.engine = EngineStandin("one")
        self.relays = RelayRegistry(lambda event: None)
        self.arrived: list[RequestArrived] = []
        self.ended: list[RequestAttemptEnded] = []
        request = IncomingRequest("x", "POST", "/a", "h", "/a", "", [], 5.0, "", PromptShape())
        request.headers.append(("X-Troutswitch-Request-Id", "x"))
        relay = Relay(
            1,
            request,
            b"",
            self.relays,
            EngineConnections(),
            self.post,
            EngineActivityReporter(self.post),
        )
        list(relay.run())

    def post(self, event: object) -> None:
        if isinstance(event, RequestArrived):
            self.arrived.append(event)
            address = self.engine.address
            decided_at = self.clock.now
            send = SendRequest(1, 1, "one", address, GIVEN_SECONDS, 2.0, "", decided_at=decided_at)
            self.clock.now += self.suspended
            self.relays.send_directive(send)
        elif isinstance(event, RequestAttemptEnded):
            self.ended.append(event)
            if event.kind is not AttemptKind.COMPLETED:
                self.relays.send_directive(FinishRequest(1, MayHaveRun("over", Step.RELAY)))


def test_an_engine_is_given_the_time_that_is_left_on_waking(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run = Run(monkeypatch, SUSPENDED_SECONDS)
    told = run.engine.requests[0][2]["x-troutswitch-deadline-ms"]
    assert int(told) == round((GIVEN_SECONDS - SUSPENDED_SECONDS) * 1000)


def test_nothing_is_sent_once_the_time_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    run = Run(monkeypatch, GIVEN_SECONDS + 1.0)
    assert not run.engine.requests
    assert run.ended[0].kind is AttemptKind.UNREACHABLE


def test_the_loop_is_told_when_a_request_was_read(monkeypatch: pytest.MonkeyPatch) -> None:
    run = Run(monkeypatch, 0.0)
    assert run.arrived[0].read_at == run.clock.now
