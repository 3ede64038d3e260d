"""A small stand-in of a model server for the cases of the review, as PROTOCOL.md describes one.

It answers whole answers and streams of events, takes `slots` requests at once, refuses the rest as
not run, and writes a journal of JSON lines: what was run, from which event on, and how it ended.
"""

import argparse
import hashlib
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Server(ThreadingHTTPServer):
    """A threaded server that does not report broken connections."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        """Does nothing."""


class Engine:
    """State of one incarnation."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.running = 0
        self.items = 0
        self.runs = 0
        self.lock = threading.Lock()
        self.file = open(options.journal, "a", buffering=1)

    def write(self, kind: str, request_id: str, **fields: object) -> None:
        """Writes a line of the journal."""
        row = {"at": time.monotonic(), "engine": self.options.id, "kind": kind, "id": request_id}
        with self.lock:
            self.file.write(json.dumps(row | fields) + "\n")

    def event_data(self, run: int, item: str, number: int, is_spoiled: bool) -> bytes:
        """Returns the data of an event."""
        text = f"{self.options.id}/{run}/{item}/{number}".encode()
        if is_spoiled and number == self.options.spoiled_event:
            return text[:-1] + b"\xff"  # one wrong byte
        if self.options.separator and number % 3 == 0:
            text += self.options.separator.encode() + b"the rest of the event"
        return text


class Handler(BaseHTTPRequestHandler):
    """Answers one connection."""

    engine: Engine
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: object) -> None:
        """Writes no access log."""

    def _head(self, status: int, fields: dict[str, str]) -> None:
        self.send_response(status)
        engine = self.engine
        load = f"{engine.running},0,{engine.options.slots}"
        common = {"X-Troutswitch-Server-Load": load, "Keep-Alive": "timeout=10"}
        for name, value in (common | fields).items():
            self.send_header(name, value)

    def _reply(self, status: int, body: bytes, fields: dict[str, str]) -> None:
        self._head(status, fields | {"Content-Length": str(len(body))})
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self) -> None:
        """Answers the health path."""
        self._reply(200, b"", {"X-Troutswitch-Instance-Id": self.engine.options.id})

    def do_POST(self) -> None:
        """Runs a request, or refuses it as not run."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        engine, options = self.engine, self.engine.options
        request_id = self.headers.get("X-Troutswitch-Request-Id", "")
        named = {"X-Troutswitch-Request-Id": request_id}
        not_run = named | {"X-Troutswitch-Not-Executed": "1"}
        if self.headers.get("X-Troutswitch-Expect-Instance", options.id) != options.id:
            self._reply(421, b"", not_run)
            return
        with engine.lock:
            is_full = engine.running >= options.slots
            engine.running += not is_full
            engine.runs += not is_full
            run = engine.runs
        if is_full:
            self._reply(503, b"", not_run)
            return
        try:
            self._run(run, request_id, named, body)
        except OSError:
            self.close_connection = True
            engine.write("cut", request_id, run=run)
        finally:
            with engine.lock:
                engine.running -= 1

    def _run(self, run: int, request_id: str, named: dict[str, str], body: bytes) -> None:
        engine, options = self.engine, self.engine.options
        after = int(self.headers.get("Last-Event-Id") or 0)
        is_item = self.path.startswith("/lot/")
        is_spoiled = False
        if is_item:
            with engine.lock:
                engine.items += 1
                every = options.spoil_every
                is_spoiled = bool(every) and engine.items % every == 1
        engine.write("begun", request_id, run=run, path=self.path, after=after, spoiled=is_spoiled)
        named = named | {"X-Troutswitch-Response-Stamp": f"{options.id}.{run}"}
        if not is_item:
            time.sleep(options.work)
            answer = hashlib.sha256(request_id.encode() + body).hexdigest().encode()
            if self.path.endswith("/large"):
                answer *= options.large // len(answer)
            self._reply(200, answer, named)
            engine.write("ended", request_id, run=run)
            return
        self._head(
            200, named | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        )
        self.end_headers()
        number = after
        time.sleep(options.first)
        while number < options.events:
            last = min(number + options.burst, options.events)
            events = b""
            for event in range(number + 1, last + 1):
                data = engine.event_data(run, request_id, event, is_spoiled)
                events += f"id: {event}\n".encode() + b"data: " + data + b"\n\n"
            self.wfile.write(f"{len(events):x}\r\n".encode() + events + b"\r\n")
            number = last
            if number < options.events:
                time.sleep(options.pause)
        self.wfile.write(b"0\r\n\r\n")
        engine.write("ended", request_id, run=run, events=number)


def main() -> None:
    """Serves until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--journal", required=True)
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--work", type=float, default=0.05, help="seconds of a whole answer")
    parser.add_argument("--first", type=float, default=0.1, help="seconds to the first event")
    parser.add_argument("--events", type=int, default=40, help="events of an item")
    parser.add_argument("--burst", type=int, default=1, help="events that are sent together")
    parser.add_argument("--pause", type=float, default=0.05, help="seconds between them")
    parser.add_argument("--large", type=int, default=2_400_000, help="bytes of a large answer")
    parser.add_argument("--spoil-every", type=int, default=0, help="spoil one item answer in N")
    parser.add_argument("--spoiled-event", type=int, default=5)
    parser.add_argument("--separator", default="", help="put into the data of each third event")
    options = parser.parse_args()
    handler = type("BoundHandler", (Handler,), {"engine": Engine(options)})
    Server(("127.0.0.1", options.port), handler).serve_forever()


main()
