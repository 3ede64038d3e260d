"""Callers: each sends requests on a connection that it keeps for as long as the daemon does."""

import http.client
import random
import select
import socket
import threading
import time
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.platform import names
from troutswitch.soak.evidence import Evidence, Exchange, Kind, Outcome
from troutswitch.soak.tenants import STRANGER_KEY, is_stranger, key_of, tenant_of

HOST = "soak.example"
DEADLINE_SECONDS = 6.0
"""What callers wait: above a stream's second and a silent engine's 4 s."""
ANSWER_SECONDS = 20.0
"""Bound on the wait for an answer; callers outlast their deadline to see what comes late."""
REST_SECONDS = 0.04
"""Longest rest between two requests of a caller."""
RECONNECT_SECONDS = 0.1
"""Rest after a failure, as the ingress takes to pass a new connection on."""
LEAVE_SHARE = 0.04
"""Share of requests whose caller leaves before the answer is whole."""
BODY_BYTES_MOST = 3000
"""Largest body; above one segment on the wire."""
FORGED_TENANT = "forged"
"""What callers write for their tenant's name; no engine may see it."""
KINDS = (Kind.READ, Kind.ONCE, Kind.STREAM, Kind.STREAM_ONCE)


@dataclass(frozen=True, slots=True)
class Front:
    """Where callers reach a daemon."""

    daemon: str
    address: Address


def request_headers(
    request_id: str, owner: str = "", *, is_strange: bool = False
) -> dict[str, str]:
    """Returns the headers of a caller's request; `owner` is the job that a call is about."""
    key = STRANGER_KEY if is_strange else key_of(tenant_of(owner or request_id))
    return {
        "Host": HOST,
        names.API_KEY: key,
        names.TENANT: FORGED_TENANT,
        names.REQUEST_ID: request_id,
        names.DEADLINE_MS: str(int(DEADLINE_SECONDS * 1000)),
        names.MODEL: "m",
        names.TOKEN_USAGE: "40,12",
        names.PROMPT_PREFIX: f"{request_id}:40",
    }


def connect(address: Address) -> http.client.HTTPConnection:
    """Returns a new connection to a daemon.

    Raises:
        OSError: nobody takes it.
    """
    connection = http.client.HTTPConnection(address.host, address.port, timeout=ANSWER_SECONDS)
    connection.connect()
    connection.auto_open = 0
    return connection


def exchange(connection: http.client.HTTPConnection, held: Exchange) -> bool:
    """Sends a request and takes its answer in; returns whether the connection may be kept."""
    try:
        headers = request_headers(held.request_id, is_strange=held.is_strange)
        connection.request("POST", held.path, held.body, headers)
        response = connection.getresponse()
        held.status = response.status
        held.stamp = response.getheader(names.RESPONSE_STAMP, "")
        held.answer = response.read()
    except http.client.IncompleteRead as error:
        held.answer = error.partial
        return _ended(held, Outcome.CUT, "the answer ended early")
    except (http.client.RemoteDisconnected, OSError) as error:
        return _ended(held, Outcome.CUT, f"{type(error).__name__}: {error}")
    except http.client.HTTPException as error:
        return _ended(held, Outcome.MALFORMED, f"{type(error).__name__}: {error}")
    _ended(held, Outcome.WHOLE, "")
    return not response.will_close


def _ended(held: Exchange, outcome: Outcome, reason: str) -> bool:
    held.ended_at = time.monotonic()
    held.outcome = outcome
    held.reason = reason
    return False


class Caller:
    """One caller on a thread of its own; its kinds, bodies and rests are drawn from the seed."""

    def __init__(self, name: str, seed: int, fronts: list[Front], evidence: Evidence) -> None:
        self.name = name
        self.fronts = fronts
        self.evidence = evidence
        self.asked_to_stop = threading.Event()
        self._random = random.Random(f"{seed}-{name}")
        self._count = 0
        self._connection: http.client.HTTPConnection | None = None
        self._front = fronts[0]
        self.thread = threading.Thread(target=self._call, name=name, daemon=True)

    def _call(self) -> None:
        """Calls until it is asked to stop; a caller that dies makes the soak fail."""
        try:
            self._call_on()
        except Exception as error:
            with self.evidence.lock:
                self.evidence.unmet.append(("SOAK", f"{self.name} died: {error!r}"))
            raise

    def _call_on(self) -> None:
        while not self.asked_to_stop.is_set():
            rest = self._random.uniform(0.0, REST_SECONDS)
            if not self._one():
                self._drop()
                rest += RECONNECT_SECONDS
            self.asked_to_stop.wait(rest)
        self._drop()

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _one(self) -> bool:
        held = self._draw()
        leaves = self._random.random() < LEAVE_SHARE
        if self._connection is None:
            self._front = self._random.choice(self.fronts)
            try:
                self._connection = connect(self._front.address)
            except OSError:
                return False
        held.daemon = self._front.daemon
        held.stray = stray_bytes(self._connection)
        held.sent_at = time.monotonic()
        held.is_strange = is_stranger(held.request_id)
        with self.evidence.lock:
            seen = self.evidence.strangers if held.is_strange else self.evidence.exchanges
            seen.append(held)
        if leaves and not held.is_strange:
            return self._leave(held)
        return exchange(self._connection, held)

    def _draw(self) -> Exchange:
        self._count += 1
        kind = self._random.choice(KINDS)
        size = self._random.randint(0, BODY_BYTES_MOST)
        return Exchange(
            request_id=f"{self.name}-{self._count}",
            kind=kind,
            path=f"/{kind}/{self._count}?caller={self.name}",
            body=self._random.randbytes(size),
            daemon="",
            sent_at=0.0,
        )

    def _leave(self, held: Exchange) -> bool:
        assert self._connection is not None
        try:
            self._connection.request("POST", held.path, held.body, request_headers(held.request_id))
        except OSError as error:
            return _ended(held, Outcome.CUT, str(error))
        self.asked_to_stop.wait(self._random.uniform(0.0, 0.3))
        return _ended(held, Outcome.LEFT, "the caller left")


def _is_readable(sock: socket.socket) -> bool:
    """Returns whether bytes or an end wait; `select` would fail above descriptor 1,023."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def stray_bytes(connection: http.client.HTTPConnection) -> bytes:
    """Returns bytes that came on a kept connection on which no request waits."""
    sock = connection.sock
    if sock is None or not _is_readable(sock):
        return b""
    try:
        return bytes(sock.recv(200, socket.MSG_PEEK))
    except OSError:
        return b""
