"""WSGI application for online callers: completions, chat, models and health."""

import json
from collections.abc import Callable, Iterable, Iterator

from prometheus_client import CollectorRegistry, generate_latest

from troutswitch.outcomes import Completed, OnlineOutcome
from troutswitch.runtime.http import Environ, Response, StartResponse, send, status_line
from troutswitch.standalone.callers.context import CallerContext
from troutswitch.standalone.callers.errors import bad_request, failed_request
from troutswitch.standalone.callers.parsing import (
    BadInput,
    CompletionBody,
    estimate_tokens,
    parse_completion,
    prefix_id,
)
from troutswitch.standalone.callers.relay import Relay, RelayedRequest
from troutswitch.standalone.decisions.events import OnlineArrived
from troutswitch.standalone.runtime.http_requests import EVENT_STREAM_TYPE, Request, json_response

REQUEST_SECONDS = 120.0
NOT_REPEATABLE = "no"
"""Value of the header `X-Repeatable` for a request that must run at most once."""
_TEXT_PLACEHOLDER = "\u0000text\u0000"
"""Placeholder of the text while the constant parts of an event are built."""


class OnlineApplication:
    """Serves online callers of one daemon."""

    def __init__(
        self,
        context: CallerContext,
        registry: CollectorRegistry,
        on_outcome: Callable[[OnlineOutcome | None], None],
    ) -> None:
        self._context = context
        self._registry = registry
        self._on_outcome = on_outcome

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handles one call."""
        request = Request(environ)
        try:
            match (request.method, request.path):
                case ("POST", "/v1/chat/completions"):
                    return self._complete(request, start_response, True)
                case ("POST", "/v1/completions"):
                    return self._complete(request, start_response, False)
                case ("GET", path):
                    return send(self._get(path, request), start_response)
                case _:
                    return send(bad_request("unknown path", 404), start_response)
        except BadInput as error:
            return send(bad_request(str(error), error.status), start_response)

    def _get(self, path: str, request: Request) -> Response:
        match path:
            case "/healthz":
                return json_response(200, {"status": "alive"})
            case "/readyz":
                is_ready = self._context.is_ready
                return json_response(200 if is_ready else 503, {"ready": is_ready})
            case "/metrics":
                return Response(200, generate_latest(self._registry), "text/plain; version=0.0.4")
            case "/v1/models":
                self._context.authenticate(request)
                return json_response(200, self._models())
            case _:
                return bad_request("unknown path", 404)

    def _models(self) -> dict[str, object]:
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": "fleet"}
            for name in self._context.directory.services
        ]
        return {"object": "list", "data": rows}

    # Completions.

    def _complete(
        self, request: Request, start_response: StartResponse, is_chat: bool
    ) -> Iterable[bytes]:
        tenant = self._context.authenticate(request)
        body = parse_completion(request.body(), is_chat)
        self._context.check_service(body.model)
        relay = self._relay(request, tenant, body)
        answer_format = _ChatFormat if is_chat else _TextFormat
        answer = answer_format(relay.request_id, body.model, int(self._context.now()))
        if body.stream:
            return self._stream(relay, answer, start_response)
        return send(self._complete_response(relay, answer, body), start_response)

    def _relay(self, request: Request, tenant: str, body: CompletionBody) -> Relay:
        text = body.text()
        arrival = OnlineArrived(
            self._context.next_id(),
            tenant,
            body.model,
            estimate_tokens(text),
            body.token_limit(),
            prefix_id(text),
            self._context.now() + REQUEST_SECONDS,
            request.header("X-Repeatable") != NOT_REPEATABLE,
            request.header("Idempotency-Key"),
        )
        context = self._context
        return Relay(RelayedRequest(arrival, text), context.runner, context.post, context.now)

    def _complete_response(
        self, relay: Relay, answer: "_AnswerFormat", body: CompletionBody
    ) -> Response:
        text = "".join(relay.texts())
        self._on_outcome(relay.outcome)
        outcome = relay.outcome
        assert outcome is not None
        if not isinstance(outcome, Completed):
            return failed_request(outcome, answer.answer_id)
        return json_response(
            200, answer.response_body(text, estimate_tokens(body.text()), outcome.length)
        )

    def _stream(
        self, relay: Relay, answer: "_AnswerFormat", start_response: StartResponse
    ) -> Iterable[bytes]:
        """Waits for the first text before the headers, so that a refusal has its own status."""
        texts = relay.texts()
        first = next(texts, None)
        if first is None and not isinstance(relay.outcome, Completed):
            assert relay.outcome is not None
            self._on_outcome(relay.outcome)
            return send(failed_request(relay.outcome, answer.answer_id), start_response)
        headers = [("Content-Type", EVENT_STREAM_TYPE), ("Cache-Control", "no-cache")]
        start_response(status_line(200), headers)
        return self._events(relay, answer, first or "", texts)

    def _events(
        self, relay: Relay, answer: "_AnswerFormat", first: str, texts: Iterator[str]
    ) -> Iterator[bytes]:
        try:
            yield answer.stream_event(first)
            for text in texts:
                yield answer.stream_event(text)
            outcome = relay.outcome
            assert outcome is not None
            if isinstance(outcome, Completed):
                yield answer.final_event()
                yield b"data: [DONE]\n\n"
            else:
                yield b"data: " + failed_request(outcome, answer.answer_id).body + b"\n\n"
        finally:
            texts.close()  # type: ignore[attr-defined]
            self._on_outcome(relay.outcome)


class _AnswerFormat:
    """Format of an answer; subclasses define the object names and the fields of the text.

    Streamed events of one answer differ only in their text, so the rest is serialized once.
    """

    chunk_object = ""

    def __init__(self, answer_id: str, model: str, created: int) -> None:
        self.answer_id = answer_id
        self._model = model
        self._created = created
        placeholder = json.dumps(_TEXT_PLACEHOLDER)
        event = json.dumps(self._frame(self.chunk_object, self._chunk_choice(_TEXT_PLACEHOLDER)))
        self._before, self._after = event.split(placeholder)

    def stream_event(self, text: str) -> bytes:
        """Returns one streamed event."""
        return f"data: {self._before}{json.dumps(text)}{self._after}\n\n".encode()

    def final_event(self) -> bytes:
        """Returns the last streamed event."""
        frame = self._frame(self.chunk_object, self._final_choice())
        return b"data: " + json.dumps(frame).encode() + b"\n\n"

    def response_body(self, text: str, prompt_tokens: int, tokens: int) -> dict[str, object]:
        """Returns the body of a response that is not streamed."""
        raise NotImplementedError

    def _chunk_choice(self, text: str) -> dict[str, object]:
        raise NotImplementedError

    def _final_choice(self) -> dict[str, object]:
        raise NotImplementedError

    def _frame(self, kind: str, choice: dict[str, object]) -> dict[str, object]:
        return {
            "id": self.answer_id,
            "object": kind,
            "created": self._created,
            "model": self._model,
            "choices": [{"index": 0, **choice}],
        }


class _ChatFormat(_AnswerFormat):
    """Format of `/v1/chat/completions`."""

    chunk_object = "chat.completion.chunk"

    def _chunk_choice(self, text: str) -> dict[str, object]:
        return {"delta": {"role": "assistant", "content": text}, "finish_reason": None}

    def _final_choice(self) -> dict[str, object]:
        return {"delta": {}, "finish_reason": "stop"}

    def response_body(self, text: str, prompt_tokens: int, tokens: int) -> dict[str, object]:
        """Returns the body of a response that is not streamed."""
        message = {"role": "assistant", "content": text}
        frame = self._frame("chat.completion", {"message": message, "finish_reason": "stop"})
        return {**frame, "usage": _usage(prompt_tokens, tokens)}


class _TextFormat(_AnswerFormat):
    """Format of `/v1/completions`."""

    chunk_object = "text_completion"

    def _chunk_choice(self, text: str) -> dict[str, object]:
        return {"text": text, "finish_reason": None}

    def _final_choice(self) -> dict[str, object]:
        return {"text": "", "finish_reason": "stop"}

    def response_body(self, text: str, prompt_tokens: int, tokens: int) -> dict[str, object]:
        """Returns the body of a response that is not streamed."""
        frame = self._frame("text_completion", {"text": text, "finish_reason": "stop"})
        return {**frame, "usage": _usage(prompt_tokens, tokens)}


def _usage(prompt_tokens: int, tokens: int) -> dict[str, int]:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }
