"""The crashes that one daemon knows: which engine incarnations crashed under which requests.

Owns a bounded set of crashes, indexed by request and by engine, and the sets of refused and
deferred requests that a rule derives from them. A second record has parts of prompts in place of
requests. The order and number of reports of a crash make
no difference. Times are seconds since the epoch.
"""

import itertools
from collections import OrderedDict, defaultdict

from troutswitch.decisions.crashes.messages import Crash
from troutswitch.decisions.crashes.rules import RefusalRule, RequestCrashes

RETENTION_SECONDS = 3600.0
"""Time for which a crash is kept: six attempts of a request that keeps crashing engines."""
MAX_CONTENTS = 8192
"""Maximum number of keys on record: those of a fleet of 300 engines that all crash at once, where
each item has two."""
MAX_CRASHES_PER_CONTENT = 12
"""Newest crashes kept for one request: far more than are needed to refuse it."""


class CrashRecord:
    """All crashes that a daemon knows, its own and reported ones.

    When the record is full, it evicts the oldest request with a single crash first, and refused and
    deferred ones last. The newest request is never evicted.
    """

    def __init__(self, rule: RefusalRule) -> None:
        self._rule = rule
        self.refused: frozenset[str] = frozenset()
        """Contents of the requests that cause crashes."""
        self.deferred: frozenset[str] = frozenset()
        """Contents of the requests whose crashes other requests may explain."""
        self._crashed_once: OrderedDict[str, RequestCrashes] = OrderedDict()
        self._crashed_repeatedly: OrderedDict[str, RequestCrashes] = OrderedDict()
        self._contents_by_engine: defaultdict[str, set[str]] = defaultdict(set)

    @property
    def deferral_seconds(self) -> float:
        """Time after its last crash for which this daemon defers a request, in seconds."""
        return self._rule.deferral_seconds

    @property
    def min_crashes(self) -> int:
        """Number of crashes below which a key is neither refused nor deferred."""
        return self._rule.min_crashes

    def __len__(self) -> int:
        return len(self._crashed_once) + len(self._crashed_repeatedly)

    def _find(self, content: str) -> RequestCrashes | None:
        return self._crashed_repeatedly.get(content) or self._crashed_once.get(content)

    def crash_count(self, content: str) -> int:
        """Returns how many engine incarnations crashed under a request."""
        crashes = self._find(content)
        return len(crashes.crashed_at) if crashes is not None else 0

    def last_crash_at(self, content: str) -> float:
        """Returns when the last engine crashed under a request; minus infinity if none did."""
        crashes = self._find(content)
        return crashes.last_crash_at if crashes is not None else float("-inf")

    def crashes_of_content(self, content: str) -> list[Crash]:
        """Returns a request's crashes."""
        crashes = self._find(content)
        if crashes is None:
            return []
        return [Crash(content, engine_id) for engine_id in crashes.crashed_at]

    def crashes_of_engine(self, engine_id: str) -> list[Crash]:
        """Returns the crashes of one engine incarnation."""
        return [
            Crash(content, engine_id)
            for content in sorted(self._contents_by_engine.get(engine_id, ()))
        ]

    def engine_count(self, since: float) -> int:
        """Returns how many of the engines on record crashed after a time."""
        return sum(
            any(self._crashed_after(content, engine_id, since) for content in contents)
            for engine_id, contents in self._contents_by_engine.items()
        )

    def _crashed_after(self, content: str, engine_id: str, since: float) -> bool:
        crashes = self._find(content)
        return crashes is not None and crashes.crashed_at.get(engine_id, since) > since

    def crashes_of(self, content: str) -> RequestCrashes:
        """Returns when which engines crashed under a request; trials count as engines."""
        return self._find(content) or RequestCrashes()

    def was_suspected(self, engine_id: str, before: float) -> bool:
        """Returns whether an engine crashed under a request that might be refused before a time."""
        return any(
            self._crashes_before(content, before) >= self._rule.min_crashes
            for content in self._contents_by_engine.get(engine_id, ())
            if content in self._crashed_repeatedly
        )

    def _crashes_before(self, content: str, before: float) -> int:
        return sum(at <= before for at in self.crashes_of(content).crashed_at.values())

    @staticmethod
    def is_expired(now: float, at: float) -> bool:
        """Returns whether a crash at the time `at` is too old to count."""
        return at <= now - RETENTION_SECONDS

    def add(self, now: float, crash: Crash, at: float) -> bool:
        """Adds a crash; returns whether it was unknown and is not expired."""
        at = min(at, now)
        crashes = self._find(crash.content) or RequestCrashes()
        is_known = crash.engine_id in crashes.crashed_at
        if is_known or self.is_expired(now, at):
            return False
        crashes.crashed_at[crash.engine_id] = at
        self._contents_by_engine[crash.engine_id].add(crash.content)
        self._reinsert(crash.content, crashes)
        self._enforce_bounds(crash.content, crashes)
        self._on_changed(now, len(crashes.crashed_at))
        return True

    def remove(self, now: float, crash: Crash) -> bool:
        """Removes a crash; returns whether it was known."""
        crashes = self._find(crash.content)
        if crashes is None or crash.engine_id not in crashes.crashed_at:
            return False
        count = len(crashes.crashed_at)
        del crashes.crashed_at[crash.engine_id]
        self._unlink(crash)
        self._reinsert(crash.content, crashes)
        self._on_changed(now, count)
        return True

    def _unlink(self, crash: Crash) -> None:
        contents = self._contents_by_engine[crash.engine_id]
        contents.discard(crash.content)
        if not contents:
            del self._contents_by_engine[crash.engine_id]

    def _reinsert(self, content: str, crashes: RequestCrashes) -> None:
        """Moves a request to the newest place of the index for its number of crashes."""
        self._crashed_once.pop(content, None)
        self._crashed_repeatedly.pop(content, None)
        if len(crashes.crashed_at) > 1:
            self._crashed_repeatedly[content] = crashes
        elif crashes.crashed_at:
            self._crashed_once[content] = crashes

    def _enforce_bounds(self, content: str, crashes: RequestCrashes) -> None:
        """Evicts a request's oldest crashes, and the oldest requests, beyond the bounds."""
        crashed_at = crashes.crashed_at
        while len(crashed_at) > MAX_CRASHES_PER_CONTENT:
            oldest = min(crashed_at, key=lambda engine_id: crashed_at[engine_id])
            del crashed_at[oldest]
            self._unlink(Crash(content, oldest))
        while len(self) > MAX_CONTENTS:
            forgotten = self._least_important(content)
            for crash in self.crashes_of_content(forgotten):
                self._unlink(crash)
            self._crashed_once.pop(forgotten, None)
            self._crashed_repeatedly.pop(forgotten, None)

    def _least_important(self, newest: str) -> str:
        """Returns the request to evict next, which is not the newest one."""
        contents = itertools.chain(self._crashed_once, self._crashed_repeatedly)
        evictable = (content for content in contents if content != newest)
        oldest = next(evictable)
        for content in itertools.chain([oldest], evictable):
            if content not in self.refused and content not in self.deferred:
                return content
        return oldest

    def expire(self, now: float) -> list[Crash]:
        """Removes and returns the expired crashes, and ends expired refusals."""
        expired = [
            Crash(content, engine_id)
            for by_content in (self._crashed_once, self._crashed_repeatedly)
            for content, crashes in by_content.items()
            for engine_id, at in crashes.crashed_at.items()
            if self.is_expired(now, at)
        ]
        for crash in expired:
            self.remove(now, crash)
        self._update_refusals(now)
        return expired

    def next_deferral_end(self) -> float:
        """Returns when the first deferral ends; infinite without one."""
        pause = self.deferral_seconds
        ends = (self.last_crash_at(content) + pause for content in self.deferred)
        return min(ends, default=float("inf"))

    def _on_changed(self, now: float, crashes: int) -> None:
        """Updates the refusals if a request with this number of crashes can affect them."""
        if crashes >= self._rule.min_crashes:
            self._update_refusals(now)

    def _update_refusals(self, now: float) -> None:
        self.refused = self._rule.refused(now, self._crashed_repeatedly)
        self.deferred = self._rule.deferred(now, self._crashed_repeatedly, self.refused)
