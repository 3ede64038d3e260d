"""Rule: which items may not run because engines crashed under them, and when is one retried?

Inputs: the contents that the crash record refuses, and the time of their last crash, from this
daemon and from peers' reports (seconds old at most); when a trial was last started here.

The rule:

    FREE     -> REFUSED   three engines crashed under the item, or under items with the same key
    REFUSED  -> ON_TRIAL  no engine has crashed under it for `TRIAL_SECONDS`
    ON_TRIAL -> REFUSED   another engine crashed: the next trial is `TRIAL_SECONDS` later
    ON_TRIAL -> FREE      an engine ran it to its end

Why: an item must not crash one engine after another, yet crashes may not dead-letter it: only an
engine's answer, the end of its retention or the loss of its route may. So it waits, and is retried
in case something else caused the crashes. tests/proofs/test_crashes.py tests the bounds;
docs/POLICY.md, "Rules", lists the constants.
"""

from troutswitch.decisions.crashes.interface import Suspects
from troutswitch.decisions.jobs.item_contents import ItemContentKeys
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.replicas import JobReplicas

TRIAL_SECONDS = 16.0
"""Time without a crash after which a refused item is retried once. An item counts as abandoned when
no engine has run it for 20 s, and it may wait some seconds for a slot."""
MAX_TRIALS = 2
"""Maximum number of engines that trials of an item may crash. Three crashes are allowed after the
first three, and one more run may be in flight when the third crash becomes known."""


class ItemRefusals:
    """Refusals and trials of the items that this daemon owns."""

    def __init__(self, suspects: Suspects, replicas: JobReplicas) -> None:
        self._suspects = suspects
        self._content_keys = ItemContentKeys(replicas)
        self._tried_at: dict[str, float] = {}
        """When a trial of a content was last started here."""

    def forbids_start(self, now: float, progress: ItemProgress) -> bool:
        """Returns whether an item may not start now."""
        return any(not self._may_try(now, content) for content in self._refused(progress))

    def forbids_run(self, progress: ItemProgress) -> bool:
        """Returns whether a run of an item must be stopped."""
        return not progress.is_on_trial and bool(self._refused(progress))

    def on_started(self, now: float, progress: ItemProgress) -> None:
        """Records the start of a run, which is a trial if the item is refused."""
        refused = self._refused(progress)
        progress.is_on_trial = bool(refused)
        for content in refused:
            self._tried_at[content] = now

    def on_stopped(self, progress: ItemProgress) -> None:
        """Records that this daemon stopped a run; a stopped trial does not delay the next one."""
        if progress.is_on_trial:
            progress.is_on_trial = False
            for content in self._content_keys.refusal_keys(progress):
                self._tried_at.pop(content, None)

    def on_lost(self, now: float, progress: ItemProgress, engine_id: str) -> None:
        """Records that the connection of a run was lost before its end."""
        progress.is_on_trial = False
        self._suspects.on_lost(now, self._content_keys.run_key(progress), engine_id)

    def on_done(self, now: float, progress: ItemProgress) -> None:
        """Records that an engine ran an item to its end."""
        progress.is_on_trial = False
        for content in self._content_keys.refusal_keys(progress):
            self._suspects.on_served(now, content)
            self._tried_at.pop(content, None)
        self._content_keys.on_done(progress)

    def _refused(self, progress: ItemProgress) -> list[str]:
        refused = self._suspects.refused
        if not refused:
            return []
        return [
            content for content in self._content_keys.refusal_keys(progress) if content in refused
        ]

    def _may_try(self, now: float, content: str) -> bool:
        if now < self._tried_at.get(content, float("-inf")) + TRIAL_SECONDS:
            return False
        return self._suspects.may_retry(now, content, TRIAL_SECONDS, MAX_TRIALS)
