"""Callers that keep retrying a request which crashes each engine that runs it."""

import threading
import time

from troutswitch.soak.callers import DaemonEndpoint, connect, send_and_receive
from troutswitch.soak.observations import Exchange, Observations, Outcome, RequestKind
from troutswitch.standins.model_engine import CRASHING_BODY_PREFIX

CRASHING_REQUESTS = 2
"""Number of different crashing requests; few, so that later actions repeat the same ones."""
KINDS = (RequestKind.READ, RequestKind.STREAM)
"""Repeatable kinds: `READ` crashes the engine before its answer, `STREAM` in the middle of it."""
RETRY_DELAY_SECONDS = 0.15
"""Delay between two attempts."""
REFUSED_STATUS = 400
"""Status after which a well-behaved caller does not retry."""
ROUND_DELAY_SECONDS = 1.0
"""Delay after a refusal; these callers ignore it and retry."""


def crashing_path(number: int) -> str:
    """Returns the path of a crashing request."""
    return f"/{KINDS[number % len(KINDS)]}/ending-{number % CRASHING_REQUESTS}"


def crashing_body(number: int) -> bytes:
    """Returns the body of a crashing request."""
    return CRASHING_BODY_PREFIX + str(number % CRASHING_REQUESTS).encode()


class CrashingRequestCaller:
    """Sends one crashing request repeatedly, to the daemons in turn."""

    def __init__(
        self, number: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.number = number
        self._endpoints = endpoints
        self._observations = observations
        self._count = 0
        self.stop_requested = threading.Event()
        self.last: Exchange | None = None
        """The latest attempt whose connection a daemon accepted."""

    def start(self, until: float) -> None:
        """Sends the request repeatedly until a time, on a thread of its own."""
        threading.Thread(target=self._send_repeatedly, args=(until,), daemon=True).start()

    def _send_repeatedly(self, until: float) -> None:
        while time.monotonic() < until and not self.stop_requested.is_set():
            exchange = self.send()
            was_refused = exchange is not None and exchange.status == REFUSED_STATUS
            self.last = exchange or self.last
            time.sleep(ROUND_DELAY_SECONDS if was_refused else RETRY_DELAY_SECONDS)

    def send(self) -> Exchange | None:
        """Sends the request to the next daemon; returns None if it refuses the connection."""
        endpoint = self._endpoints[self._count % len(self._endpoints)]
        self._count += 1
        exchange = Exchange(
            request_id=f"ending-{self.number}-{threading.get_ident()}-{self._count}",
            kind=KINDS[self.number % len(KINDS)],
            path=crashing_path(self.number),
            body=crashing_body(self.number),
            daemon=endpoint.daemon,
            sent_at=time.monotonic(),
        )
        try:
            connection = connect(endpoint.address)
        except OSError:
            return None
        with self._observations.lock:
            self._observations.exchanges.append(exchange)
        send_and_receive(connection, exchange)
        connection.close()
        return exchange


def is_refused(exchange: Exchange | None) -> bool:
    """Returns whether the daemon refused the request for good."""
    return (
        exchange is not None
        and exchange.outcome is Outcome.COMPLETE
        and exchange.status == REFUSED_STATUS
    )
