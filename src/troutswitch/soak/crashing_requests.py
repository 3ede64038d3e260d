"""Callers whose request ends each engine that runs it, and who come again all the same."""

import threading
import time

from troutswitch.soak.callers import Front, connect, exchange
from troutswitch.soak.evidence import Evidence, Exchange, Kind, Outcome
from troutswitch.standins.model_engine import ENDING_MARK

REQUESTS = 2
"""Different ending requests of a soak: few, so that each comes back in later strikes."""
KINDS = (Kind.READ, Kind.STREAM)
"""Kinds that a caller may repeat: one ends its engine before its answer, the other midway."""
AGAIN_SECONDS = 0.15
"""Rest between two tries."""
STOP_STATUS = 400
"""Status after which a well-made caller doesn't try again."""
ROUND_SECONDS = 1.0
"""Rest of a caller that was told to stop, until it comes back as if nothing had been said."""


def ending_path(number: int) -> str:
    """Returns the path of an ending request."""
    return f"/{KINDS[number % len(KINDS)]}/ending-{number % REQUESTS}"


def ending_body(number: int) -> bytes:
    """Returns the body of an ending request."""
    return ENDING_MARK + str(number % REQUESTS).encode()


class EndingCaller:
    """Sends one ending request again and again, at one daemon after the other."""

    def __init__(self, number: int, fronts: list[Front], evidence: Evidence) -> None:
        self.number = number
        self._fronts = fronts
        self._evidence = evidence
        self._count = 0
        self.last: Exchange | None = None
        """The newest try that a daemon took."""

    def start(self, until: float) -> None:
        """Comes again until a time, on a thread of its own."""
        threading.Thread(target=self._come, args=(until,), daemon=True).start()

    def _come(self, until: float) -> None:
        while time.monotonic() < until:
            held = self.ask()
            is_stopped = held is not None and held.status == STOP_STATUS
            self.last = held or self.last
            time.sleep(ROUND_SECONDS if is_stopped else AGAIN_SECONDS)

    def ask(self) -> Exchange | None:
        """Sends it once to the next daemon; None if that takes no connection."""
        front = self._fronts[self._count % len(self._fronts)]
        self._count += 1
        held = Exchange(
            request_id=f"ending-{self.number}-{threading.get_ident()}-{self._count}",
            kind=KINDS[self.number % len(KINDS)],
            path=ending_path(self.number),
            body=ending_body(self.number),
            daemon=front.daemon,
            sent_at=time.monotonic(),
        )
        try:
            connection = connect(front.address)
        except OSError:
            return None
        with self._evidence.lock:
            self._evidence.exchanges.append(held)
        exchange(connection, held)
        connection.close()
        return held


def is_refused(held: Exchange | None) -> bool:
    """Tells whether a caller was told not to come again."""
    return held is not None and held.outcome is Outcome.WHOLE and held.status == STOP_STATUS
