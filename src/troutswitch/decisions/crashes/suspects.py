"""What this daemon knows of requests under which engines crashed, and what it answers them.

Joins the parts: `engine_crashes` (did an engine crash), `record` and `causes` (which request is
the cause), `shared` (all daemons know). Owns the set of refused contents, which `forwarding` and
`jobs` obey, and the log lines about it.

A refused request is answered 503 with a time to retry while it is deferred, and until
`RETRACTION_WINDOW_SECONDS` after its last crash, because other daemons may still report evidence
that clears it. After that it is answered 400, which a well-behaved client does not retry.

What clears a request: an engine ran it to its end; or the engine that crashed under it answers a
request that was sent after the crash was reported.

`now` is this process's clock, in seconds; with `clock_offset` it gives the time of day.
"""

import random
from collections.abc import Callable

from troutswitch.common import Address, stable_hash
from troutswitch.daemons.messages import CrashReport
from troutswitch.decisions.crashes.causes import CRASHES_TO_REFUSE, MAX_DEFERRAL_SECONDS
from troutswitch.decisions.crashes.engine_crashes import EngineCrashes
from troutswitch.decisions.crashes.messages import CheckEngine, Crash, EngineChecked
from troutswitch.decisions.crashes.record import CrashRecord
from troutswitch.decisions.crashes.shared import SharedCrashes
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.messages import StoreCall, StoreOutcome
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.outcomes import NotRun, Step

CRASHES_TO_AWAIT_REPORT = 2
"""Crashes from which a request's next attempt waits until it is known whether its last engine
crashed: a retry is sent sooner than that is known."""
RETRACTION_WINDOW_SECONDS = 1.0
"""Time after the last crash in which a refused caller is to retry, as other daemons may still
report what clears it."""
MIN_DEFERRAL_SHARE = 0.5
"""Least time for which a daemon defers a request, in `MAX_DEFERRAL_SECONDS`; each has its own time.
Guards against all daemons freeing a cause at once, whose callers would send it several times
before its next crash is known."""
DEFERRAL_SALT = "held"
"""Salt of the hash of names; another one would give daemons other times."""
EXPIRY_CHECK_INTERVAL_SECONDS = 5.0
"""Interval of checks for crashes that are too old to count."""
MAX_CRASHED_ENGINES = 4096
"""Engine incarnations that are remembered as crashed."""
MAX_LOGGED_CONTENTS = 24
"""Requests that one log line names: two engines' slots."""
NON_RETRYABLE_STATUS = 400
"""Status after which a well-made client doesn't retry."""

CrashInstruction = CheckEngine | StoreCall | SendToPeers


class CrashSuspects:
    """Requests that were on engines when these crashed.

    What is decided here holds for the fleet: daemons that know the same crashes refuse the same
    requests, in whichever order they learnt of them.

    Args:
        peers: returns the addresses of other daemons.
        emit: takes an instruction.
        log: writes a log line: its event, and its fields by name.
    """

    def __init__(
        self,
        name: str,
        engines: EngineRegistry,
        numbers: CallNumbers,
        peers: Callable[[], list[Address]],
        emit: Callable[[CrashInstruction], None],
        log: Callable[..., None],
        rng: random.Random,
    ) -> None:
        self.clock_offset = 0.0
        """How far the time of day is ahead of this process's clock, in seconds."""
        self.changes = 0
        """Changes of what is refused."""
        self._emit = emit
        self._log = log
        self._engine_crashes = EngineCrashes(engines, emit)
        self._record = CrashRecord(_deferral_seconds(name))
        self._shared = SharedCrashes(name, numbers, rng, peers, self._apply, log)
        self._crashed_at: dict[str, float] = {}
        """When this daemon learnt that an engine incarnation had crashed, by its own clock."""
        self._expiry_checked_at = float("-inf")
        self._refused: frozenset[str] = frozenset()

    # Queries.

    @property
    def refused(self) -> frozenset[str]:
        """The contents of the requests that are refused, deferred ones among them."""
        return self._refused

    @property
    def count(self) -> int:
        """The requests on record."""
        return len(self._record)

    def awaits_crash_report(self, content: str) -> bool:
        """Returns whether a request's next attempt waits until its last engine was checked."""
        return self._record.crash_count(content) >= CRASHES_TO_AWAIT_REPORT

    def may_retry(self, now: float, content: str, pause: float, max_trials: int) -> bool:
        """Returns whether a refused request may be tried once more; see `Suspects`."""
        is_quiet = now + self.clock_offset >= self._record.last_crash_at(content) + pause
        return is_quiet and self._record.crash_count(content) < CRASHES_TO_REFUSE + max_trials

    def refusal(self, now: float, content: str) -> NotRun:
        """Returns the answer to a request that is refused and has not run in this try."""
        time_of_day = now + self.clock_offset
        last_crash_at = self._record.last_crash_at(content)
        reason = f"{self._record.crash_count(content)} servers ended under this request"
        if content in self._record.deferred:
            over_at = last_crash_at + self._record.deferral_seconds
            wait = max(RETRACTION_WINDOW_SECONDS, over_at - now - self.clock_offset)
            return NotRun(f"{reason}, or another", Step.ADMIT, "", wait)
        if time_of_day < last_crash_at + RETRACTION_WINDOW_SECONDS:
            return NotRun(reason, Step.ADMIT, "", RETRACTION_WINDOW_SECONDS)
        return NotRun(reason, Step.ADMIT, "", None, NON_RETRYABLE_STATUS)

    # What happens to requests.

    def on_lost(self, now: float, content: str, engine_id: str, *, is_silent: bool = False) -> None:
        """An attempt's answer was lost; `is_silent` if nothing came, not even its end."""
        self._engine_crashes.on_lost(now, content, engine_id, is_silent)

    def on_checked(self, now: float, event: EngineChecked) -> None:
        """An engine was checked after an answer of it was lost."""
        crashes = self._engine_crashes.on_checked(event)
        self._log(
            "engine checked",
            engine=event.engine_id,
            found=event.result,
            contents=_contents_of(crashes),
        )
        self._on_crashes(now, crashes)

    def on_list(self, now: float) -> None:
        """A new list of engines was taken in."""
        crashes = self._engine_crashes.on_list()
        for crash in crashes:
            self._log("silent engine gone", engine=crash.engine_id, contents=[crash.content])
        self._on_crashes(now, crashes)

    def _on_crashes(self, now: float, crashes: list[Crash]) -> None:
        at = now + self.clock_offset
        for crash in crashes:
            if self._apply(now, crash, at, True):
                self._shared.publish(now, crash, at, True)

    def on_served(self, now: float, content: str) -> None:
        """An engine ran the request to its end: it was beside the cause of its crashes."""
        if self._record.crash_count(content):
            self._retract(now, self._record.crashes_of_content(content), "served")

    def on_answered(self, now: float, engine_id: str, sent_at: float) -> None:
        """An engine answers an attempt; one sent after its crash was known shows that it lives.

        Guards against a daemon whose connections are refused or reset by the network: it takes
        all its engines for crashed, under all its requests.
        """
        self._engine_crashes.on_answered(engine_id, sent_at)
        if sent_at > self._crashed_at.get(engine_id, float("inf")):
            del self._crashed_at[engine_id]
            self._retract(now, self._record.crashes_of_engine(engine_id), "engine lives")

    # The record.

    def _retract(self, now: float, crashes: list[Crash], reason: str) -> None:
        if crashes:
            self._log("crashes retracted", reason=reason, count=len(crashes))
        for crash in crashes:
            self._apply(now, crash, 0.0, False)
            self._shared.publish(now, crash, 0.0, False)

    def _apply(self, now: float, crash: Crash, at: float, stands: bool) -> bool:
        """Takes a crash in, or a retracted one out; returns whether that was not known yet."""
        time_of_day = now + self.clock_offset
        if not stands:
            was_unknown = self._record.remove(time_of_day, crash)
        elif self._record.is_expired(time_of_day, at):
            self._shared.forget(now, crash)
            return False
        else:
            was_unknown = self._record.add(time_of_day, crash, at)
            self._remember_crashed(now, crash.engine_id)
        self._update_refused()
        return was_unknown

    def _remember_crashed(self, now: float, engine_id: str) -> None:
        self._crashed_at.setdefault(engine_id, now)
        if len(self._crashed_at) > MAX_CRASHED_ENGINES:
            del self._crashed_at[next(iter(self._crashed_at))]

    def _update_refused(self) -> None:
        before, self._refused = self._refused, self._record.refused | self._record.deferred
        if self._refused == before:
            return
        self.changes += 1
        for content in sorted(self._refused - before):
            self._log(
                "request refused from now on",
                content=content,
                engines=[crash.engine_id for crash in self._record.crashes_of_content(content)],
                is_deferred=content in self._record.deferred,
            )
        for content in sorted(before - self._refused):
            self._log("request no longer refused", content=content)

    # Peers and the store.

    def on_report(self, now: float, report: CrashReport) -> None:
        """Takes a peer's report of crashes."""
        self._shared.on_report(now, report)

    def owns(self, call: int) -> bool:
        """Returns whether a store's answer belongs here."""
        return self._shared.owns(call)

    def on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Takes a store's answer."""
        self._shared.on_store(now, call, outcome)

    def read_again(self, now: float) -> None:
        """Reads what others wrote while this process was suspended."""
        self._shared.follower.read_again(now)

    def set_min_interval(self, seconds: float) -> None:
        """Sets the least time between reads of the store, in seconds, for a large fleet."""
        self._shared.follower.min_interval = seconds

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(self._engine_crashes.next_due(), self._shared.next_due(), self._expiry_due())

    def _expiry_due(self) -> float:
        """Returns when crashes are to be checked for their age, or a deferred request is free."""
        check_at = (
            self._expiry_checked_at + EXPIRY_CHECK_INTERVAL_SECONDS if self.count else float("inf")
        )
        return min(check_at, self._record.next_deferral_end() - self.clock_offset)

    def on_timer(self, now: float) -> None:
        """Forgets what is over, and emits the calls and reports that are due."""
        self._engine_crashes.on_timer(now)
        if self.count and now >= self._expiry_due():
            self._expire(now)
        for instruction in self._shared.on_timer(now, self.count > 0):
            self._emit(instruction)

    def _expire(self, now: float) -> None:
        self._expiry_checked_at = now
        for crash in self._record.expire(now + self.clock_offset):
            self._shared.forget(now, crash)
        self._update_refused()


def _deferral_seconds(name: str) -> float:
    """Returns for how long a daemon defers requests: a time of its own, by its name."""
    share = (stable_hash(DEFERRAL_SALT, name) % 1000) / 1000
    return MAX_DEFERRAL_SECONDS * (MIN_DEFERRAL_SHARE + share * (1.0 - MIN_DEFERRAL_SHARE))


def _contents_of(crashes: list[Crash]) -> list[str]:
    """Returns the contents for a log line, as many as it may name."""
    return [crash.content for crash in crashes[:MAX_LOGGED_CONTENTS]]
