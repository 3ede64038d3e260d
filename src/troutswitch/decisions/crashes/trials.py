"""Decides how many trials of a refused key failed, by the crashes on record.

Question: a refused key was tried, and the engine crashed. Did the trial crash it?

Inputs: when engines crashed under the key, and which other engines crashed at about the same time,
as known to this daemon. Times are seconds since the epoch, and those that others reported are
rounded down to whole seconds.

Rule: the crashes that make a key refused are no trials. A later one is a failed trial if it came
`SERIES_GAP_SECONDS` or more after the one before it, unless another engine crashed within
`COINCIDENCE_SECONDS` which neither ran the key nor another request that was refused by then.

Why: the crashes of one burst come close together, a trial comes after a pause. An engine that
crashes without any suspect shows that engines crash for another reason at that time, so the crash
of a trial at the same time is no evidence. Trials of several causes may crash engines at one time;
each of these ran a suspect, so that they don't excuse each other.

Measurements: docs/design/crashes.md.
"""

from collections import OrderedDict
from itertools import pairwise

from troutswitch.decisions.crashes.messages import is_trial_id
from troutswitch.decisions.crashes.record import CrashRecord

SERIES_GAP_SECONDS = 3.0
"""Time without a crash after which the next one is not of the same burst. Trials start later."""
COINCIDENCE_SECONDS = 1.0
"""Time within which crashes may have one reason: the precision of reported times."""
MAX_CRASHED_ENGINES = 4096
"""Maximum number of crashed engines remembered; the oldest are dropped first."""


class TrialHistory:
    """The failed trials of refused keys, and the engines that crashed.

    A crashed engine is remembered also when all its requests are cleared.

    Args:
        requests: the record of whole requests and items.
        parts: the record of parts of prompts.
    """

    def __init__(self, requests: CrashRecord, parts: CrashRecord) -> None:
        self._requests = requests
        self._parts = parts
        self._crashed_at: OrderedDict[str, float] = OrderedDict()
        """When each engine crashed."""
        self._failed: dict[str, int] = {}
        """Failed trials by key, until a record changes."""

    def on_crashed(self, engine_id: str, at: float) -> None:
        """Records that an engine crashed, under any request."""
        if is_trial_id(engine_id):
            return
        self._crashed_at.setdefault(engine_id, at)
        if len(self._crashed_at) > MAX_CRASHED_ENGINES:
            self._crashed_at.popitem(last=False)

    def on_alive(self, engine_id: str) -> None:
        """Forgets the crash of an engine that lives."""
        self._crashed_at.pop(engine_id, None)

    def on_changed(self) -> None:
        """Handles a change of a record."""
        self._failed.clear()

    def failed_trials(self, record: CrashRecord, key: str) -> int:
        """Returns how many trials of a key crashed their engines, by the record that counts it."""
        if key not in self._failed:
            self._failed[key] = self._count_failed(record, key)
        return self._failed[key]

    def _count_failed(self, record: CrashRecord, key: str) -> int:
        crashed_at = record.crashes_of(key).crashed_at
        times = sorted(at for engine_id, at in crashed_at.items() if not is_trial_id(engine_id))
        return sum(
            later - earlier >= SERIES_GAP_SECONDS and not self._has_other_reason(later, crashed_at)
            for earlier, later in pairwise(times[record.min_crashes - 1 :])
        )

    def _has_other_reason(self, at: float, crashed_under_key: dict[str, float]) -> bool:
        """Returns whether an engine that ran no suspect crashed at about the same time."""
        return any(
            abs(crashed_at - at) <= COINCIDENCE_SECONDS
            and engine_id not in crashed_under_key
            and not self._ran_suspect(engine_id, crashed_at)
            for engine_id, crashed_at in self._crashed_at.items()
        )

    def _ran_suspect(self, engine_id: str, crashed_at: float) -> bool:
        known_before = crashed_at - COINCIDENCE_SECONDS
        records = (self._requests, self._parts)
        return any(record.was_suspected(engine_id, known_before) for record in records)
