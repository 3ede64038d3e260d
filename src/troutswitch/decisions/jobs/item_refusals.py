"""Rule: which items may not run because engines crashed under them, and when is one retried?

Inputs: the contents that the crash record refuses, and the time of their last crash, from this
daemon and from peers' reports (seconds old at most); when a trial was last started here.

The rule:

    FREE     -> REFUSED   three engines crashed under the item, or under items with the same key,
                          or a part of its prompt is refused
    REFUSED  -> ON_TRIAL  no engine has crashed under it for `TRIAL_SECONDS`
    ON_TRIAL -> REFUSED   another engine crashed: the next trial is `TRIAL_SECONDS` later
    ON_TRIAL -> FREE      an engine ran it to its end

A trial of items with a common key is a run of one of those that lost the fewest runs here. If none
of these starts within `FEWEST_LOST_SECONDS`, any of them may.

Why: an item must not crash one engine after another, yet crashes may not dead-letter it: only an
engine's answer, the end of its retention or the loss of its route may. So it waits, and is retried
in case something else caused the crashes. An item that alone causes the crashes under a common key
lost a run in each of them, and the others only where they shared its engine. A trial of that item
would crash another engine, and keep the others refused. tests/proofs/test_crashes.py tests the
bounds; docs/POLICY.md, "Rules", lists the constants.
"""

from collections import Counter
from collections.abc import Callable, Mapping

from troutswitch.decisions.crashes.interface import Suspects
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.jobs.item_contents import ItemContentKeys, unknown_prompt
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.replicas import JobReplicas

TRIAL_SECONDS = 16.0
"""Time without a crash after which a refused item is retried once. An item counts as abandoned when
no engine has run it for 20 s, and it may wait some seconds for a slot."""
FEWEST_LOST_SECONDS = 2.0
"""Time for which a trial of a common key is left to the items that lost the fewest runs. Together
with `TRIAL_SECONDS` it stays below the 20 s after which an item counts as abandoned."""
MAX_COUNTED_KEYS = 1024
"""Maximum number of common keys for which lost runs are counted; drops the oldest first."""
MAX_TRIALS = 2
"""Maximum number of engines that trials of an item may crash. Three crashes are allowed after the
first three, and one more run may be in flight when the third crash becomes known."""


class ItemRefusals:
    """Refusals and trials of the items that this daemon owns."""

    def __init__(
        self,
        suspects: Suspects,
        replicas: JobReplicas,
        prompt_of: Callable[[Mapping[str, str]], PromptShape] = unknown_prompt,
    ) -> None:
        self._suspects = suspects
        self._content_keys = ItemContentKeys(replicas, prompt_of)
        self._tried_at: dict[str, float] = {}
        """When a trial of a content was last started here."""
        self._lost: dict[str, Counter[str]] = {}
        """Lost runs by common key and item id."""

    def forbids_start(self, now: float, progress: ItemProgress) -> bool:
        """Returns whether an item may not start now."""
        refused = self._refused(progress)
        if any(not self._may_try(now, content) for content in refused):
            return True
        return any(self._leaves_trial_to_others(now, progress, content) for content in refused)

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
        self._count_lost(progress)
        parts = self._content_keys.part_keys(progress)
        self._suspects.on_lost(now, self._content_keys.run_key(progress), engine_id, parts=parts)

    def on_done(self, now: float, progress: ItemProgress) -> None:
        """Records that an engine ran an item to its end."""
        progress.is_on_trial = False
        parts = self._content_keys.part_keys(progress)
        for content in self._content_keys.refusal_keys(progress):
            self._suspects.on_served(now, content, parts)
            self._tried_at.pop(content, None)
            self._lost.pop(content, None)
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

    def _leaves_trial_to_others(self, now: float, progress: ItemProgress, content: str) -> bool:
        """Returns whether a trial is left to items of a common key that lost fewer runs."""
        lost = self._lost.get(content)
        if not lost:
            return False
        pause = TRIAL_SECONDS + FEWEST_LOST_SECONDS
        if self._suspects.may_retry(now, content, pause, MAX_TRIALS):
            return False
        is_any_without = len(lost) < self._content_keys.path_count(progress)
        fewest = 0 if is_any_without else min(lost.values())
        return lost[progress.item.item_id] > fewest

    def _count_lost(self, progress: ItemProgress) -> None:
        shared = self._content_keys.shared_key(progress)
        if not shared:
            return
        self._lost.setdefault(shared, Counter())[progress.item.item_id] += 1
        if len(self._lost) > MAX_COUNTED_KEYS:
            del self._lost[next(iter(self._lost))]
