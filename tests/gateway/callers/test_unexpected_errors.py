"""A caller gets an answer that says truthfully whether its request ran, whatever error occurs."""

import http.client
import queue
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from tests.ports import HOST
from troutswitch.common import Address
from troutswitch.decisions.forwarding.messages import (
    CallerGone,
    FinishRequest,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.gateway.callers import relay
from troutswitch.gateway.callers.application import CallerApplication
from troutswitch.gateway.callers.listener import HttpListener
from troutswitch.gateway.callers.relay_registry import RelayRegistry
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.engines.exchange import Exchange
from troutswitch.outcomes import AttemptOutcome, MayHaveRun, NotRun, Step

TIMEOUT_SECONDS = 20.0


def fail(*arguments: Any, **named: Any) -> Any:
    raise RecursionError("too deep")


class Caller:
    """A listener whose requests are handled by a scripted loop, and a caller of it."""

    def __init__(self) -> None:
        self.events: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.on_arrived: Callable[[int], None] = lambda token: None
        self.on_ended: Callable[[int], None] = lambda token: None
        self.handle_job: Callable[..., Any] = lambda request, body: None
        self.relays = RelayRegistry(self.post)
        activity = EngineActivityReporter(self.post)
        application = CallerApplication(
            self.relays,
            EngineConnections(),
            self.post,
            activity,
            lambda request, body: self.handle_job(request, body),
        )
        self.listener = HttpListener(application, Address(HOST, 0), 1, "callers", 10)
        self.listener.start()

    def post(self, event: Any) -> None:
        self.events.put(event)
        if isinstance(event, RequestArrived):
            self.on_arrived(event.token)
        elif isinstance(event, RequestAttemptEnded):
            self.on_ended(event.token)

    def send(self, token: int) -> None:
        address = Address(HOST, 1)
        self.relays.send_directive(SendRequest(token, 1, "e", address, 5.0, 5.0, ""))

    def posted(self, kind: type) -> Any:
        while True:
            event = self.events.get(timeout=TIMEOUT_SECONDS)
            if isinstance(event, kind):
                return event

    def call(self) -> tuple[int, str, str | None]:
        """Returns the status, the body and the request id of the answer."""
        connection = http.client.HTTPConnection(*self.listener.address, timeout=TIMEOUT_SECONDS)
        headers = {"X-Troutswitch-Request-Id": "a", "X-Troutswitch-Deadline-Ms": "9000"}
        try:
            connection.request("POST", "/x", b"body", headers)
            response = connection.getresponse()
            name = response.getheader("X-Troutswitch-Request-Id")
            return response.status, response.read().decode(), name
        finally:
            connection.close()


@pytest.fixture
def caller() -> Iterator[Caller]:
    caller = Caller()
    yield caller
    caller.listener.stop()


def test_error_before_a_request_is_handed_to_the_loop_is_answered_as_not_run(
    caller: Caller,
) -> None:
    caller.handle_job = fail
    status, text, name = caller.call()
    assert (status, name) == (503, "a")
    assert text.startswith("NotRun: ")


def test_error_while_the_loop_takes_a_request_is_answered_as_not_run(caller: Caller) -> None:
    caller.on_arrived = fail
    status, text, name = caller.call()
    assert (status, name) == (503, "a")
    assert text.startswith("NotRun: ")
    caller.posted(CallerGone)


def test_loop_without_a_decision_leaves_no_request_without_an_answer(
    caller: Caller, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a connection that closes without an answer: the time-out is an `OSError`."""
    monkeypatch.setattr(relay, "DIRECTIVE_TIMEOUT_SECONDS", 0.2)
    status, text, name = caller.call()
    assert (status, name) == (503, "a")
    assert text.startswith("NotRun: ")


def test_loop_without_a_decision_after_a_lost_attempt_is_answered_as_possibly_run(
    caller: Caller, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(relay, "DIRECTIVE_TIMEOUT_SECONDS", 0.2)
    monkeypatch.setattr(Exchange, "open", fail)
    caller.on_arrived = caller.send
    status, text, name = caller.call()
    assert (status, name) == (504, "a")
    assert text.startswith("MayHaveRun: ")


def test_attempt_that_raises_an_unexpected_error_ends_and_the_loop_decides(
    caller: Caller, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that fails although another engine could serve it."""
    monkeypatch.setattr(Exchange, "open", fail)
    caller.on_arrived = caller.send
    caller.on_ended = lambda token: caller.relays.send_directive(
        FinishRequest(token, MayHaveRun("decided", Step.RELAY, "e"))
    )
    status, text, _ = caller.call()
    assert (status, text) == (504, "MayHaveRun: decided (relay, e)\n")
    ended = caller.posted(RequestAttemptEnded)
    assert (ended.kind, ended.reason) == (AttemptOutcome.CUT, "RecursionError: too deep")


def test_answer_that_can_not_be_sent_is_replaced_by_a_failure(caller: Caller) -> None:
    caller.on_arrived = lambda token: caller.relays.send_directive(
        FinishRequest(token, NotRun("x", Step.ROUTE, retry_after="soon"))  # type: ignore[arg-type]
    )
    status, text, name = caller.call()
    assert (status, name) == (503, "a")
    assert text.startswith("NotRun: ")
