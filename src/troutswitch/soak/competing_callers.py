"""Callers that compete for slots: a tenant that sends several times what fits, and a steady one."""

import random
import threading
import time

from troutswitch.soak.callers import DaemonEndpoint, connect, send_and_receive
from troutswitch.soak.observations import Exchange, Observations, Outcome, RequestKind
from troutswitch.soak.tenants import STEADY_PREFIX, SURGE_PREFIX

SURGE_FACTOR = 4
"""Requests that the surging tenant has open at once, as a multiple of all slots."""
SURGE_SECONDS = 3.0
"""Length of a surge; longer than the objective, so that requests are queued and late ones refused.
"""
CALM_SECONDS = 2.0
"""Time between two surges, in which queues empty."""
SURGE_KINDS = (RequestKind.STREAM_ONCE, RequestKind.STREAM, RequestKind.ONCE)
"""Streams occupy slots; requests that must not be repeated show a refusal that was not true."""
SHORT_DEADLINE_SECONDS = 1.0
"""Deadline of the surge's plain requests: shorter than the wait in a full queue, so that some are
refused. Streams have the usual deadline, as one that is cut at its deadline would look like one
that a planned stop has cut."""
RETRY_SECONDS = 0.2
"""Pause of a surging caller after a failure."""
STEADY_KINDS = (RequestKind.READ, RequestKind.STREAM)
STEADY_PAUSE_SECONDS = 0.05
"""Pause of the steady caller, which has one request open at a time: less than a slot's use, and
less than the fifth of all slots that is a tenant's share."""


class _Sender:
    """Sends requests of one tenant on new connections, on threads of its own."""

    def __init__(
        self, prefix: str, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.stop_requested = threading.Event()
        self.endpoints = endpoints
        self.observations = observations
        self.prefix = f"{prefix}{seed}-"

    def send(self, rng: random.Random, name: str, kind: RequestKind, deadline: float) -> bool:
        """Sends one request to a random daemon and returns whether it was served."""
        endpoint = rng.choice(self.endpoints)
        request_id = f"{self.prefix}{name}"
        exchange = Exchange(
            request_id,
            kind,
            f"/{kind}/{request_id}",
            b"",
            endpoint.daemon,
            time.monotonic(),
            deadline_seconds=deadline,
        )
        try:
            connection = connect(endpoint.address)
        except OSError:
            return False
        with self.observations.lock:
            self.observations.exchanges.append(exchange)
        send_and_receive(connection, exchange)
        connection.close()
        return exchange.outcome is Outcome.COMPLETE and exchange.status == 200


class SurgingCallers(_Sender):
    """Callers of a tenant that, for some seconds at a time, sends several times what fits."""

    def __init__(
        self, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        super().__init__(SURGE_PREFIX, seed, endpoints, observations)
        self._begin = time.monotonic()
        self.threads = [
            threading.Thread(target=self._send_requests, args=(number,), daemon=True)
            for number in range(SURGE_FACTOR * observations.slots)
        ]

    def _send_requests(self, number: int) -> None:
        rng = random.Random(f"{self.prefix}{number}")
        count = 0
        while not self.stop_requested.is_set():
            elapsed = (time.monotonic() - self._begin) % (SURGE_SECONDS + CALM_SECONDS)
            if elapsed < CALM_SECONDS:
                self.stop_requested.wait(CALM_SECONDS - elapsed + rng.uniform(0.0, 0.1))
                continue
            count += 1
            kind = rng.choice(SURGE_KINDS)
            deadline = SHORT_DEADLINE_SECONDS if kind is RequestKind.ONCE else 0.0
            if not self.send(rng, f"{number}-{count}", kind, deadline):
                self.stop_requested.wait(RETRY_SECONDS)


class SteadyCaller(_Sender):
    """A caller of a tenant that stays inside its share of the slots."""

    def __init__(
        self, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        super().__init__(STEADY_PREFIX, seed, endpoints, observations)
        self.threads = [threading.Thread(target=self._send_requests, daemon=True)]

    def _send_requests(self) -> None:
        rng = random.Random(self.prefix)
        count = 0
        while not self.stop_requested.wait(STEADY_PAUSE_SECONDS):
            count += 1
            self.send(rng, str(count), rng.choice(STEADY_KINDS), 0.0)
