"""Reports to the loop which engines are sending bytes, and counts load headers of unknown form.

The threads that read engines' responses call `record_head` and `record`.
"""

from collections.abc import Callable

from troutswitch.clock import steady_seconds
from troutswitch.decisions.forwarding.messages import EngineActivity
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.platform.requests import AnswerHead

ACTIVITY_REPORT_INTERVAL_SECONDS = 0.2
"""Minimum interval between two reports about one engine."""


class EngineActivityReporter:
    """Rate-limited reports of engine activity, shared by all threads that read responses.

    Args:
        post: posts an event to the loop.
        count_unreadable_load: counts a load header that could not be read; called on any thread.
    """

    def __init__(
        self,
        post: Callable[[GatewayEvent], None],
        count_unreadable_load: Callable[[], None] = lambda: None,
    ) -> None:
        self._post = post
        self._count_unreadable_load = count_unreadable_load
        self._reported_at: dict[str, float] = {}

    def record_head(self, head: AnswerHead) -> None:
        """Counts the head's load header if it could not be read."""
        if head.has_unreadable_load:
            self._count_unreadable_load()

    def record(self, engine_id: str) -> None:
        """Records received bytes; concurrent calls may post a report twice, which is harmless."""
        now = steady_seconds()
        if (
            now - self._reported_at.get(engine_id, float("-inf"))
            >= ACTIVITY_REPORT_INTERVAL_SECONDS
        ):
            self._reported_at[engine_id] = now
            self._post(EngineActivity(engine_id))
