"""Interface between the code that sends requests to engines and the crash decisions.

`suspects.CrashSuspects` implements it. A request is identified by the key of its content
(`content.content_key`), an item by its own key and that of its path (`content.item_key`,
`content.path_key`), and shared parts by theirs (`content.part_keys`). `now` and `sent_at` are by
this process's clock, in seconds.
"""

from collections.abc import Iterable
from typing import Protocol

from troutswitch.decisions.crashes.messages import Trial
from troutswitch.outcomes import NotRun, Step


class Suspects(Protocol):
    """Requests that were on engines when the engines crashed."""

    @property
    def refused(self) -> frozenset[str]:
        """The keys of the requests and of the parts that are refused."""
        ...

    def refusal(self, now: float, key: str) -> NotRun:
        """Returns the outcome for a request with a refused key that was not run in this attempt."""
        ...

    def awaits_crash_report(self, keys: Iterable[str]) -> bool:
        """Returns whether a request's next attempt must wait for the check of its last engine.

        Args:
            keys: the key of its content, and those of its parts.
        """
        ...

    def crash_count(self, key: str) -> int:
        """Returns how many engine incarnations are known to have crashed under a key."""
        ...

    def failed_trials(self, key: str) -> int:
        """Returns how many trials of a refused request crashed their engines."""
        ...

    def may_retry(self, now: float, key: str, pause: float) -> bool:
        """Returns whether a refused request may be attempted once more.

        Args:
            pause: minimum time, in seconds, since its last crash, or the beginning of a trial that
                still runs.
        """
        ...

    def begin_trial(self, now: float, keys: Iterable[str]) -> Trial:
        """Records that a refused request is attempted once more.

        Until the trial ends otherwise, it counts as a crash under each of the keys at all daemons,
        so that they start no other trial, and a trial counts whose daemon is killed.
        """
        ...

    def end_trial(self, now: float, trial: Trial) -> None:
        """Records that a trial ended without a crash."""
        ...

    def on_lost(
        self,
        now: float,
        content: str,
        engine_id: str,
        *,
        path: str = "",
        parts: Iterable[str] = (),
        trial: Trial = (),
        is_silent: bool = False,
    ) -> None:
        """Records that an attempt's answer was lost.

        Args:
            trial: the trial that the attempt was; it ends when it is known whether the engine
                crashed.
            path: the key of the path under which an item counts as well, if any.
            parts: the keys of the shared parts of its prompt.
            is_silent: nothing was received, not even the end of the connection.
        """
        ...

    def on_served(self, now: float, content: str, parts: Iterable[str] = ()) -> None:
        """Records that an engine ran a request, with these shared parts, to its end."""
        ...

    def on_answered(self, now: float, engine_id: str, sent_at: float) -> None:
        """Records that an engine answers an attempt that was sent at `sent_at`."""
        ...


class NoSuspects:
    """Implementation for a daemon that keeps no record of crashes."""

    refused: frozenset[str] = frozenset()

    def refusal(self, now: float, key: str) -> NotRun:
        """Is never called, because nothing is refused."""
        return NotRun("refused", Step.ADMIT)

    def awaits_crash_report(self, keys: Iterable[str]) -> bool:
        """Returns False."""
        return False

    def crash_count(self, key: str) -> int:
        """Returns 0."""
        return 0

    def failed_trials(self, key: str) -> int:
        """Is never called, because nothing is refused."""
        return 0

    def may_retry(self, now: float, key: str, pause: float) -> bool:
        """Is never called, because nothing is refused."""
        return True

    def begin_trial(self, now: float, keys: Iterable[str]) -> Trial:
        """Is never called, because nothing is refused."""
        return ()

    def end_trial(self, now: float, trial: Trial) -> None:
        """Does nothing."""

    def on_lost(
        self,
        now: float,
        content: str,
        engine_id: str,
        *,
        path: str = "",
        parts: Iterable[str] = (),
        trial: Trial = (),
        is_silent: bool = False,
    ) -> None:
        """Does nothing."""

    def on_served(self, now: float, content: str, parts: Iterable[str] = ()) -> None:
        """Does nothing."""

    def on_answered(self, now: float, engine_id: str, sent_at: float) -> None:
        """Does nothing."""


NO_SUSPECTS: Suspects = NoSuspects()
