"""A job's items are counted until the job is answered."""

import json
from base64 import b64encode
from typing import Any

import pytest

from tests.decisions.jobs.fixtures import ROUTE, route_table
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.jobs.messages import AnswerJobCall, JobAccepted, JobSubmitted
from troutswitch.gateway.callers import job_calls
from troutswitch.gateway.callers.job_calls import JobCalls, LoopHasEnded
from troutswitch.gateway.memory.account import MemoryAccount
from troutswitch.gateway.memory.limits import MemoryLimits
from troutswitch.gateway.memory.pressure import Kind
from troutswitch.platform.requests import IncomingRequest
from troutswitch.runtime.http import Response

BODY_BYTES = 1000


class Loop:
    """A loop that accepts each job, and records what is held meanwhile."""

    def __init__(self, limit: int) -> None:
        self.account = MemoryAccount(MemoryLimits(limit, limit))
        self.calls = JobCalls(route_table(), self.post, self.account)
        self.had_room: list[bool] = []
        self.held: list[int] = []
        self.fails = False

    def post(self, event: Any) -> None:
        assert isinstance(event, JobSubmitted)
        self.had_room.append(event.has_room)
        self.held.append(self.account.held(Kind.ITEMS))
        if self.fails:
            raise RuntimeError("the loop has ended")
        self.calls.answer(AnswerJobCall(event.token, JobAccepted()))

    def submit(self) -> Response:
        row = {"id": "i", "path": "/p", "body": b64encode(b"x" * BODY_BYTES).decode(), "tokens": 1}
        body = json.dumps({"requests": [row]}).encode()
        path = f"{ROUTE.path_prefix}x"
        request = IncomingRequest(
            "j", "POST", path, ROUTE.host, path, "", [], 5.0, "", PromptShape()
        )
        response = self.calls.handle(request, body)
        assert response is not None
        return response


def test_items_are_counted_until_the_job_is_answered() -> None:
    loop = Loop(limit=4 * BODY_BYTES)
    loop.submit()
    assert (loop.had_room, loop.held) == ([True], [2 * BODY_BYTES])
    assert loop.account.total == 0


def test_the_loop_is_told_that_a_job_has_no_room() -> None:
    loop = Loop(limit=4 * BODY_BYTES - 1)
    loop.submit()
    assert (loop.had_room, loop.held) == ([False], [0])
    assert loop.account.total == 0


def test_a_call_that_fails_leaves_nothing() -> None:
    loop = Loop(limit=4 * BODY_BYTES)
    loop.fails = True
    with pytest.raises(RuntimeError):
        loop.submit()
    assert loop.account.total == 0


def test_nothing_is_counted_without_a_limit() -> None:
    loop = Loop(limit=0)
    loop.submit()
    assert (loop.had_room, loop.held) == ([True], [0])


def test_answer_that_can_not_be_encoded_is_a_call_that_may_have_been_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a submission that is called not run although it was accepted."""

    def fail(answer: object) -> None:
        raise RecursionError("too deep")

    monkeypatch.setattr(job_calls, "encode_answer", fail)
    loop = Loop(limit=0)
    assert loop.submit().status == 504


def test_calls_of_a_loop_that_has_ended_may_have_been_executed_or_are_not_posted() -> None:
    loop = Loop(limit=0)
    ended = JobCalls(route_table(), lambda event: loop.calls.end_loop())
    loop.calls = ended
    assert loop.submit().status == 504
    with pytest.raises(LoopHasEnded):
        loop.submit()
    assert ended.count == 0
