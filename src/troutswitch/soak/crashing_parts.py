"""Callers of requests with a part of the prompt that crashes engines, and of sound ones beside it.

All requests differ in path, body and last part. The sound ones share the first part with those that
crash engines.
"""

import random
import threading
import time

from troutswitch.platform import names
from troutswitch.soak.callers import DaemonEndpoint, request_headers
from troutswitch.soak.observations import Exchange, Observations, RequestKind
from troutswitch.soak.receiving import exchange_on_new_connection
from troutswitch.standins.model_engine import CRASHING_PART

FIRST_PART = "first-part"
CRASHING_PREFIX = "with-crashing-part-"
BESIDE_PREFIX = "beside-crashing-part-"
CRASHING_CALLERS = 2
BESIDE_CALLERS = 3
PAUSE_SECONDS = 0.15
PART_TOKENS = 13
KINDS = (RequestKind.READ, RequestKind.STREAM)


class CrashingPartCallers:
    """Callers that send requests with and without the crashing part, to random daemons."""

    def __init__(
        self, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.stop_requested = threading.Event()
        self._endpoints = endpoints
        self._observations = observations
        self.threads = [
            threading.Thread(target=self._send_requests, args=(f"{prefix}{seed}-{n}",), daemon=True)
            for prefix, count in (
                (CRASHING_PREFIX, CRASHING_CALLERS),
                (BESIDE_PREFIX, BESIDE_CALLERS),
            )
            for n in range(count)
        ]

    def _send_requests(self, name: str) -> None:
        rng = random.Random(name)
        count = 0
        while not self.stop_requested.wait(PAUSE_SECONDS):
            count += 1
            self._send_request(rng, f"{name}-{count}")

    def _send_request(self, rng: random.Random, request_id: str) -> None:
        """Sends one request, unless the daemon refuses the connection."""
        endpoint, kind = rng.choice(self._endpoints), rng.choice(KINDS)
        exchange = Exchange(
            request_id,
            kind,
            f"/{kind}/{request_id}",
            request_id.encode(),
            endpoint.daemon,
            time.monotonic(),
        )
        crashing = (CRASHING_PART,) if request_id.startswith(CRASHING_PREFIX) else ()
        parts = (FIRST_PART, *crashing, request_id)
        headers = request_headers(request_id)
        headers[names.PROMPT_PREFIX] = ",".join(f"{part}:{PART_TOKENS}" for part in parts)
        exchange_on_new_connection(endpoint.address, exchange, headers, self._observations)
