"""Reports to the loop which engines send bytes, a few times a second at most.

It relies on the threads that read engines' answers to note what comes.
"""

from collections.abc import Callable

from troutswitch.clock import steady_seconds
from troutswitch.decisions.forwarding.messages import EngineActivity
from troutswitch.decisions.gateway_interface import GatewayEvent

ACTIVITY_REPORT_INTERVAL_SECONDS = 0.2
"""Least interval between two reports of one engine."""


class EngineActivityReporter:
    """Notes from which engines bytes came, for all threads that read answers.

    Args:
        post: hands an event to the loop.
    """

    def __init__(self, post: Callable[[GatewayEvent], None]) -> None:
        self._post = post
        self._reported_at: dict[str, float] = {}

    def record(self, engine_id: str) -> None:
        """Notes that bytes came; two threads at once may report it twice, which does no harm."""
        now = steady_seconds()
        if (
            now - self._reported_at.get(engine_id, float("-inf"))
            >= ACTIVITY_REPORT_INTERVAL_SECONDS
        ):
            self._reported_at[engine_id] = now
            self._post(EngineActivity(engine_id))
