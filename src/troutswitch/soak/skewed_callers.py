"""Callers that open a connection for each request, at times nearly all of them at one daemon."""

import random
import threading
import time

from troutswitch.soak.callers import DaemonEndpoint, request_headers
from troutswitch.soak.observations import Exchange, Observations, RequestKind
from troutswitch.soak.receiving import exchange_on_new_connection

CALLERS = 16
EVEN_PREFIX = "even-"
SKEWED_PREFIX = "skewed-"
SETTLING_PREFIX = "settling-"
"""Requests of the first `CONTACT_SECONDS` of a skew, which the promise excludes."""
CONTACT_SECONDS = 3.0
EVEN_SECONDS = 4.0
SKEWED_SECONDS = 7.0
SKEWED_SHARE = 0.85
"""Share of new connections that go to one daemon during a skew."""
PAUSE_SECONDS = 0.02
KINDS = (RequestKind.READ, RequestKind.STREAM)


class SkewedCallers:
    """Callers whose new connections are spread evenly, then go to one daemon, by turns."""

    def __init__(
        self, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.stop_requested = threading.Event()
        self._seed = seed
        self._endpoints = endpoints
        self._observations = observations
        self._started_at = time.monotonic()
        self.threads = [
            threading.Thread(target=self._send_requests, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def _send_requests(self, number: int) -> None:
        rng = random.Random(f"skew-{self._seed}-{number}")
        count = 0
        while not self.stop_requested.wait(PAUSE_SECONDS):
            count += 1
            self._send_request(rng, f"{self._seed}-{number}-{count}")

    def _send_request(self, rng: random.Random, name: str) -> None:
        """Sends one request on a new connection, unless the daemon refuses the connection."""
        phase, offset = divmod(time.monotonic() - self._started_at, EVEN_SECONDS + SKEWED_SECONDS)
        prefix, endpoint = EVEN_PREFIX, rng.choice(self._endpoints)
        if offset >= EVEN_SECONDS:
            is_settling = offset < EVEN_SECONDS + CONTACT_SECONDS
            prefix = SETTLING_PREFIX if is_settling else SKEWED_PREFIX
            if rng.random() < SKEWED_SHARE:
                endpoint = self._endpoints[int(phase) % len(self._endpoints)]
        kind, request_id = rng.choice(KINDS), f"{prefix}{name}"
        exchange = Exchange(
            request_id,
            kind,
            f"/{kind}/{request_id}",
            request_id.encode(),
            endpoint.daemon,
            time.monotonic(),
        )
        exchange_on_new_connection(
            endpoint.address, exchange, request_headers(request_id), self._observations
        )
