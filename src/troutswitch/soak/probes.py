"""Probes that find which configuration version a daemon serves.

They bypass the fault-injecting links.
"""

import threading
import time

from troutswitch.soak.callers import DaemonEndpoint, connect, send_and_receive
from troutswitch.soak.observations import Exchange, Observations, Outcome, RequestKind
from troutswitch.soak.operator import Operator, version_path

PROBE_INTERVAL_SECONDS = 0.25
"""Interval between two rounds of probes; several fall within the bound on applying a change."""


class Prober:
    """Probes one daemon periodically for the newest configuration version and the one before it."""

    def __init__(
        self, endpoint: DaemonEndpoint, operator: Operator, observations: Observations
    ) -> None:
        self.endpoint = endpoint
        self.operator = operator
        self.observations = observations
        self.stop_requested = threading.Event()
        self._count = 0
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self.stop_requested.wait(PROBE_INTERVAL_SECONDS):
            newest = self.operator.version
            for version in range(max(1, newest - 1), newest + 1):
                self.probe(version)

    def probe(self, version: int) -> Exchange | None:
        """Requests a version's probe route; returns None if the connection is refused."""
        self._count += 1
        exchange = Exchange(
            request_id=f"probe-{self.endpoint.daemon}-{threading.get_ident()}-{self._count}",
            kind=RequestKind.VERSION,
            path=f"{version_path(version)}{self._count}",
            body=b"",
            daemon=self.endpoint.daemon,
            sent_at=time.monotonic(),
            version=version,
        )
        try:
            connection = connect(self.endpoint.address)
        except OSError:
            return None
        with self.observations.lock:
            self.observations.exchanges.append(exchange)
        send_and_receive(connection, exchange)
        connection.close()
        return exchange


def is_served(exchange: Exchange | None) -> bool:
    """Returns whether a probe shows that the daemon serves its version."""
    return exchange is not None and exchange.outcome is Outcome.COMPLETE and exchange.status == 200


def is_not_found(exchange: Exchange | None) -> bool:
    """Returns whether a probe shows that the daemon does not serve its version."""
    return exchange is not None and exchange.outcome is Outcome.COMPLETE and exchange.status == 404
