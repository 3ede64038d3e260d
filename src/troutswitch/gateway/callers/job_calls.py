"""Handles calls about batch jobs on the callers' threads.

A call is decoded and posted to the loop as an event; the thread then waits for the loop's answer.
This module holds the calls in progress by token. The loop owns all state of the jobs.
"""

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import replace

from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import RouteKind
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.decisions.jobs.coordinator import JobEvent
from troutswitch.decisions.jobs.messages import AnswerJobCall, JobAnswer, JobSubmitted
from troutswitch.gateway.memory.account import Holding, MemoryAccount
from troutswitch.gateway.memory.pressure import Kind
from troutswitch.gateway.unexpected_errors import UnexpectedErrors
from troutswitch.platform import names
from troutswitch.platform.jobs import (
    JobFormatError,
    call_target,
    decode_call,
    decode_submission,
    encode_answer,
)
from troutswitch.platform.requests import IncomingRequest
from troutswitch.runtime.http import Response

ANSWER_TIMEOUT_SECONDS = 35.0
"""Longest wait for the loop's answer, after which the loop is considered dead."""
SUBMISSION_COPIES = 2
"""Copies of a job's items during its submission: decoded, and as records for the store."""


class LoopHasEnded(Exception):
    """No call is answered any more, as the loop has ended."""


class JobCalls:
    """Pending calls of the callers' threads to the loop.

    Args:
        routes: table that determines which requests submit a job.
        post: posts an event to the loop.
        memory: account in which a job's items are counted until the job is answered.
        errors: reports unexpected errors.
    """

    def __init__(
        self,
        routes: RouteTable,
        post: Callable[[GatewayEvent], None],
        memory: MemoryAccount | None = None,
        errors: UnexpectedErrors | None = None,
    ) -> None:
        self._errors = errors or UnexpectedErrors()
        self._routes = routes
        self._post = post
        self._memory = memory or MemoryAccount()
        self._tokens = itertools.count(1)
        self._answers: dict[int, Future[JobAnswer]] = {}
        self._has_ended = False
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """Number of calls in progress."""
        return len(self._answers)

    def handle(self, request: IncomingRequest, body: bytes) -> Response | None:
        """Answers a call about a job; returns None for any other request."""
        target = call_target(request)
        is_submission = target is None and self._is_submission(request)
        if target is None and not is_submission:
            return None
        token = next(self._tokens)
        try:
            if target is not None:
                return self._post_and_wait(token, decode_call(token, request, target))
            if not request.request_id:
                raise JobFormatError(f"missing {names.REQUEST_ID}")
            return self._submit(decode_submission(token, request, body))
        except JobFormatError as error:
            return Response(400, f"{error}\n".encode(), "text/plain")

    def _is_submission(self, request: IncomingRequest) -> bool:
        route = self._routes.match(request.host, request.path)
        return request.method == "POST" and route is not None and route.kind is RouteKind.JOBS

    def _submit(self, event: JobSubmitted) -> Response:
        """Posts a job and waits for the answer; its items are counted meanwhile.

        The loop refuses a job without room, unless it has accepted the job before.
        """
        if not self._memory.is_limited:
            return self._post_and_wait(event.token, event)
        items = Holding(self._memory, Kind.ITEMS)
        size = SUBMISSION_COPIES * sum(len(item.body) for item in event.items)
        has_room = items.try_resize(size)
        try:
            return self._post_and_wait(event.token, replace(event, has_room=has_room))
        finally:
            items.release()

    def _post_and_wait(self, token: int, event: JobEvent) -> Response:
        """Posts a call and waits for the loop's answer.

        Raises:
            LoopHasEnded: the call was not posted, so that it is never executed.
        """
        future: Future[JobAnswer] = Future()
        with self._lock:
            if self._has_ended:
                raise LoopHasEnded
            self._answers[token] = future
        try:
            self._post(event)
            return self._wait(future)
        finally:
            with self._lock:
                self._answers.pop(token, None)

    def _wait(self, future: Future[JobAnswer]) -> Response:
        """Returns the loop's answer; without a usable one, the call may have been executed."""
        try:
            return encode_answer(future.result(ANSWER_TIMEOUT_SECONDS))
        except FutureTimeoutError:
            return Response(504, b"no decision in time\n", "text/plain")
        except LoopHasEnded:
            return Response(504, b"the daemon has failed\n", "text/plain")
        except Exception as error:
            self._errors.report("answer job call", error)
            return Response(504, f"{type(error).__name__}: {error}\n".encode(), "text/plain")

    def answer(self, instruction: AnswerJobCall) -> None:
        """Passes an answer to the thread that waits for it."""
        with self._lock:
            future = self._answers.get(instruction.token)
        if future is not None:
            future.set_result(instruction.answer)

    def end_loop(self) -> None:
        """Ends the calls in progress, whose execution is unknown, and accepts no further ones."""
        with self._lock:
            self._has_ended = True
            futures = list(self._answers.values())
        for future in futures:
            if not future.done():
                future.set_exception(LoopHasEnded())
