"""Callers that read a part of a stream, leave, and resume the stream at another daemon."""

import random
import threading
import time

from troutswitch.platform import names
from troutswitch.soak.callers import DaemonEndpoint, request_headers
from troutswitch.soak.observations import Exchange, Observations, Outcome, RequestKind
from troutswitch.soak.receiving import exchange_on_new_connection

CALLERS = 4
RESUMING_PREFIX = "resuming-"
MAX_TRIES = 4
"""Attempts that resume one stream."""
RETRY_SECONDS = 0.15
"""Pause before the next attempt: a little more than a search for the stream's origin takes."""
MAX_EVENTS_BEFORE_LEAVING = 3
STREAM_PAUSE_SECONDS = 0.05


class ResumingCallers:
    """Callers that open streams at random daemons and resume them at others."""

    def __init__(
        self, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.stop_requested = threading.Event()
        self._seed = seed
        self._endpoints = endpoints
        self._observations = observations
        self.threads = [
            threading.Thread(target=self._open_streams, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def _open_streams(self, number: int) -> None:
        rng = random.Random(f"{RESUMING_PREFIX}{self._seed}-{number}")
        count = 0
        while not self.stop_requested.wait(STREAM_PAUSE_SECONDS):
            count += 1
            self._open_stream(rng, f"{RESUMING_PREFIX}{self._seed}-{number}-{count}")

    def _open_stream(self, rng: random.Random, name: str) -> None:
        """Opens a stream, reads some events, and resumes it until it is complete."""
        max_events = rng.randint(1, MAX_EVENTS_BEFORE_LEAVING)
        first = self._attempt(rng, name, f"{name}-0", None, max_events)
        if first is None or not first.events_received:
            return
        received = first.events_received
        for number in range(1, MAX_TRIES + 1):
            if self.stop_requested.wait(RETRY_SECONDS if number > 1 else 0.0):
                return
            attempt = self._attempt(rng, name, f"{name}-{number}", (first, received), None)
            if attempt is None:
                continue
            received += attempt.events_received
            if attempt.outcome is Outcome.COMPLETE and attempt.status == 200:
                return

    def _attempt(
        self,
        rng: random.Random,
        name: str,
        request_id: str,
        resumed: tuple[Exchange, int] | None,
        max_events: int | None,
    ) -> Exchange | None:
        """Makes one attempt; returns None if no daemon accepted the connection."""
        endpoint = rng.choice(self._endpoints)
        exchange = Exchange(
            request_id,
            RequestKind.STREAM,
            f"/{RequestKind.STREAM}/{name}",
            name.encode(),
            endpoint.daemon,
            time.monotonic(),
        )
        headers = request_headers(request_id)
        if resumed is not None:
            first, received = resumed
            exchange.resumed_id, exchange.resumed_after = first.request_id, received
            headers |= {names.LAST_EVENT_ID: str(received), names.RESUMES: first.request_id}
        is_connected = exchange_on_new_connection(
            endpoint.address, exchange, headers, self._observations, max_events
        )
        return exchange if is_connected else None
