"""Callers that stop reading a large answer, or send a large body slowly."""

import http.client
import itertools
import random
import socket
import threading
import time
from enum import Enum, auto

from troutswitch.platform import names
from troutswitch.soak.callers import DaemonEndpoint, connect, request_headers
from troutswitch.soak.observations import Exchange, Observations, Outcome, RequestKind
from troutswitch.soak.tenants import SLOW_PREFIX
from troutswitch.standins.content import LARGE_ANSWER_PREFIX

SLOW_CALLERS = 48
"""Slow callers at a time: with answers of 1 MB and bodies of 3 MB they hold about 30 MB at each of
three daemons, most of what the account of a daemon with the smallest memory permits."""
BODY_BYTES = 3_000_000
"""Size of a slowly sent body, below the permitted 4 MiB."""
BODY = b"x" * BODY_BYTES
BODY_PARTS = 12
PART_PAUSE_SECONDS = 0.15
"""Pause between the parts of a body; the whole body takes less than the time limit of 3 s."""
RECEIVE_BUFFER_BYTES = 8192
"""Receive buffer of a stalled reader, so that unread bytes stay at the daemon."""
STALL_SECONDS = (1.0, 4.0)
"""Time for which a caller stops reading, or waits with its body, before it goes on."""
LEAVE_SECONDS = 10.0
"""Time after which a caller that stalled for good closes its connection."""
STALL_PAUSE_SECONDS = 0.2
"""Pause between two requests of a slow caller."""


class Slowness(Enum):
    """What a slow caller does."""

    READS_LATE = auto()
    NEVER_READS = auto()
    SENDS_SLOWLY = auto()
    NEVER_SENDS_ALL = auto()


class SlowCallers:
    """Threads that each have one slow request open at a time."""

    def __init__(
        self, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.stop_requested = threading.Event()
        self.endpoints = endpoints
        self.observations = observations
        self._prefix = f"{SLOW_PREFIX}{seed}-"
        self.threads = [
            threading.Thread(target=self._send_requests, args=(number,), daemon=True)
            for number in range(SLOW_CALLERS)
        ]

    def _send_requests(self, caller: int) -> None:
        rng = random.Random(f"{self._prefix}{caller}")
        for number in itertools.count(1):
            if self.stop_requested.wait(rng.uniform(0.0, 2 * STALL_PAUSE_SECONDS)):
                return
            endpoint, slowness = rng.choice(self.endpoints), rng.choice(list(Slowness))
            stall_seconds = rng.uniform(*STALL_SECONDS)
            self.send(endpoint, f"{self._prefix}{caller}-{number}", slowness, stall_seconds)

    def send(
        self, endpoint: DaemonEndpoint, request_id: str, slowness: Slowness, stall_seconds: float
    ) -> None:
        """Sends one request slowly, or reads its answer slowly, and records it.

        An answer that ends early counts as left by the caller, as a daemon may close the connection
        of a slow caller at any time.
        """
        is_reader = slowness in (Slowness.READS_LATE, Slowness.NEVER_READS)
        body = LARGE_ANSWER_PREFIX if is_reader else BODY
        kind = RequestKind.READ
        path = f"/{kind}/{request_id}"
        exchange = Exchange(request_id, kind, path, body, endpoint.daemon, time.monotonic())
        try:
            connection = connect(endpoint.address)
        except OSError:
            return
        with self.observations.lock:
            self.observations.exchanges.append(exchange)
        try:
            self._exchange(connection, exchange, slowness, stall_seconds)
        except (OSError, http.client.IncompleteRead):
            exchange.outcome = Outcome.CALLER_LEFT
        except http.client.HTTPException as error:
            exchange.outcome = Outcome.MALFORMED
            exchange.reason = f"{type(error).__name__}: {error}"
        exchange.ended_at = time.monotonic()
        connection.close()

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        exchange: Exchange,
        slowness: Slowness,
        stall_seconds: float,
    ) -> None:
        assert connection.sock is not None
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        headers = request_headers(exchange.request_id)
        connection.putrequest("POST", exchange.path, skip_host=True)
        for name, value in headers.items():
            connection.putheader(name, value)
        connection.putheader("Content-Length", str(len(exchange.body)))
        connection.endheaders()
        if slowness in (Slowness.READS_LATE, Slowness.NEVER_READS):
            connection.send(exchange.body)
        elif not self._send_body(connection, exchange.body, slowness):
            exchange.outcome = Outcome.CALLER_LEFT
            return
        if slowness is Slowness.READS_LATE:
            self.stop_requested.wait(stall_seconds)
        if slowness is Slowness.NEVER_READS:
            self.stop_requested.wait(LEAVE_SECONDS)
            exchange.outcome = Outcome.CALLER_LEFT
            return
        response = connection.getresponse()
        exchange.status = response.status
        exchange.stamp = response.getheader(names.RESPONSE_STAMP, "")
        exchange.answer = response.read()
        exchange.outcome = Outcome.COMPLETE

    def _send_body(
        self, connection: http.client.HTTPConnection, body: bytes, slowness: Slowness
    ) -> bool:
        """Sends a body in parts, and returns whether it was sent completely."""
        size = len(body) // BODY_PARTS
        parts = BODY_PARTS if slowness is Slowness.SENDS_SLOWLY else BODY_PARTS // 2
        for number in range(parts):
            connection.send(body[number * size : (number + 1) * size])
            if self.stop_requested.wait(PART_PAUSE_SECONDS):
                return False
        if slowness is Slowness.NEVER_SENDS_ALL:
            self.stop_requested.wait(LEAVE_SECONDS)
            return False
        connection.send(body[parts * size :])
        return True
