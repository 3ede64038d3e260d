"""Rule: which items may not run because engines crashed under them, and when is one retried?

Inputs: the keys that the crash record refuses, and the number and time of their crashes, from this
daemon and from peers' reports (seconds old at most). A trial counts as a crash while it runs.

The rule:

    FREE     -> REFUSED   three engines crashed under the item, or under items with its path of
                          which none is done, or a part of its prompt is refused
    REFUSED  -> ON_TRIAL  no engine has crashed under it for `TRIAL_SECONDS`
    ON_TRIAL -> REFUSED   another engine crashed: the next pause is `PAUSE_FACTOR` times as long if
                          the trial failed (`crashes.trials`), up to `MAX_TRIAL_PAUSE_SECONDS`
    ON_TRIAL -> FREE      an engine ran it to its end

A trial of a path is a run of one of the items under which the fewest engines crashed, at any owner.
If none of these starts within `FEWEST_CRASHES_SECONDS`, any of them may. Before the longest pause
is over, items of the path without a crash of their own are tried. A trial does not share its engine
with other items of its path, as far as this daemon runs them.

Why: an item must not crash one engine after another, yet it is owed: only an engine's answer, the
end of its retention or the loss of its route may end it. Engines that crash for another reason run
sound items, so crashes hold an item only for a time, and its trials tell which it is. An item that
alone causes the crashes under its path was on each crashed engine, and the others only where they
shared one. A trial of that item would crash another engine, and keep the others refused. Trials
that don't crash let more of them begin, a pause apart, as a run may be long. Each item counts by
itself too, so that its crashes still count when its path is cleared.
tests/proofs/test_crashes.py tests the bounds; docs/POLICY.md, "Rules", lists the constants.
"""

from collections.abc import Callable, Iterable, Mapping

from troutswitch.decisions.crashes.content import is_part_key
from troutswitch.decisions.crashes.interface import Suspects
from troutswitch.decisions.crashes.part_suspects import ANNOUNCEMENT_DELAY_SECONDS
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.jobs.item_contents import ItemContentKeys, unknown_prompt
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.replicas import JobReplicas

TRIAL_SECONDS = 4.0
"""Time without a crash after which a refused item is tried: longer than a crashed engine takes to
return and daemons to learn of a crash."""
PART_TRIAL_SECONDS = TRIAL_SECONDS + ANNOUNCEMENT_DELAY_SECONDS
"""The same for an item with a refused part of its prompt, whose crashes are announced later."""
PAUSE_FACTOR = 4.0
"""Factor by which the pause before the next trial grows with each failed one."""
MAX_TRIALS = 2
"""Number of failed trials after which the pause does not grow any further. Three crashes are
allowed after the first three, and one more run may be in flight when the third crash becomes
known."""
MAX_TRIAL_PAUSE_SECONDS = TRIAL_SECONDS * PAUSE_FACTOR**MAX_TRIALS
"""Longest time without a crash for which crashes hold an item."""
UNSUSPECTED_PAUSE_SECONDS = MAX_TRIAL_PAUSE_SECONDS / 2
"""The same for an item of a refused path without a crash of its own, which goes first."""
FEWEST_CRASHES_SECONDS = 2.0
"""Time for which a trial of a path is left to the items with the fewest crashes. Together with the
pause after one failed trial it stays below the 20 s after which an item counts as abandoned."""


def _log_nothing(event: str, **fields: object) -> None:
    """Writes no log line."""


class ItemRefusals:
    """Refusals and trials of the items that this daemon owns."""

    def __init__(
        self,
        suspects: Suspects,
        replicas: JobReplicas,
        prompt_of: Callable[[Mapping[str, str]], PromptShape] = unknown_prompt,
        log: Callable[..., None] = _log_nothing,
    ) -> None:
        self._suspects = suspects
        self._content_keys = ItemContentKeys(replicas, prompt_of)
        self._log = log

    def forbids_start(self, now: float, progress: ItemProgress) -> bool:
        """Returns whether an item may not start now; logs when that changes."""
        key = self._forbidding_key(now, progress)
        if key != progress.held_by:
            self._log_hold(now, progress, key)
        return bool(key)

    def _forbidding_key(self, now: float, progress: ItemProgress) -> str:
        """Returns the refused key because of which an item may not start now, or empty."""
        refused = self._refused(progress)
        if not refused:
            return ""
        path = self._content_keys.path_key(progress)
        for key in refused:
            if key != path and not self._may_try(now, key):
                return key
        if path not in refused:
            return ""
        may_try = self._may_try_path(now, progress, path)
        if may_try and not self._leaves_trial_to_others(now, progress, path):
            return ""
        return path

    def _log_hold(self, now: float, progress: ItemProgress, key: str) -> None:
        held_ms = round((now - progress.held_since) * 1000) if progress.held_by else 0
        self._log(
            "item held" if key else "item no longer held",
            job_id=progress.job_id,
            item_id=progress.item.item_id,
            key=key,
            crashes=self._suspects.crash_count(key),
            own_crashes=self._suspects.crash_count(self._content_keys.own_key(progress)),
            held_by=progress.held_by,
            held_ms=held_ms,
        )
        progress.held_by, progress.held_since = key, now

    def keeps_apart(self, progress: ItemProgress, running: Iterable[ItemProgress]) -> bool:
        """Returns whether an item may not start beside the items that run on an engine.

        A trial and another item of its path are not run on one engine, so that the next crash tells
        them apart.
        """
        is_trial = bool(self._refused(progress))
        path = self._content_keys.path_key(progress)
        return any(
            (is_trial or other.is_on_trial) and self._content_keys.path_key(other) == path
            for other in running
        )

    def forbids_run(self, progress: ItemProgress) -> bool:
        """Returns whether a run of an item must be stopped."""
        return not progress.is_on_trial and bool(self._refused(progress))

    def on_started(self, now: float, progress: ItemProgress) -> None:
        """Records the start of a run, which is a trial if the item is refused."""
        refused = self._refused(progress)
        progress.trial = self._suspects.begin_trial(now, refused) if refused else ()

    def on_ended_otherwise(self, now: float, progress: ItemProgress) -> None:
        """Records that a run ended early, but not with the loss of its connection."""
        trial, progress.trial = progress.trial, ()
        self._suspects.end_trial(now, trial)

    def on_lost(self, now: float, progress: ItemProgress, engine_id: str) -> None:
        """Records that the connection of a run was lost before its end."""
        trial, progress.trial = progress.trial, ()
        keys = self._content_keys
        self._suspects.on_lost(
            now,
            keys.own_key(progress),
            engine_id,
            path=keys.unproven_path_key(progress),
            parts=keys.part_keys(progress),
            trial=trial,
        )

    def on_done(self, now: float, progress: ItemProgress) -> None:
        """Records that an engine ran an item to its end, which clears its path and parts too."""
        trial, progress.trial = progress.trial, ()
        self._suspects.end_trial(now, trial)
        keys = self._content_keys
        self._suspects.on_served(now, keys.own_key(progress), keys.part_keys(progress))
        self._suspects.on_served(now, keys.path_key(progress))
        keys.on_done(progress)

    def _refused(self, progress: ItemProgress) -> list[str]:
        refused = self._suspects.refused
        if not refused:
            return []
        return [key for key in self._content_keys.refusal_keys(progress) if key in refused]

    def _pause(self, key: str) -> float:
        """Returns the time without a crash after which a refused key is tried, in seconds."""
        first = PART_TRIAL_SECONDS if is_part_key(key) else TRIAL_SECONDS
        pause = first * PAUSE_FACTOR ** min(MAX_TRIALS, self._suspects.failed_trials(key))
        return min(pause, MAX_TRIAL_PAUSE_SECONDS)

    def _may_try(self, now: float, key: str) -> bool:
        return self._suspects.may_retry(now, key, self._pause(key))

    def _may_try_path(self, now: float, progress: ItemProgress, path: str) -> bool:
        pause = self._pause(path)
        if not self._suspects.crash_count(self._content_keys.own_key(progress)):
            pause = min(pause, UNSUSPECTED_PAUSE_SECONDS)
        return self._suspects.may_retry(now, path, pause)

    def _leaves_trial_to_others(self, now: float, progress: ItemProgress, path: str) -> bool:
        """Returns whether a trial of a path is left to its items with fewer crashes."""
        crashes = self._suspects.crash_count(self._content_keys.own_key(progress))
        if not crashes:
            return False
        pause = self._pause(path) + FEWEST_CRASHES_SECONDS
        if self._suspects.may_retry(now, path, pause):
            return False
        siblings = self._content_keys.unlisted_siblings(progress)
        return any(self._suspects.crash_count(key) < crashes for key in siblings)
