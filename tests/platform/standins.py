"""Stand-ins of the platform over HTTP: its store and an engine."""

import threading
import time
from typing import Any

from troutswitch.common import Address
from troutswitch.platform.store_service import StoreService as StoreStandin
from troutswitch.standins.loopback import LoopbackHandler, LoopbackServer

__all__ = ["EngineStandin", "StoreStandin", "configuration"]

OBJECTIVE_MS = 4000
"""Time to the first event after which a request moves to another engine. It is below the time limit
of the streaming route and far above the time that a stand-in needs on a busy machine."""
GAP_MS = 2000
"""Half the gap between events after which a stream resumes at another engine."""


class EngineStandin:
    """An engine that responds with a stream of events, with a pause after each.

    `break_after` makes it cut one stream inside the event after that number. `is_full` makes it
    refuse requests as not executed.
    """

    def __init__(self, engine_id: str, events: int = 5, pause: float = 0.02) -> None:
        self.engine_id = engine_id
        self.events = events
        self.pause = pause
        self.requests: list[tuple[str, str, dict[str, str], bytes]] = []
        self.break_after = 0
        self.is_full = False
        standin = self

        class Handler(LoopbackHandler):
            def do_POST(self) -> None:
                standin.answer(self)

        self.server = LoopbackServer(("127.0.0.1", 0), Handler)
        self.address = Address("127.0.0.1", self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def record(self, service: str, state: str = "ready") -> dict[str, Any]:
        return {
            "service": service,
            "address": str(self.address),
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    def answer(self, handler: LoopbackHandler) -> None:
        body = handler.body()
        headers = {name.lower(): value for name, value in handler.headers.items()}
        self.requests.append((handler.command, handler.path, headers, body))
        request_id = headers.get("x-troutswitch-request-id", "")
        common = {"X-Troutswitch-Request-Id": request_id}
        if headers.get("x-troutswitch-expect-instance") != self.engine_id:
            handler.reply(421, b"", common)
            return
        if self.is_full:
            handler.reply(503, b"", {**common, "X-Troutswitch-Not-Executed": "1"})
            return
        handler.send_response(200)
        for name, value in {
            **common,
            "X-Troutswitch-Response-Stamp": f"stamp-{request_id}",
            "X-Troutswitch-Server-Load": "1,0,8",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }.items():
            handler.send_header(name, value)
        handler.end_headers()
        self.stream(handler, request_id, int(headers.get("last-event-id") or 0))

    def stream(self, handler: LoopbackHandler, request_id: str, last: int) -> None:
        for number in range(last + 1, self.events + 1):
            if self.break_after and number > self.break_after:
                self.break_after = 0
                handler.wfile.write(b"8\r\nid: 9\nda")  # cut inside an event
                handler.close_connection = True
                return
            data = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            handler.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            handler.wfile.flush()
            time.sleep(self.pause)
        handler.wfile.write(b"0\r\n\r\n")


def configuration(service: str, version: int = 1) -> dict[str, Any]:
    stream = {
        "name": "r-stream",
        "host": "h.example",
        "pathPrefix": "/chat/",
        "routeType": "streaming",
        "timeoutMs": 5000,
        "targetLatencyMs": OBJECTIVE_MS,
        "maxAttempts": 2,
        "resumable": True,
        "gapTargetMs": GAP_MS,
        "service": service,
    }
    batch = {
        "name": "r-batch",
        "host": "h.example",
        "pathPrefix": "/jobs/",
        "routeType": "batch",
        "timeoutMs": 30000,
        "targetLatencyMs": OBJECTIVE_MS,
        "maxAttempts": 3,
        "completionTargetMs": 20000,
        "retentionS": 60,
        "maxQueuedTokens": 10000,
        "service": service,
    }
    return {
        "version": version,
        "routes": [stream, batch],
        "services": [{"name": service, "maxConnections": 50, "engine": {"slots": 8}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304},
    }
