"""Stand-in for an inference engine: an HTTP server on loopback.

Times come from `EngineModel`, which a thread advances with the real clock. Token `i` of an
answer depends only on the prompt and `i`, so tests can check an answer that was continued on
another engine.
"""

import threading
import time
from collections import deque
from collections.abc import Iterable, Iterator

import msgspec

from troutswitch.common import Address, stable_hash
from troutswitch.runtime.http import Response, StartResponse, send, status_line
from troutswitch.standalone.engines.protocol import (
    LEAVING_HEADER,
    LEAVING_NO,
    LEAVING_YES,
    CompletionRequest,
    FencedCommand,
    LoadReport,
    Piece,
    Refusal,
)
from troutswitch.standalone.runtime.http_requests import EVENT_STREAM_TYPE, Request, json_response
from troutswitch.standalone.runtime.http_server import HttpServer
from troutswitch.standalone.standins.engine_model import EngineModel, EngineSpec
from troutswitch.standalone.standins.faults import FaultPlan, FaultSwitch

ENGINE_THREADS = 700
TICK_SECONDS = 0.005
CHARACTERS_PER_TOKEN = 4
PREFIX_TOKENS = 64
"""Length of a shared prompt prefix."""
LOAD_LAG_SECONDS = 0.2
CACHE_EVENT_DROP_INTERVAL = 7
"""One of this many cache events is not reported."""


def token_text(prompt: str, position: int) -> str:
    """Returns the token at a position of the answer to a prompt."""
    return f"w{stable_hash(prompt, str(position)) % 997} "


def prompt_tokens(prompt: str) -> int:
    """Returns the estimated length of a prompt in tokens."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1


class EngineStandin:
    """One engine that serves one service."""

    def __init__(
        self,
        address: Address,
        name: str,
        service: str,
        spec: EngineSpec | None = None,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.incarnation = f"{name}-{time.time_ns():x}"
        self.is_leaving = False
        self.role = "mixed"
        self.models = {service}
        self.faults = FaultSwitch(seed)
        self.runs: dict[str, int] = {}
        self._model = EngineModel(spec or EngineSpec())
        self._model.time = time.monotonic()
        self._advanced = threading.Condition()
        self._fence = -1
        self._loads: deque[tuple[float, LoadReport]] = deque()
        self._stopping = threading.Event()
        self._server = HttpServer(self._application, address, ENGINE_THREADS, name)
        self._ticker = threading.Thread(target=self._tick, daemon=True, name=f"{name}-model")
        self.address = self._server.address

    def start(self) -> None:
        """Starts serving."""
        self._ticker.start()
        self._server.start()

    def stop(self) -> None:
        """Stops serving."""
        self._stopping.set()
        self._server.stop()

    def _tick(self) -> None:
        while not self._stopping.wait(TICK_SECONDS):
            with self._advanced:
                now = time.monotonic()
                self._model.advance(now)
                self._model.take_changed()
                self._loads.append((now, self._load_report()))
                while len(self._loads) > 1 and self._loads[1][0] <= now - LOAD_LAG_SECONDS:
                    self._loads.popleft()
                if self._model.running or self._model.sequences:
                    self._advanced.notify_all()

    def _load_report(self) -> LoadReport:
        counts = self._model.counts()
        spec = self._model.spec
        events = len(self._model.cache_events)
        return LoadReport(self.incarnation, spec.slots, *counts, self.is_leaving, events)

    # HTTP.

    def _application(
        self, environ: dict[str, object], start_response: StartResponse
    ) -> Iterable[bytes]:
        request = Request(environ)
        if request.path == "/faults":
            return send(self._set_faults(request), start_response)
        handling = self.faults.before_call()
        if handling.is_refused:
            return send(json_response(503, {"reason": "down"}), start_response)
        if request.path == "/v1/completions" and request.method == "POST":
            return self._complete(request, start_response)
        return send(self._route(request), start_response)

    def _set_faults(self, request: Request) -> Response:
        try:
            self.faults.set(msgspec.json.decode(request.body(), type=FaultPlan))
        except msgspec.DecodeError as error:
            return json_response(400, {"error": str(error)})
        return json_response(200, {})

    def _route(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        match (request.method, parts):
            case ("GET", ["v1", "load"]):
                return self._load_response()
            case ("DELETE", ["v1", "requests", stream_id]):
                return self._cancel(stream_id)
            case ("POST", ["v1", "orders"]):
                return self._apply_command(request)
            case ("GET", ["v1", "cache", "events"]):
                return self._cache_events_response(request)
            case ("GET", ["v1", "kv", prefix]):
                return self._export_prefix(prefix)
            case ("POST", ["v1", "kv", prefix]):
                return self._import_prefix(prefix, request)
            case ("POST", ["v1", "leave"]):
                self.is_leaving = True
                return json_response(200, {})
            case _:
                return json_response(404, {"reason": "unknown path"})

    def _load_response(self) -> Response:
        with self._advanced:
            report = self._loads[0][1] if self._loads else self._load_report()
        if self.is_leaving:
            report = msgspec.structs.replace(report, leaving=True)
        return Response(200, msgspec.json.encode(report))

    def _cancel(self, stream_id: str) -> Response:
        with self._advanced:
            cancelled = self._model.cancel(time.monotonic(), stream_id)
            self._advanced.notify_all()
        return json_response(200, {"cancelled": cancelled})

    def _apply_command(self, request: Request) -> Response:
        try:
            command = msgspec.json.decode(request.body(), type=FencedCommand)
        except msgspec.DecodeError as error:
            return json_response(400, {"reason": str(error)})
        with self._advanced:
            if command.fence < self._fence:
                return json_response(409, {"reason": "stale fence", "fence": self._fence})
            self._fence = command.fence
            if command.kind == "role":
                self.role = command.name
            else:
                self.models.add(command.name)
        return json_response(200, {"fence": command.fence})

    def _cache_events_response(self, request: Request) -> Response:
        after = int(request.query("after", "0"))
        with self._advanced:
            visible_end = len(self._model.cache_events) - 1  # the newest event is not yet reported
            events = [
                {"sequence": e.sequence, "prefix": e.prefix, "stored": e.is_stored}
                for e in self._model.cache_events[after : max(0, visible_end)]
                if e.sequence % CACHE_EVENT_DROP_INTERVAL
            ]
        return json_response(200, events)

    def _export_prefix(self, prefix: str) -> Response:
        with self._advanced:
            tokens = self._model.cached_prefixes().get(prefix)
        if tokens is None:
            return json_response(404, {"reason": "not cached"})
        return json_response(200, {"prefix": prefix, "tokens": tokens})

    def _import_prefix(self, prefix: str, request: Request) -> Response:
        tokens = int(request.query("tokens", "0"))
        with self._advanced:
            self._model.import_prefix(prefix, tokens)
        return json_response(200, {})

    # Completions.

    def _complete(self, request: Request, start_response: StartResponse) -> Iterable[bytes]:
        try:
            completion = msgspec.json.decode(request.body(), type=CompletionRequest)
        except msgspec.DecodeError as error:
            return send(json_response(400, {"reason": str(error)}), start_response)
        refusal = self._admit(completion)
        if refusal is not None:
            response = Response(503, msgspec.json.encode(refusal))
            return send(response, start_response)
        leaving = LEAVING_YES if self.is_leaving else LEAVING_NO
        headers = [("Content-Type", EVENT_STREAM_TYPE), (LEAVING_HEADER, leaving)]
        start_response(status_line(200), headers)
        return self._stream(completion)

    def _admit(self, completion: CompletionRequest) -> Refusal | None:
        if self.is_leaving:
            return Refusal(True, True, "leaving")
        with self._advanced:
            is_new = completion.stream_id not in self._model.sequences
            sequence = self._model.submit(
                time.monotonic(),
                completion.stream_id,
                completion.priority,
                prompt_tokens(completion.prompt),
                completion.max_tokens,
                completion.prefix,
                min(PREFIX_TOKENS, prompt_tokens(completion.prompt)),
                completion.position,
            )
            if sequence is not None and is_new:
                self.runs[completion.stream_id] = self.runs.get(completion.stream_id, 0) + 1
        return None if sequence is not None else Refusal(True, False, "queue full", 1.0)

    def _stream(self, completion: CompletionRequest) -> Iterator[bytes]:
        sent = completion.position
        cut_after = self.faults.plan.cut_after_tokens
        while True:
            ready = self._wait_for_tokens(completion.stream_id, sent)
            if ready is None:
                yield _event(Piece(completion.stream_id, error="cancelled"))
                return
            generated, is_finished = ready
            pieces = [
                _event(
                    Piece(completion.stream_id, position, token_text(completion.prompt, position))
                )
                for position in range(sent, generated)
            ]
            sent = generated
            if cut_after and sent - completion.position >= cut_after:
                yield b"".join(pieces)
                return  # without a final piece, like a cut connection
            if is_finished:
                pieces.append(_event(Piece(completion.stream_id, done=True, length=sent)))
                yield b"".join(pieces)
                with self._advanced:
                    self._model.forget(completion.stream_id)
                return
            yield b"".join(pieces)

    def _wait_for_tokens(self, stream_id: str, sent: int) -> tuple[int, bool] | None:
        """Waits for a token after `sent` or the end; returns None if the stream was cancelled."""
        with self._advanced:
            while not self._stopping.is_set():
                sequence = self._model.sequences.get(stream_id)
                if sequence is None:
                    return None
                if sequence.generated > sent or sequence.is_finished:
                    return sequence.generated, sequence.is_finished
                self._advanced.wait(1.0)
        return None


def _event(piece: Piece) -> bytes:
    return b"data: " + msgspec.json.encode(piece) + b"\n\n"
