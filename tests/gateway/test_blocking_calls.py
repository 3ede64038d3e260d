"""Each blocking call is answered by one event, whatever happens to it."""

import queue
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
from structlog.testing import CapturingLogger

from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.peers.catch_up import PeerStateReceived
from troutswitch.gateway.blocking_calls import BlockingCalls, CallNotStarted
from troutswitch.gateway.unexpected_errors import UnexpectedErrors

WAIT_SECONDS = 10.0


class Calls:
    """Blocking calls, the events that they post, and the errors that they report."""

    def __init__(self) -> None:
        self.events: queue.SimpleQueue[GatewayEvent] = queue.SimpleQueue()
        self.counted: list[str] = []
        self.logger: Any = CapturingLogger()
        errors = UnexpectedErrors(self.logger, self.counted.append)
        self.calls = BlockingCalls(2, "test", self.events.put, errors)

    def submit(self, call: Any) -> None:
        self.calls.submit("a step", call, lambda error: PeerStateReceived(repr(error), None))


def raise_error() -> GatewayEvent:
    raise RecursionError("too deep")


def test_call_that_raises_is_answered_logged_and_counted() -> None:
    calls = Calls()
    calls.submit(raise_error)
    answer = calls.events.get(timeout=WAIT_SECONDS)
    assert answer == PeerStateReceived("RecursionError('too deep')", None)
    assert calls.counted == ["a step"]
    ((name, (event,), fields),) = calls.logger.calls
    assert (name, event, fields["step"]) == ("error", "unexpected error", "a step")
    assert fields["at"].endswith("raise_error")
    assert fields["error"] == "RecursionError: too deep"


def test_call_without_a_thread_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls that wait for ever at a machine that has no further threads."""
    calls = Calls()

    def refuse(self: threading.Thread) -> None:
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", refuse)
    calls.submit(lambda: PeerStateReceived("ran", None))
    answer = calls.events.get(timeout=WAIT_SECONDS)
    assert isinstance(answer, PeerStateReceived) and CallNotStarted.__name__ in answer.host
    monkeypatch.undo()
    calls.submit(lambda: PeerStateReceived("next", None))
    assert calls.events.get(timeout=WAIT_SECONDS) == PeerStateReceived("next", None)
    assert calls.events.empty()


def test_calls_are_answered_once_when_many_are_submitted() -> None:
    calls = Calls()
    with ThreadPoolExecutor(4) as submitters:
        for number in range(200):
            submitters.submit(calls.submit, raise_error if number % 3 else (lambda: EVENT))
    answers = [calls.events.get(timeout=WAIT_SECONDS) for _ in range(200)]
    assert answers.count(EVENT) == 67
    assert calls.events.empty()


EVENT = PeerStateReceived("sound", None)
