"""A daemon that resumes after a suspension detects it before it does anything else.

Guards against a daemon that acts on queued events as if no time had passed. The process is
suspended after a request is read or an attempt is decided. If it does not recompute its time limits
when it resumes, it gives an engine more time than the caller waits, and sends work to engines that
have left.
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
from troutswitch.outcomes import AttemptOutcome, MayHaveRun, Step
from troutswitch.platform.requests import IncomingRequest

SUSPENDED_SECONDS = 3.0
TIME_LEFT_SECONDS = 5.0


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class RecordingCore:
    """Records the events that it receives; its next timer is always due."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.events: list[object] = []

    def next_due(self) -> float:
        return self.clock.now

    def step(self, now: float, event: object) -> list[object]:
        self.events.append(event)
        return []


def run_once_delayed(monkeypatch: pytest.MonkeyPatch, delay: float) -> list[object]:
    """Returns the events that the core receives in an iteration delayed by `delay` seconds."""
    clock = Clock()
    monkeypatch.setattr(loop_module, "steady_seconds", clock)
    core = RecordingCore(clock)
    loop = GatewayLoop(
        core,  # type: ignore[arg-type]
        queue.SimpleQueue(),
        lambda instruction: None,
        lambda error, event: None,
    )
    loop.post("waited")  # type: ignore[arg-type]
    get = loop._events.get_nowait

    def get_late() -> object:
        clock.now += delay
        return get()

    monkeypatch.setattr(loop, "_events", type("Queue", (), {"get_nowait": staticmethod(get_late)}))
    loop._run_once()
    return core.events


def test_suspension_is_reported_before_queued_events(monkeypatch: pytest.MonkeyPatch) -> None:
    events = run_once_delayed(monkeypatch, SUSPENDED_SECONDS)
    assert events[:2] == [ProcessResumed(SUSPENDED_SECONDS), "waited"]


def test_short_delay_is_not_reported_as_a_suspension(monkeypatch: pytest.MonkeyPatch) -> None:
    events = run_once_delayed(monkeypatch, SUSPENSION_SECONDS / 4)
    assert events[0] == "waited"
    assert not any(isinstance(event, ProcessResumed | TimerFired) for event in events)


class SuspendedRelay:
    """Relays a request whose process is suspended between the decision and the sending."""

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
            send = SendRequest(
                1, 1, "one", address, TIME_LEFT_SECONDS, 2.0, "", decided_at=decided_at
            )
            self.clock.now += self.suspended
            self.relays.send_directive(send)
        elif isinstance(event, RequestAttemptEnded):
            self.ended.append(event)
            if event.kind is not AttemptOutcome.COMPLETED:
                self.relays.send_directive(FinishRequest(1, MayHaveRun("over", Step.RELAY)))


def test_engine_gets_the_time_that_remains_after_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run = SuspendedRelay(monkeypatch, SUSPENDED_SECONDS)
    sent = run.engine.requests[0][2]["x-troutswitch-deadline-ms"]
    assert int(sent) == round((TIME_LEFT_SECONDS - SUSPENDED_SECONDS) * 1000)


def test_nothing_is_sent_after_the_time_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    run = SuspendedRelay(monkeypatch, TIME_LEFT_SECONDS + 1.0)
    assert not run.engine.requests
    assert run.ended[0].kind is AttemptOutcome.UNREACHABLE


def test_arrival_reports_when_the_request_was_read(monkeypatch: pytest.MonkeyPatch) -> None:
    run = SuspendedRelay(monkeypatch, 0.0)
    assert run.arrived[0].read_at == run.clock.now
