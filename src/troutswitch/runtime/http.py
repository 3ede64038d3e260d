"""Small helpers around waitress and http.client, shared by all HTTP peers."""

import contextlib
import http.client
import json
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import waitress.server

from troutswitch.clock import steady_seconds
from troutswitch.common import Address

StartResponse = Callable[..., Any]
Environ = dict[str, Any]
WsgiApplication = Callable[[Environ, StartResponse], Iterable[bytes]]

JSON_TYPE = "application/json"
CBOR_TYPE = "application/cbor"
EVENT_STREAM_TYPE = "text/event-stream"
BODY_MOST_BYTES = 64 * 1024 * 1024
"""Longest request body that is read."""
ANSWER_SECONDS = 1.0
"""Longest wait at the end for requests in progress: a daemon has refused new ones for a second by
then, and a refusal takes milliseconds."""
QUIET_SECONDS = 0.1
"""Time without a request in progress after which none is on its way from the socket any more."""
LOOK_SECONDS = 0.01
THREAD_STACK_BYTES = 256 * 1024
"""Stack of a server thread; the relay needs little."""

REASONS = http.client.responses


@dataclass(frozen=True)
class Response:
    """A whole response."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


def json_response(
    status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Builds a response that carries JSON."""
    return Response(status, json.dumps(value).encode(), JSON_TYPE, headers)


@dataclass
class Request:
    """A request as handlers see it."""

    environ: Environ
    method: str = field(init=False)
    path: str = field(init=False)

    def __post_init__(self) -> None:
        self.method = str(self.environ["REQUEST_METHOD"])
        self.path = str(self.environ.get("PATH_INFO", "/"))

    def header(self, name: str) -> str:
        """Returns a header's value, or an empty string."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return str(self.environ.get(key, ""))

    @property
    def content_type(self) -> str:
        """The content type without parameters."""
        return str(self.environ.get("CONTENT_TYPE", "")).partition(";")[0].strip()

    def query(self, name: str, default: str = "") -> str:
        """Returns the first value of a query parameter."""
        values = parse_qs(str(self.environ.get("QUERY_STRING", ""))).get(name)
        return values[0] if values else default

    def body(self) -> bytes:
        """Returns the whole body, which waitress has received already."""
        length = int(self.environ.get("CONTENT_LENGTH") or 0)
        data = self.environ["wsgi.input"].read(length)
        return bytes(data)


def send(response: Response, start_response: StartResponse) -> list[bytes]:
    """Sends a whole response."""
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        *response.headers,
    ]
    start_response(status_line(response.status), headers)
    return [response.body]


def status_line(status: int) -> str:
    """Returns the status with its reason."""
    return f"{status} {REASONS.get(status, 'Unknown')}"


class HttpServer:
    """A waitress server with its own threads."""

    def __init__(
        self, application: WsgiApplication, address: Address, threads: int, name: str
    ) -> None:
        threading.stack_size(THREAD_STACK_BYTES)
        self._server = waitress.server.create_server(
            application,
            host=address.host,
            port=address.port,
            threads=threads,
            asyncore_use_poll=True,
            connection_limit=threads + 200,
            channel_timeout=60,
            cleanup_interval=5,
            max_request_body_size=BODY_MOST_BYTES,
            ident="troutswitch",
            clear_untrusted_proxy_headers=True,
        )
        self.address = Address(address.host, int(self._server.effective_port))
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Starts serving."""
        self._thread.start()

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            return  # the listening socket was closed by `stop`

    def stop(self) -> None:
        """Takes no more connections, answers what was read, and closes.

        Guards against a request that comes at the very end: where the threads ended first, one
        that waited for a thread was cancelled, and its caller saw a close without an answer.
        """
        self._wait_until_accepted()
        self._server.del_channel()
        with contextlib.suppress(OSError):
            self._server.socket.shutdown(socket.SHUT_RDWR)  # also while its thread polls it
        self._server.socket.close()
        self._wait_until_answered()
        self._server.task_dispatcher.shutdown(timeout=1)
        self._server.close()

    def _wait_until_accepted(self) -> None:
        """Waits until no connection waits to be accepted; closing the listener resets those."""
        until = steady_seconds() + ANSWER_SECONDS
        poller = select.poll()
        poller.register(self._server.socket, select.POLLIN)
        while poller.poll(0) and steady_seconds() < until:
            time.sleep(LOOK_SECONDS)

    def _wait_until_answered(self) -> None:
        """Waits until nothing was in progress for a moment, and not for long."""
        until = steady_seconds() + ANSWER_SECONDS
        quiet_since = steady_seconds()
        while steady_seconds() < min(until, quiet_since + QUIET_SECONDS):
            if self._is_answering():
                quiet_since = steady_seconds()
            time.sleep(LOOK_SECONDS)

    def _is_answering(self) -> bool:
        channels = list(self._server.active_channels.values())
        return any(channel.requests or channel.total_outbufs_len for channel in channels)


class HttpError(Exception):
    """A call that was not answered as hoped. `was_sent` tells whether it may have run."""

    def __init__(self, reason: str, was_sent: bool) -> None:
        super().__init__(reason)
        self.was_sent = was_sent


class ThreadLocalConnections:
    """Connections that are reused, a set for each thread."""

    def __init__(self, timeout_seconds: float) -> None:
        self._timeout = timeout_seconds
        self._local = threading.local()

    def call(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes | None = None,
        content_type: str = JSON_TYPE,
    ) -> tuple[int, bytes]:
        """Makes a call and returns status and body.

        Raises:
            HttpError: no answer came; `was_sent` is False only if no connection was made.
        """
        connection = self._connection(address)
        headers = {"Content-Type": content_type} if body is not None else {}
        was_sent = connection.sock is not None
        try:
            if connection.sock is None:
                connection.connect()
            was_sent = True
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise HttpError(f"{type(error).__name__}: {error}", was_sent) from error

    def _connection(self, address: Address) -> http.client.HTTPConnection:
        held: dict[Address, http.client.HTTPConnection] | None
        held = getattr(self._local, "connections", None)
        if held is None:
            held = {}
            self._local.connections = held
        if address not in held:
            held[address] = http.client.HTTPConnection(
                address.host, address.port, timeout=self._timeout
            )
        return held[address]
