"""Tells the loop, a few times a second, which engines send bytes."""

from collections.abc import Callable

from troutswitch.clock import steady_seconds
from troutswitch.decisions.forwarding.messages import EngineActivity
from troutswitch.decisions.gateway_interface import GatewayEvent

ACTIVITY_REPORT_SECONDS = 0.2


class EngineActivityReporter:
    """Signs of life of engines, from the threads that read their answers."""

    def __init__(self, post: Callable[[GatewayEvent], None]) -> None:
        self._post = post
        self._told_at: dict[str, float] = {}

    def beat(self, engine_id: str) -> None:
        """Notes that bytes came; two threads at once may tell it twice, which does no harm."""
        now = steady_seconds()
        if now - self._told_at.get(engine_id, float("-inf")) >= ACTIVITY_REPORT_SECONDS:
            self._told_at[engine_id] = now
            self._post(EngineActivity(engine_id))
