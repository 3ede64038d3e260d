"""Callers that keep a connection and read each large answer at the speed of an ordinary link.

Their answers are longer in the buffers of a daemon than with its engine, so that planned stops meet
them. A faster reader would have everything before a stop has begun to wait.
"""

import http.client
import itertools
import random
import socket
import threading
import time

from troutswitch.platform import names
from troutswitch.soak.callers import DaemonEndpoint, connect, request_headers
from troutswitch.soak.observations import Exchange, Observations, Outcome, RequestKind
from troutswitch.soak.tenants import READER_PREFIX
from troutswitch.standins.content import LARGE_ANSWER_PREFIX

READING_CALLERS = 6
BYTES_PER_SECOND = 600_000
"""Speed of a caller, with which a large answer takes 1.7 s of a time limit of some seconds."""
READ_BYTES = 8192
RECEIVE_BUFFER_BYTES = 16_384
SEGMENT_BYTES = 1448
"""Largest segment of an ordinary network. That of loopback makes the kernel's buffers larger."""
PAUSE_SECONDS = (0.0, 0.6)
"""Range of the pause between two requests."""


class ReadingCallers:
    """Threads that each keep one connection to a daemon, and read large answers steadily."""

    def __init__(
        self, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.stop_requested = threading.Event()
        self.endpoints = endpoints
        self.observations = observations
        self._prefix = f"{READER_PREFIX}{seed}-"
        self.threads = [
            threading.Thread(target=self._send_requests, args=(number,), daemon=True)
            for number in range(READING_CALLERS)
        ]

    def _send_requests(self, caller: int) -> None:
        rng = random.Random(f"{self._prefix}{caller}")
        connection: http.client.HTTPConnection | None = None
        endpoint = rng.choice(self.endpoints)
        for number in itertools.count(1):
            if self.stop_requested.wait(rng.uniform(*PAUSE_SECONDS)):
                break
            if connection is None:
                endpoint = rng.choice(self.endpoints)
                connection = self._connect(endpoint)
            if connection is None:
                continue
            request_id = f"{self._prefix}{caller}-{number}"
            if not self.send(connection, endpoint, request_id):
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    @staticmethod
    def _connect(endpoint: DaemonEndpoint) -> http.client.HTTPConnection | None:
        try:
            connection = connect(endpoint.address)
        except OSError:
            return None
        assert connection.sock is not None
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return connection

    def send(
        self, connection: http.client.HTTPConnection, endpoint: DaemonEndpoint, request_id: str
    ) -> bool:
        """Sends one request, reads and records its answer; returns whether to send another."""
        kind = RequestKind.READ
        path, body = f"/{kind}/{request_id}", LARGE_ANSWER_PREFIX
        exchange = Exchange(request_id, kind, path, body, endpoint.daemon, time.monotonic())
        with self.observations.lock:
            self.observations.exchanges.append(exchange)
        try:
            connection.request("POST", path, body, request_headers(request_id))
            response = connection.getresponse()
            exchange.status = response.status
            exchange.stamp = response.getheader(names.RESPONSE_STAMP, "")
            exchange.answer = self._read(response)
            is_whole = not response.length
            exchange.outcome = Outcome.COMPLETE if is_whole else Outcome.INTERRUPTED
        except OSError as error:
            exchange.outcome = Outcome.INTERRUPTED
            exchange.reason = f"{type(error).__name__}: {error}"
        except http.client.HTTPException as error:
            exchange.outcome = Outcome.MALFORMED
            exchange.reason = f"{type(error).__name__}: {error}"
        exchange.ended_at = time.monotonic()
        return exchange.outcome is Outcome.COMPLETE and not response.will_close

    @staticmethod
    def _read(response: http.client.HTTPResponse) -> bytes:
        """Returns the body, or what came of it before the connection ended."""
        received = bytearray()
        began_at = time.monotonic()
        while part := response.read1(READ_BYTES):
            received += part
            due_at = began_at + len(received) / BYTES_PER_SECOND
            time.sleep(max(0.0, due_at - time.monotonic()))
        response.close()  # the connection takes no further request before
        return bytes(received)
