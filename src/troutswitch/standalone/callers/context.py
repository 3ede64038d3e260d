"""Access of the HTTP applications to their daemon."""

import itertools
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass, field

from troutswitch.decisions.tenants.types import key_digest
from troutswitch.outcomes import Step
from troutswitch.runtime.http import Environ, Response, StartResponse, send
from troutswitch.standalone.callers.errors import bad_request
from troutswitch.standalone.callers.parsing import BadInput
from troutswitch.standalone.decisions.effects import CallAnswer, CallRefused
from troutswitch.standalone.decisions.events import Event
from troutswitch.standalone.decisions.views import Directory
from troutswitch.standalone.runtime.effects import EffectRunner
from troutswitch.standalone.runtime.http_requests import Request


class CallApplication:
    """A WSGI application that does not stream responses; subclasses route the calls."""

    def __init__(self, context: "CallerContext") -> None:
        self._context = context

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handles one call; bad input is refused with its reason."""
        try:
            response = self.route(Request(environ))
        except BadInput as error:
            response = bad_request(str(error), error.status)
        return send(response, start_response)

    def route(self, request: Request) -> Response:
        """Returns the response to a call.

        Raises:
            BadInput: the call is invalid.
        """
        raise NotImplementedError


ANONYMOUS_TENANT = "anonymous"
CALL_SECONDS = 30.0
"""Timeout of a call about a job or the configuration."""
CALL_SLACK_SECONDS = 5.0


@dataclass
class CallerContext:
    """Posts callers' events to the loop and waits for the answers."""

    daemon: str
    runner: EffectRunner
    post: Callable[[Event], None]
    now: Callable[[], float]
    _numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def directory(self) -> Directory:
        """The current directory of services and tenants."""
        return self.runner.directory

    @property
    def is_ready(self) -> bool:
        """Whether load balancers should send callers to this daemon."""
        return self.directory.is_ready and not self.runner.is_stopping

    def next_id(self) -> str:
        """Returns an id that is unique in the fleet."""
        with self._lock:
            return f"{self.daemon}-{next(self._numbers)}"

    def call(self, make_event: Callable[[str, float], Event]) -> CallAnswer:
        """Posts the event built from a token and a deadline, and waits for its answer."""
        token = self.next_id()
        deadline = self.now() + CALL_SECONDS
        future = self.runner.expect_answer(token)
        self.post(make_event(token, deadline))
        try:
            return future.result(CALL_SECONDS + CALL_SLACK_SECONDS)
        except FutureTimeoutError:
            return CallRefused("no decision in time", Step.READ, 504, False)

    def authenticate(self, request: Request) -> str:
        """Returns the caller's tenant.

        Raises:
            BadInput: the key is unknown, or missing although required.
        """
        directory = self.directory
        scheme, _, key = request.header("Authorization").partition(" ")
        if scheme.lower() == "bearer" and key:
            digest = key_digest(key.strip())
            for known, tenant in directory.tenant_of_key:
                if known == digest:
                    return tenant
            if directory.tenant_of_key or directory.require_api_key:
                raise BadInput("unknown API key", 401)
        if directory.require_api_key:
            raise BadInput("an API key is required", 401)
        return ANONYMOUS_TENANT

    def check_service(self, service: str) -> None:
        """Raises `BadInput` unless some engine offers the service."""
        if service not in self.directory.services:
            raise BadInput(f"unknown model {service!r}", 404)
