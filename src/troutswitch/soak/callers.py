"""Callers that send online requests, each on a connection that it keeps open if possible."""

import http.client
import random
import socket
import threading
import time
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.platform import names
from troutswitch.runtime.readiness import is_readable
from troutswitch.soak.observations import Exchange, Observations, Outcome, RequestKind
from troutswitch.soak.tenants import UNKNOWN_KEY, key_of, tenant_of, uses_unknown_key

HOST = "soak.example"
DEADLINE_SECONDS = 6.0
"""Deadline that callers send with requests; longer than a stream of 1 s and the 4 s of a hanging
engine."""
ANSWER_TIMEOUT_SECONDS = 20.0
"""Timeout for an answer. It is longer than the deadline, so that late answers are observed."""
MAX_PAUSE_SECONDS = 0.04
"""Longest pause between two requests of a caller."""
RECONNECT_DELAY_SECONDS = 0.1
"""Pause after a failure: the time that the ingress takes to forward a new connection."""
ABANDON_SHARE = 0.04
"""Share of requests whose caller disconnects before the answer is complete."""
MAX_BODY_BYTES = 3000
"""Largest request body; larger than one TCP segment."""
FORGED_TENANT = "forged"
"""Tenant name that callers claim in a header; daemons must not forward it to engines."""
KINDS = (RequestKind.READ, RequestKind.ONCE, RequestKind.STREAM, RequestKind.STREAM_ONCE)


@dataclass(frozen=True, slots=True)
class DaemonEndpoint:
    """A daemon's name and an address at which callers reach it."""

    daemon: str
    address: Address


def request_headers(
    request_id: str,
    owner: str = "",
    *,
    has_unknown_key: bool = False,
    deadline_seconds: float = DEADLINE_SECONDS,
) -> dict[str, str]:
    """Returns the headers of a request; for calls about a job, `owner` is the job's id."""
    key = UNKNOWN_KEY if has_unknown_key else key_of(tenant_of(owner or request_id))
    return {
        "Host": HOST,
        names.API_KEY: key,
        names.TENANT: FORGED_TENANT,
        names.REQUEST_ID: request_id,
        names.DEADLINE_MS: str(int(deadline_seconds * 1000)),
        names.MODEL: "m",
        names.TOKEN_USAGE: "40,12",
        names.PROMPT_PREFIX: f"{request_id}:40",
    }


def connect(address: Address) -> http.client.HTTPConnection:
    """Returns a new connection to a daemon, which does not reconnect by itself.

    Raises:
        OSError: the connection was refused or timed out.
    """
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=ANSWER_TIMEOUT_SECONDS
    )
    connection.connect()
    connection.auto_open = 0
    return connection


def send_and_receive(connection: http.client.HTTPConnection, exchange: Exchange) -> bool:
    """Sends a request and records its answer; returns whether the connection can be reused."""
    try:
        headers = request_headers(
            exchange.request_id,
            has_unknown_key=exchange.has_unknown_key,
            deadline_seconds=exchange.deadline_seconds or DEADLINE_SECONDS,
        )
        connection.request("POST", exchange.path, exchange.body, headers)
        response = connection.getresponse()
        exchange.status = response.status
        exchange.stamp = response.getheader(names.RESPONSE_STAMP, "")
        exchange.answer = response.read()
    except http.client.IncompleteRead as error:
        exchange.answer = error.partial
        return _finish(exchange, Outcome.INTERRUPTED, "the answer ended early")
    except (http.client.RemoteDisconnected, OSError) as error:
        return _finish(exchange, Outcome.INTERRUPTED, f"{type(error).__name__}: {error}")
    except http.client.HTTPException as error:
        return _finish(exchange, Outcome.MALFORMED, f"{type(error).__name__}: {error}")
    _finish(exchange, Outcome.COMPLETE, "")
    return not response.will_close


def _finish(exchange: Exchange, outcome: Outcome, reason: str) -> bool:
    exchange.ended_at = time.monotonic()
    exchange.outcome = outcome
    exchange.reason = reason
    return False


class Caller:
    """A caller on a thread of its own; the seed determines its kinds, bodies and pauses."""

    def __init__(
        self, name: str, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.name = name
        self.endpoints = endpoints
        self.observations = observations
        self.stop_requested = threading.Event()
        self._rng = random.Random(f"{seed}-{name}")
        self._count = 0
        self._connection: http.client.HTTPConnection | None = None
        self._endpoint = endpoints[0]
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)

    def _run(self) -> None:
        """Sends requests until a stop is requested; an unexpected error makes the soak fail."""
        try:
            self._send_requests()
        except Exception as error:
            with self.observations.lock:
                self.observations.unmet_expectations.append(
                    ("SOAK", f"{self.name} died: {error!r}")
                )
            raise

    def _send_requests(self) -> None:
        while not self.stop_requested.is_set():
            pause = self._rng.uniform(0.0, MAX_PAUSE_SECONDS)
            if not self._send_one():
                self._disconnect()
                pause += RECONNECT_DELAY_SECONDS
            self.stop_requested.wait(pause)
        self._disconnect()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _send_one(self) -> bool:
        exchange = self._draw_request()
        is_abandoned = self._rng.random() < ABANDON_SHARE
        if self._connection is None:
            self._endpoint = self._rng.choice(self.endpoints)
            try:
                self._connection = connect(self._endpoint.address)
            except OSError:
                return False
        exchange.daemon = self._endpoint.daemon
        exchange.stray_bytes = peek_stray_bytes(self._connection)
        exchange.sent_at = time.monotonic()
        exchange.has_unknown_key = uses_unknown_key(exchange.request_id)
        with self.observations.lock:
            exchanges = (
                self.observations.unknown_key_exchanges
                if exchange.has_unknown_key
                else self.observations.exchanges
            )
            exchanges.append(exchange)
        if is_abandoned and not exchange.has_unknown_key:
            return self._send_and_abandon(exchange)
        return send_and_receive(self._connection, exchange)

    def _draw_request(self) -> Exchange:
        self._count += 1
        kind = self._rng.choice(KINDS)
        size = self._rng.randint(0, MAX_BODY_BYTES)
        return Exchange(
            request_id=f"{self.name}-{self._count}",
            kind=kind,
            path=f"/{kind}/{self._count}?caller={self.name}",
            body=self._rng.randbytes(size),
            daemon="",
            sent_at=0.0,
        )

    def _send_and_abandon(self, exchange: Exchange) -> bool:
        assert self._connection is not None
        try:
            self._connection.request(
                "POST", exchange.path, exchange.body, request_headers(exchange.request_id)
            )
        except OSError as error:
            return _finish(exchange, Outcome.INTERRUPTED, str(error))
        self.stop_requested.wait(self._rng.uniform(0.0, 0.3))
        return _finish(exchange, Outcome.CALLER_LEFT, "the caller left")


def peek_stray_bytes(connection: http.client.HTTPConnection) -> bytes:
    """Returns the bytes received on a connection on which no request is waiting."""
    sock = connection.sock
    if sock is None or not is_readable(sock):
        return b""
    try:
        return bytes(sock.recv(200, socket.MSG_PEEK))
    except OSError:
        return b""
