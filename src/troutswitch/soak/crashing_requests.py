"""Callers whose request ends each engine that runs it, and who come again all the same."""

import threading
import time

from troutswitch.soak.callers import DaemonEndpoint, connect, send_and_receive
from troutswitch.soak.observations import Exchange, Observations, Outcome, RequestKind
from troutswitch.standins.model_engine import ENDING_MARK

CRASHING_REQUESTS = 2
"""Different ending requests of a soak: few, so that each comes back in later strikes."""
KINDS = (RequestKind.READ, RequestKind.STREAM)
"""Kinds that a caller may repeat: one ends its engine before its answer, the other midway."""
RETRY_DELAY_SECONDS = 0.15
"""Rest between two tries."""
REFUSED_STATUS = 400
"""Status after which a well-made caller doesn't try again."""
ROUND_DELAY_SECONDS = 1.0
"""Rest of a caller that was told to stop, until it comes back as if nothing had been said."""


def crashing_path(number: int) -> str:
    """Returns the path of an ending request."""
    return f"/{KINDS[number % len(KINDS)]}/ending-{number % CRASHING_REQUESTS}"


def crashing_body(number: int) -> bytes:
    """Returns the body of an ending request."""
    return ENDING_MARK + str(number % CRASHING_REQUESTS).encode()


class CrashingRequestCaller:
    """Sends one ending request again and again, at one daemon after the other."""

    def __init__(
        self, number: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.number = number
        self._endpoints = endpoints
        self._evidence = observations
        self._count = 0
        self.last: Exchange | None = None
        """The newest try that a daemon took."""

    def start(self, until: float) -> None:
        """Comes again until a time, on a thread of its own."""
        threading.Thread(target=self._send_repeatedly, args=(until,), daemon=True).start()

    def _send_repeatedly(self, until: float) -> None:
        while time.monotonic() < until:
            exchange = self.send()
            is_stop_requested = exchange is not None and exchange.status == REFUSED_STATUS
            self.last = exchange or self.last
            time.sleep(ROUND_DELAY_SECONDS if is_stop_requested else RETRY_DELAY_SECONDS)

    def send(self) -> Exchange | None:
        """Sends it once to the next daemon; None if that takes no connection."""
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
        with self._evidence.lock:
            self._evidence.exchanges.append(exchange)
        send_and_receive(connection, exchange)
        connection.close()
        return exchange


def is_refused(exchange: Exchange | None) -> bool:
    """Tells whether a caller was told not to come again."""
    return (
        exchange is not None
        and exchange.outcome is Outcome.COMPLETE
        and exchange.status == REFUSED_STATUS
    )
