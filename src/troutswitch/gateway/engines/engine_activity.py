"""Reports to the loop which engines are sending bytes, at a limited rate.

The threads that read engines' responses call `record`.
"""

from collections.abc import Callable

from troutswitch.clock import steady_seconds
from troutswitch.decisions.forwarding.messages import EngineActivity
from troutswitch.decisions.gateway_interface import GatewayEvent

ACTIVITY_REPORT_INTERVAL_SECONDS = 0.2
"""Minimum interval between two reports about one engine."""


class EngineActivityReporter:
    """Rate-limited reports of engine activity, shared by all threads that read responses.

    Args:
        post: posts an event to the loop.
    """

    def __init__(self, post: Callable[[GatewayEvent], None]) -> None:
        self._post = post
        self._reported_at: dict[str, float] = {}

    def record(self, engine_id: str) -> None:
        """Records received bytes; concurrent calls may post a report twice, which is harmless."""
        now = steady_seconds()
        if (
            now - self._reported_at.get(engine_id, float("-inf"))
            >= ACTIVITY_REPORT_INTERVAL_SECONDS
        ):
            self._reported_at[engine_id] = now
            self._post(EngineActivity(engine_id))
