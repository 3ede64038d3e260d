"""The crashes that one daemon knows of: which engine incarnations crashed under which requests.

Owns the crashes by request and by engine, within bounds, and keeps what follows from them by
`causes`: the requests that are refused and those that are deferred. Adding or removing a crash any
number of times, in any order of daemons, gives the same record. Times are seconds since the epoch.
"""

from collections import OrderedDict, defaultdict

from troutswitch.decisions.crashes.causes import (
    CRASHES_TO_REFUSE,
    RequestCrashes,
    deferred_contents,
    refused_contents,
)
from troutswitch.decisions.crashes.messages import Crash

KEPT_SECONDS = 3600.0
"""Time for which a crash is remembered: six tries of a request that goes on crashing engines."""
CONTENTS_MOST = 4096
"""Requests on record: as many as run on a fleet of 300 engines, if all crash at once."""
CRASHES_MOST = 12
"""Crashes on one request's record, the newest: far more than refuse it."""


class CrashRecord:
    """All crashes that a daemon knows of, its own and those that others reported.

    When it is full, requests with one crash are forgotten first, the oldest of them first.
    """

    def __init__(self, deferred_seconds: float) -> None:
        self.deferred_seconds = deferred_seconds
        """Time after its last crash for which this daemon defers a request."""
        self.refused: frozenset[str] = frozenset()
        """Contents of the requests that are the cause of crashes."""
        self.deferred: frozenset[str] = frozenset()
        """Contents of requests with as many crashes that others explain."""
        self._once: OrderedDict[str, RequestCrashes] = OrderedDict()
        self._often: OrderedDict[str, RequestCrashes] = OrderedDict()
        self._contents: defaultdict[str, set[str]] = defaultdict(set)

    def __len__(self) -> int:
        return len(self._once) + len(self._often)

    def _of(self, content: str) -> RequestCrashes | None:
        return self._often.get(content) or self._once.get(content)

    def crashes(self, content: str) -> int:
        """Returns how many engine incarnations crashed under a request."""
        crashes = self._of(content)
        return len(crashes.crashed_at) if crashes is not None else 0

    def last_at(self, content: str) -> float:
        """Returns when the last engine crashed under a request; minus infinity if none did."""
        crashes = self._of(content)
        return crashes.last_at if crashes is not None else float("-inf")

    def of_content(self, content: str) -> list[Crash]:
        """Returns a request's crashes."""
        crashes = self._of(content)
        if crashes is None:
            return []
        return [Crash(content, engine_id) for engine_id in crashes.crashed_at]

    def of_engine(self, engine_id: str) -> list[Crash]:
        """Returns the crashes of one engine incarnation."""
        return [Crash(content, engine_id) for content in sorted(self._contents.get(engine_id, ()))]

    @staticmethod
    def is_over(now: float, at: float) -> bool:
        """Returns whether a crash is too old to count."""
        return at <= now - KEPT_SECONDS

    def add(self, now: float, crash: Crash, at: float) -> bool:
        """Takes a crash in; returns whether it was unknown and counts."""
        at = min(at, now)
        crashes = self._of(crash.content) or RequestCrashes()
        is_known = crash.engine_id in crashes.crashed_at
        if is_known or self.is_over(now, at):
            return False
        crashes.crashed_at[crash.engine_id] = at
        self._contents[crash.engine_id].add(crash.content)
        self._file(crash.content, crashes)
        self._keep_bounds(crash.content, crashes)
        self._on_changed(now, len(crashes.crashed_at))
        return True

    def remove(self, now: float, crash: Crash) -> bool:
        """Removes a crash; returns whether it was known."""
        crashes = self._of(crash.content)
        if crashes is None or crash.engine_id not in crashes.crashed_at:
            return False
        count = len(crashes.crashed_at)
        del crashes.crashed_at[crash.engine_id]
        self._unlink(crash)
        self._file(crash.content, crashes)
        self._on_changed(now, count)
        return True

    def _unlink(self, crash: Crash) -> None:
        contents = self._contents[crash.engine_id]
        contents.discard(crash.content)
        if not contents:
            del self._contents[crash.engine_id]

    def _file(self, content: str, crashes: RequestCrashes) -> None:
        """Files a request anew by how many crashes it has, as the newest."""
        self._once.pop(content, None)
        self._often.pop(content, None)
        if len(crashes.crashed_at) > 1:
            self._often[content] = crashes
        elif crashes.crashed_at:
            self._once[content] = crashes

    def _keep_bounds(self, content: str, crashes: RequestCrashes) -> None:
        """Forgets the oldest crashes of a request, and the oldest requests, beyond the bounds."""
        crashed_at = crashes.crashed_at
        while len(crashed_at) > CRASHES_MOST:
            oldest = min(crashed_at, key=lambda engine_id: crashed_at[engine_id])
            del crashed_at[oldest]
            self._unlink(Crash(content, oldest))
        while len(self) > CONTENTS_MOST:
            forgotten, its_crashes = (self._once or self._often).popitem(last=False)
            for engine_id in its_crashes.crashed_at:
                self._unlink(Crash(forgotten, engine_id))

    def expire(self, now: float) -> list[Crash]:
        """Forgets crashes that are too old, and returns them; ends refusals that are over."""
        expired = [
            Crash(content, engine_id)
            for by_content in (self._once, self._often)
            for content, crashes in by_content.items()
            for engine_id, at in crashes.crashed_at.items()
            if self.is_over(now, at)
        ]
        for crash in expired:
            self.remove(now, crash)
        self._judge(now)
        return expired

    def next_release(self) -> float:
        """Returns when the first of the deferred requests is free again."""
        ends = (self.last_at(content) + self.deferred_seconds for content in self.deferred)
        return min(ends, default=float("inf"))

    def _on_changed(self, now: float, crashes: int) -> None:
        """Judges anew, if a request with so many crashes can matter to what is refused."""
        if crashes >= CRASHES_TO_REFUSE:
            self._judge(now)

    def _judge(self, now: float) -> None:
        self.refused = refused_contents(now, self._often)
        self.deferred = deferred_contents(now, self._often, self.refused, self.deferred_seconds)
