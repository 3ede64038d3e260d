"""What the parts that send requests to engines need to know of crashes, and report for it.

`suspects.CrashSuspects` is the implementation. Requests are named by their content
(`content.content_key`). `now` and `sent_at` are this process's clock, in seconds.
"""

from typing import Protocol

from troutswitch.outcomes import NotRun, Step


class Suspects(Protocol):
    """Requests that were on engines when these crashed."""

    @property
    def refused(self) -> frozenset[str]:
        """The contents of the requests that are refused."""
        ...

    def refusal(self, now: float, content: str) -> NotRun:
        """Returns the answer to a request that is refused and has not run in this try."""
        ...

    def awaits_crash_report(self, content: str) -> bool:
        """Returns whether a request's next attempt waits until its last engine was checked."""
        ...

    def may_retry(self, now: float, content: str, pause: float, max_trials: int) -> bool:
        """Returns whether a refused request may be tried once more.

        Its last crash is then at least `pause` seconds ago, and at most `max_trials` engines
        crashed under it since it was refused first.
        """
        ...

    def on_lost(self, now: float, content: str, engine_id: str, *, is_silent: bool = False) -> None:
        """An attempt's answer was lost; `is_silent` if nothing came, not even its end."""
        ...

    def on_served(self, now: float, content: str) -> None:
        """An engine ran a request to its end."""
        ...

    def on_answered(self, now: float, engine_id: str, sent_at: float) -> None:
        """An engine answers an attempt that was sent at `sent_at`."""
        ...


class NoSuspects:
    """Suspects of a daemon that keeps no record of crashes."""

    refused: frozenset[str] = frozenset()

    def refusal(self, now: float, content: str) -> NotRun:
        """Is not called, as nothing is refused."""
        return NotRun("refused", Step.ADMIT)

    def awaits_crash_report(self, content: str) -> bool:
        """Returns False."""
        return False

    def may_retry(self, now: float, content: str, pause: float, max_trials: int) -> bool:
        """Is not called, as nothing is refused."""
        return True

    def on_lost(self, now: float, content: str, engine_id: str, *, is_silent: bool = False) -> None:
        """Takes no note."""

    def on_served(self, now: float, content: str) -> None:
        """Takes no note."""

    def on_answered(self, now: float, engine_id: str, sent_at: float) -> None:
        """Takes no note."""


NO_SUSPECTS: Suspects = NoSuspects()
