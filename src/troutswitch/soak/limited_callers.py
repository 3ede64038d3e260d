"""Callers of a tenant with a small quota, which send many times more than it over all daemons."""

import itertools
import random
import threading
import time

from troutswitch.soak.callers import DaemonEndpoint, connect, send_and_receive
from troutswitch.soak.observations import Exchange, Observations, RequestKind
from troutswitch.soak.tenants import LIMITED_PREFIX, LIMITED_RATE

LOAD_FACTOR = 12.0
"""Requests sent, as a multiple of the quota: a rate that the users' hot tenants reach."""
SENDERS = 8
"""Threads that send. Each waits for its answers, so that stalled daemons slow it down."""
MAX_REQUESTS = 100_000
"""Upper bound of the requests of one soak."""


class LimitedCallers:
    """Threads that send requests of the limited tenant, each to a random daemon."""

    def __init__(
        self, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.stop_requested = threading.Event()
        self.endpoints = endpoints
        self.observations = observations
        self._seed = seed
        self._numbers = itertools.count(1)
        self.threads = [
            threading.Thread(target=self._send_requests, args=(sender,), daemon=True)
            for sender in range(SENDERS)
        ]

    def _send_requests(self, sender: int) -> None:
        rng = random.Random(f"{self._seed}-limited-{sender}")
        pause = SENDERS / (LIMITED_RATE * LOAD_FACTOR)
        for number in self._numbers:
            if self.stop_requested.wait(rng.uniform(0.0, 2 * pause)) or number > MAX_REQUESTS:
                return
            self._send_one(f"{LIMITED_PREFIX}{self._seed}-{number}", rng.choice(self.endpoints))

    def _send_one(self, request_id: str, endpoint: DaemonEndpoint) -> None:
        kind = RequestKind.READ
        path = f"/{kind}/{request_id}"
        exchange = Exchange(request_id, kind, path, b"", endpoint.daemon, time.monotonic())
        try:
            connection = connect(endpoint.address)
        except OSError:
            return
        with self.observations.lock:
            self.observations.exchanges.append(exchange)
        send_and_receive(connection, exchange)
        connection.close()
