"""What this daemon knows of requests under which engines ended, and what it does about it."""

import random
from collections.abc import Callable

from troutswitch.common import Address, stable_hash
from troutswitch.daemons.messages import CrashReport
from troutswitch.decisions.crashes.engine_crashes import EngineCrashes
from troutswitch.decisions.crashes.messages import Crash, EngineChecked
from troutswitch.decisions.crashes.record import CRASHES_TO_REFUSE, HELD_SECONDS, CrashRecord
from troutswitch.decisions.crashes.shared import SharedCrashes
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import StoreOutcome
from troutswitch.outcomes import NotRun, Step

CRASHES_TO_WAIT = 2
"""Crashes from which a request's next attempt waits until it is known whether its last engine
ended. A retry goes within a millisecond, and knowing takes two to four."""
SETTLED_SECONDS = 1.0
"""Time after the last crash in which a refused caller is asked to come back, as others may still
tell what clears it; later it is told not to come again."""
HELD_LEAST = 0.5
"""Least time for which a daemon holds a request back, in `HELD_SECONDS`; each has its own time.
Guards against all daemons freeing a cause in the same millisecond: its callers, five a second,
had sent it twice before its next crash was known (one of six days of one site)."""
LAPSE_SECONDS = 5.0
"""Interval of looks for crashes that are too old to count."""
ENDED_MOST = 4096
"""Engine lives that are remembered as ended."""
CONTENTS_LOGGED = 24
"""Requests that one log line names: two engines' slots."""
NEVER_STATUS = 400
"""Status after which a well-made client doesn't try again."""


class CrashSuspects:
    """Requests that were on engines when these ended.

    What is decided here holds for the fleet: daemons that know the same crashes refuse the same
    requests, in whichever order they heard of them.
    """

    def __init__(
        self,
        name: str,
        engines: EngineRegistry,
        numbers: CallNumbers,
        peers: Callable[[], list[Address]],
        emit: Callable[[object], None],
        log: Callable[..., None],
        rng: random.Random,
    ) -> None:
        self.clock_offset = 0.0
        """How far the time of day is ahead of this process's clock, in seconds."""
        self.changes = 0
        """Changes of what is refused."""
        self._emit = emit
        self._log = log
        self._endings = EngineCrashes(engines, emit)
        self._record = CrashRecord(_held_seconds(name))
        self._shared = SharedCrashes(name, numbers, rng, peers, self._take, log)
        self._ended: dict[str, float] = {}
        """When this daemon learnt that an engine's life had ended, by its own clock."""
        self._lapse_at = float("-inf")
        self._refused: frozenset[str] = frozenset()

    # What is asked.

    @property
    def refused(self) -> frozenset[str]:
        """The contents of the requests that are refused."""
        return self._refused

    @property
    def count(self) -> int:
        """The requests on record."""
        return len(self._record)

    def awaits_crash_report(self, content: str) -> bool:
        """Returns whether a request's next attempt waits for word of its last engine."""
        return self._record.crashes(content) >= CRASHES_TO_WAIT

    def may_try(self, now: float, content: str, pause: float, trials_most: int) -> bool:
        """Returns whether a refused request may be tried once more; see `Suspects`."""
        is_quiet = now + self.clock_offset >= self._record.last_at(content) + pause
        return is_quiet and self._record.crashes(content) < CRASHES_TO_REFUSE + trials_most

    def refusal(self, now: float, content: str) -> NotRun:
        """Returns the answer to a request that is refused and has not run in this try."""
        reason = f"{self._record.crashes(content)} servers ended under this request"
        if content in self._record.held:
            over_at = self._record.last_at(content) + self._record.held_seconds
            wait = max(SETTLED_SECONDS, over_at - now - self.clock_offset)
            return NotRun(f"{reason}, or another", Step.ADMIT, "", wait)
        if now + self.clock_offset < self._record.last_at(content) + SETTLED_SECONDS:
            return NotRun(reason, Step.ADMIT, "", SETTLED_SECONDS)
        return NotRun(reason, Step.ADMIT, "", None, NEVER_STATUS)

    # What requests meet.

    def on_lost(self, now: float, content: str, engine_id: str, *, is_silent: bool = False) -> None:
        """An attempt's answer was lost; `is_silent` if nothing came, not even an end."""
        self._endings.on_lost(now, content, engine_id, is_silent)

    def on_checked(self, now: float, event: EngineChecked) -> None:
        """An engine was checked after an answer of it was lost."""
        crashes = self._endings.on_checked(event)
        self._log(
            "engine checked",
            engine=event.engine_id,
            found=event.found,
            contents=_named(crashes),
        )
        self._on_crashes(now, crashes)

    def on_list(self, now: float) -> None:
        """A new list of engines was taken in."""
        crashes = self._endings.on_list()
        for crash in crashes:
            self._log("silent engine gone", engine=crash.engine_id, contents=[crash.content])
        self._on_crashes(now, crashes)

    def _on_crashes(self, now: float, crashes: list[Crash]) -> None:
        at = now + self.clock_offset
        for crash in crashes:
            if self._take(now, crash, at, True):
                self._shared.publish(now, crash, at, True)

    def on_served(self, now: float, content: str) -> None:
        """An engine ran the request to its end: it was beside the cause of its crashes."""
        if self._record.crashes(content):
            self._take_back(now, self._record.of_content(content), "served")

    def on_answered(self, now: float, engine_id: str, sent_at: float) -> None:
        """An engine answers an attempt; one sent after its end was told shows that it lives.

        Guards against a daemon whose connections are refused or reset on the way: it takes all
        its engines for ended, under all its requests.
        """
        self._endings.on_answered(engine_id, sent_at)
        if sent_at > self._ended.get(engine_id, float("inf")):
            del self._ended[engine_id]
            self._take_back(now, self._record.of_engine(engine_id), "engine lives")

    def _take_back(self, now: float, crashes: list[Crash], reason: str) -> None:
        if crashes:
            self._log("crashes retracted", reason=reason, count=len(crashes))
        for crash in crashes:
            self._take(now, crash, 0.0, False)
            self._shared.publish(now, crash, 0.0, False)

    def _take(self, now: float, crash: Crash, at: float, stands: bool) -> bool:
        """Takes a crash in, or back; returns whether it was news."""
        time_of_day = now + self.clock_offset
        if not stands:
            is_news = self._record.remove(time_of_day, crash)
        elif self._record.is_over(time_of_day, at):
            self._shared.forget(now, crash)
            return False
        else:
            is_news = self._record.add(time_of_day, crash, at)
            self._note_ended(now, crash.engine_id)
        self._look_at_refused()
        return is_news

    def _note_ended(self, now: float, engine_id: str) -> None:
        self._ended.setdefault(engine_id, now)
        if len(self._ended) > ENDED_MOST:
            del self._ended[next(iter(self._ended))]

    def _look_at_refused(self) -> None:
        """Notes what is refused from now on, and what no longer."""
        before, self._refused = self._refused, self._record.refused | self._record.held
        if self._refused == before:
            return
        self.changes += 1
        for content in sorted(self._refused - before):
            crashes = self._record.of_content(content)
            engines = [crash.engine_id for crash in crashes]
            is_held = content in self._record.held
            self._log(
                "request refused from now on", content=content, engines=engines, is_held=is_held
            )
        for content in sorted(before - self._refused):
            self._log("request no longer refused", content=content)

    # Peers and the store.

    def on_news(self, now: float, news: CrashReport) -> None:
        """Takes what a peer tells."""
        self._shared.on_news(now, news)

    def owns(self, call: int) -> bool:
        """Returns whether a store's answer belongs here."""
        return self._shared.owns(call)

    def on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Takes a store's answer."""
        self._shared.on_store(now, call, outcome)

    def read_again(self, now: float) -> None:
        """Reads what others wrote while this daemon stood still."""
        self._shared.follower.read_again(now)

    def set_least_interval(self, seconds: float) -> None:
        """Sets the least time between reads of the store, in seconds, for a large fleet."""
        self._shared.follower.least_interval = seconds

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(self._endings.next_due(), self._shared.next_due(), self._lapse_due())

    def _lapse_due(self) -> float:
        lapse_at = self._lapse_at + LAPSE_SECONDS if self.count else float("inf")
        return min(lapse_at, self._record.next_release() - self.clock_offset)

    def on_timer(self, now: float) -> None:
        """Forgets what is over, and tells and reads what is due."""
        self._endings.on_timer(now)
        if self.count and now >= self._lapse_due():
            self._lapse(now)
        for instruction in self._shared.on_timer(now, self.count > 0):
            self._emit(instruction)

    def _lapse(self, now: float) -> None:
        self._lapse_at = now
        for crash in self._record.lapse(now + self.clock_offset):
            self._shared.forget(now, crash)
        self._look_at_refused()


def _held_seconds(name: str) -> float:
    """Returns for how long a daemon holds requests back: a time of its own, by its name."""
    part = (stable_hash("held", name) % 1000) / 1000
    return HELD_SECONDS * (HELD_LEAST + part * (1.0 - HELD_LEAST))


def _named(crashes: list[Crash]) -> list[str]:
    """Returns the contents for a log line, as many as it may name."""
    return [crash.content for crash in crashes[:CONTENTS_LOGGED]]
