"""WSGI application for callers on the users' platform.

Each request is handled on one thread of the listener until the last byte of its response.
`JobCalls` answers calls about batch jobs; `Relay` forwards all other requests.
"""

import sys
from collections.abc import Callable, Iterable, Iterator

from troutswitch.decisions.forwarding.messages import CallerGoneBeforeHandling
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.gateway.callers.listener import (
    BEGIN_ANSWER_KEY,
    CONNECTION_KEY,
    DESCRIBE_ANSWER_KEY,
)
from troutswitch.gateway.callers.relay import FAILURE_RETRY_AFTER_SECONDS, CompleteAnswer, Relay
from troutswitch.gateway.callers.relay_registry import RelayRegistry
from troutswitch.gateway.engines.connection_pool import EngineConnections
from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.gateway.memory.account import MemoryAccount
from troutswitch.gateway.unexpected_errors import UnexpectedErrors
from troutswitch.outcomes import Cut, MayHaveRun, NotRun, Step
from troutswitch.platform import names
from troutswitch.platform.requests import (
    Environ,
    IncomingRequest,
    RequestFormatError,
    check_request,
    read_request,
)
from troutswitch.runtime.http import Response, StartResponse, send, status_line

JobHandler = Callable[[IncomingRequest, bytes], Response | None]


class AnswerCut(ConnectionError):
    """A streamed response cannot be completed.

    The connection is closed without the final chunk, so that the caller cannot mistake a truncated
    response for a complete one. waitress treats an `OSError` as a lost connection and closes it
    without sending anything else.
    """


class CallerApplication:
    """Serves the callers of one daemon.

    Args:
        relays: registry of the requests in progress.
        connections: pool of connections to engines.
        post: posts an event to the loop.
        engine_activity: records which engines send bytes.
        handle_job: answers a call about a batch job; returns None for any other request.
        memory: account of what is held for callers.
        errors: reports unexpected errors.
    """

    def __init__(
        self,
        relays: RelayRegistry,
        connections: EngineConnections,
        post: Callable[[GatewayEvent], None],
        engine_activity: EngineActivityReporter,
        handle_job: JobHandler,
        memory: MemoryAccount | None = None,
        errors: UnexpectedErrors | None = None,
    ) -> None:
        self._relays = relays
        self._connections = connections
        self._post = post
        self._engine_activity = engine_activity
        self._handle_job = handle_job
        self._memory = memory or MemoryAccount()
        self._errors = errors or UnexpectedErrors()

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handles one request; an unexpected error before it was forwarded is a refusal."""
        try:
            return self._handle(environ, start_response)
        except Exception as error:
            self._errors.report("handle request", error)
            outcome = NotRun(
                f"{type(error).__name__}: {error}", Step.PARSE, "", FAILURE_RETRY_AFTER_SECONDS
            )
            return _send_failure(outcome, _request_id(environ), start_response)

    def _handle(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        request = read_request(environ)
        begin_answer = environ.get(BEGIN_ANSWER_KEY)
        if begin_answer is not None:
            begin_answer(request.request_id, request.time_left)
        body = _read_body(environ)
        response = self._handle_job(request, body)
        describe_answer = environ.get(DESCRIBE_ANSWER_KEY)
        if describe_answer is not None:
            describe_answer(request.request_id, response is not None, request.time_left)
        if response is not None:
            return send(response, start_response)
        try:
            check_request(request)
        except RequestFormatError as error:
            return send(_plain(400, str(error)), start_response)
        return self._forward(environ, request, body, start_response)

    def on_unserved(self, headers: dict[str, str], age: float) -> None:
        """Reports a request not served because its caller disconnected `age` seconds ago."""
        request_id = headers.get(names.REQUEST_ID.upper().replace("-", "_"), "")
        self._post(CallerGoneBeforeHandling(request_id, age))

    def _forward(
        self,
        environ: Environ,
        request: IncomingRequest,
        body: bytes,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Relays a request; the response becomes a stream with its first event."""
        token = self._relays.next_token()
        relay = Relay(
            token,
            request,
            body,
            self._relays,
            self._connections,
            self._post,
            self._engine_activity,
            self._memory,
            self._errors,
        )
        chunks = relay.run()
        try:
            self._relays.register_caller(token, environ[CONNECTION_KEY])
            first = next(chunks, None)
            if first is not None:
                assert relay.head is not None
                start_response(status_line(relay.head.status), relay.head.headers)
                return self._stream(relay, first, chunks)
            self._release(relay)
            return self._send_complete(relay, start_response)
        except Exception as error:
            self._errors.report("forward request", error)
            chunks.close()  # type: ignore[attr-defined]
            self._release(relay)
            outcome = relay.failure(f"{type(error).__name__}: {error}")
            return _send_failure(outcome, request.request_id, start_response)
        except BaseException:
            self._release(relay)
            raise

    def _release(self, relay: Relay) -> None:
        """Ends what is held for a request in progress."""
        self._relays.unregister_caller(relay.token)
        relay.release_answer()

    def _send_complete(self, relay: Relay, start_response: StartResponse) -> Iterable[bytes]:
        finish = relay.finish
        if finish is not None and not finish.relays_answer:
            return send(error_response(finish.outcome, relay.request.request_id), start_response)
        if relay.complete_answer is not None:
            return _forward_answer(relay.complete_answer, start_response)
        assert relay.head is not None
        start_response(status_line(relay.head.status), relay.head.headers)
        return []

    def _stream(self, relay: Relay, first: bytes, chunks: Iterator[bytes]) -> Iterator[bytes]:
        try:
            yield first
            yield from chunks
            if relay.finish is not None:
                raise AnswerCut(relay.finish.outcome.reason)
        except AnswerCut:
            raise
        except Exception as error:
            self._errors.report("forward stream", error)
            raise AnswerCut(f"{type(error).__name__}: {error}") from error
        finally:
            chunks.close()  # type: ignore[attr-defined]
            self._release(relay)


def error_response(outcome: NotRun | MayHaveRun | Cut, request_id: str) -> Response:
    """Returns the response to a request for which no engine's response can be forwarded."""
    status = outcome.status if isinstance(outcome, NotRun | MayHaveRun) else 502
    headers = [(names.REQUEST_ID, request_id)] if request_id else []
    if isinstance(outcome, NotRun) and outcome.retry_after is not None:
        headers.append((names.RETRY_AFTER, f"{outcome.retry_after:.3f}"))
    text = f"{type(outcome).__name__}: {outcome.reason} ({outcome.step}, {outcome.peer})\n"
    return Response(status, text.encode(), "text/plain", tuple(headers))


def _send_failure(
    outcome: NotRun | MayHaveRun | Cut, request_id: str, start_response: StartResponse
) -> list[bytes]:
    """Sends a failure in place of any response whose head was prepared but not sent."""

    def restart(status: str, headers: list[tuple[str, str]]) -> None:
        start_response(status, headers, sys.exc_info())

    return send(error_response(outcome, request_id), restart)


def _request_id(environ: Environ) -> str:
    return str(environ.get("HTTP_" + names.REQUEST_ID.upper().replace("-", "_"), ""))


def _plain(status: int, text: str) -> Response:
    return Response(status, f"{text}\n".encode(), "text/plain")


def _forward_answer(answer: CompleteAnswer, start_response: StartResponse) -> list[bytes]:
    headers = [*answer.head.headers, ("Content-Length", str(len(answer.body)))]
    start_response(status_line(answer.head.status), headers)
    return [answer.body]


def _read_body(environ: Environ) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return bytes(environ["wsgi.input"].read(length)) if length else b""
