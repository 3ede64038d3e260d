"""Which engine lives ended under which requests, and which requests are the cause.

Everything that was on an engine is cut with it, so each of an engine's requests gets the crash on
its record, the innocent ones too. These come again and may meet the cause at its next engine: as
engines end, the rest carry all. So a record of three crashes is no proof by itself. Of the requests
with three or more, those are refused that at least one crash can't be explained without. Two that
share all crashes are told apart by the next one, which only the cause has.
"""

from collections import Counter, OrderedDict, defaultdict
from dataclasses import dataclass, field

from troutswitch.decisions.crashes.messages import Crash

CRASHES_TO_REFUSE = 3
"""Engine lives that must have ended under a request before it is refused: users allow three, and
each costs all that ran beside."""
CRASHES_CERTAIN = 5
"""Crashes after which a request is refused whatever else explains them. Causes that always come
together would otherwise never be; users allow three more times once all daemons know of three."""
REFUSED_SECONDS = 600.0
"""Time after its last crash for which a request is refused. Then one try shows whether engines
can run it by now; a crash in it refuses the request again at once."""
HELD_SECONDS = 10.0
"""Longest time after its last crash for which a request with three crashes is held back that others
explain: a cause among several is not found otherwise before its fifth. In 72 worlds with two to
six causes at once, 9 to 18 of their sends came past the bound without this, and bystanders were
served less often (docs/design/crashes.md)."""
KEPT_SECONDS = 3600.0
"""Time for which a crash is remembered: six tries of a request that goes on ending engines."""
CONTENTS_MOST = 4096
"""Requests on record. A fleet of 300 engines that all end at once adds up to some 4,000."""
CRASHES_MOST = 12
"""Crashes on one request's record, the newest: far more than refuse it."""


@dataclass(slots=True)
class _Entry:
    """One request's crashes: when each engine's life ended, in seconds since the epoch."""

    ended_at: dict[str, float] = field(default_factory=dict)

    @property
    def last_at(self) -> float:
        """When the last engine ended."""
        return max(self.ended_at.values())


class CrashRecord:
    """All crashes that a daemon knows of, its own and those that others tell.

    Adding or removing one any number of times, in any order of daemons, gives the same record.
    When it is full, requests with one crash go first, the oldest of them first.
    """

    def __init__(self, held_seconds: float) -> None:
        self.held_seconds = held_seconds
        """Time after its last crash for which this daemon holds a request back."""
        self.refused: frozenset[str] = frozenset()
        """Contents of the requests that are the cause of crashes."""
        self.held: frozenset[str] = frozenset()
        """Contents of requests with as many crashes that others explain; held back for a while."""
        self._once: OrderedDict[str, _Entry] = OrderedDict()
        self._often: OrderedDict[str, _Entry] = OrderedDict()
        self._contents: defaultdict[str, set[str]] = defaultdict(set)

    def __len__(self) -> int:
        return len(self._once) + len(self._often)

    def _entry(self, content: str) -> _Entry | None:
        return self._often.get(content) or self._once.get(content)

    def crashes(self, content: str) -> int:
        """Returns how many engine lives ended under a request, as far as is known."""
        entry = self._entry(content)
        return len(entry.ended_at) if entry is not None else 0

    def last_at(self, content: str) -> float:
        """Returns when the last engine ended under a request; minus infinity if none did."""
        entry = self._entry(content)
        return entry.last_at if entry is not None else float("-inf")

    def of_content(self, content: str) -> list[Crash]:
        """Returns a request's crashes."""
        entry = self._entry(content)
        return [Crash(content, name) for name in entry.ended_at] if entry is not None else []

    def of_engine(self, engine_id: str) -> list[Crash]:
        """Returns the crashes of one engine's life."""
        return [Crash(content, engine_id) for content in sorted(self._contents.get(engine_id, ()))]

    @staticmethod
    def is_over(now: float, at: float) -> bool:
        """Returns whether a crash is too old to count."""
        return at <= now - KEPT_SECONDS

    def add(self, now: float, crash: Crash, at: float) -> bool:
        """Takes a crash in; returns whether it is news. Times are seconds since the epoch."""
        at = min(at, now)
        entry = self._entry(crash.content) or _Entry()
        is_known = crash.engine_id in entry.ended_at
        if is_known or self.is_over(now, at):
            return False
        entry.ended_at[crash.engine_id] = at
        self._contents[crash.engine_id].add(crash.content)
        self._file(crash.content, entry)
        self._make_room(crash.content, entry)
        self._judge(now, len(entry.ended_at))
        return True

    def remove(self, now: float, crash: Crash) -> bool:
        """Takes a crash back; returns whether it was known."""
        entry = self._entry(crash.content)
        if entry is None or crash.engine_id not in entry.ended_at:
            return False
        count = len(entry.ended_at)
        del entry.ended_at[crash.engine_id]
        self._unlink(crash)
        self._file(crash.content, entry)
        self._judge(now, count)
        return True

    def _unlink(self, crash: Crash) -> None:
        contents = self._contents[crash.engine_id]
        contents.discard(crash.content)
        if not contents:
            del self._contents[crash.engine_id]

    def _file(self, content: str, entry: _Entry) -> None:
        """Files an entry anew by how many crashes it has, as the newest."""
        self._once.pop(content, None)
        self._often.pop(content, None)
        if len(entry.ended_at) > 1:
            self._often[content] = entry
        elif entry.ended_at:
            self._once[content] = entry

    def _make_room(self, content: str, entry: _Entry) -> None:
        while len(entry.ended_at) > CRASHES_MOST:
            oldest = min(entry.ended_at, key=lambda engine_id: entry.ended_at[engine_id])
            del entry.ended_at[oldest]
            self._unlink(Crash(content, oldest))
        while len(self) > CONTENTS_MOST:
            forgotten, held = (self._once or self._often).popitem(last=False)
            for engine_id in held.ended_at:
                self._unlink(Crash(forgotten, engine_id))

    def lapse(self, now: float) -> list[Crash]:
        """Forgets crashes that are too old, and returns them; ends refusals that are over."""
        expired = [
            Crash(content, engine_id)
            for held in (self._once, self._often)
            for content, entry in held.items()
            for engine_id, at in entry.ended_at.items()
            if self.is_over(now, at)
        ]
        for crash in expired:
            self.remove(now, crash)
        self._sort_out(now)
        return expired

    def next_release(self) -> float:
        """Returns when the first of the requests that are held back is free again."""
        ends = (self.last_at(content) + self.held_seconds for content in self.held)
        return min(ends, default=float("inf"))

    # Which requests are the cause.

    def _judge(self, now: float, crashes: int) -> None:
        """Works out anew what is refused, if a record of so many crashes can matter to it."""
        if crashes >= CRASHES_TO_REFUSE:
            self._sort_out(now)

    def _sort_out(self, now: float) -> None:
        self.refused = self._causes(now)
        self.held = frozenset(
            content
            for content, entry in self._often.items()
            if len(entry.ended_at) >= CRASHES_TO_REFUSE
            and content not in self.refused
            and entry.last_at > now - self.held_seconds
        )

    def _causes(self, now: float) -> frozenset[str]:
        """Returns the requests that are the cause of crashes, but for those whose time is over."""
        records = {
            content: frozenset(entry.ended_at)
            for content, entry in self._often.items()
            if len(entry.ended_at) >= CRASHES_TO_REFUSE
        }
        on_records = Counter(
            engine_id for incarnations in records.values() for engine_id in incarnations
        )
        return frozenset(
            content
            for content, incarnations in records.items()
            if _is_cause(incarnations, on_records) and self.last_at(content) > now - REFUSED_SECONDS
        )


def _is_cause(incarnations: frozenset[str], on_records: Counter[str]) -> bool:
    """Returns whether a request is the only explanation of a crash, by the records that count."""
    is_needed = any(on_records[engine_id] == 1 for engine_id in incarnations)
    return is_needed or len(incarnations) >= CRASHES_CERTAIN
