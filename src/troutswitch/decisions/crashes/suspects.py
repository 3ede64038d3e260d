"""Refuses requests under which engines crashed.

Combines `engine_crashes` (whether an engine crashed), `record` and `causes` (which request is the
cause) and `shared` (announces crashes to all daemons). Owns the set of refused contents, which
`forwarding` and `jobs` obey, and the log lines about it.

A refused request is answered 503 with a time to retry while it is deferred, and until
`RETRACTION_WINDOW_SECONDS` after its last crash, because other daemons may still report evidence
that clears it. After that it is answered 400, which a well-behaved client does not retry.

A request is cleared when an engine runs it to its end. A crash is retracted when the engine answers
a request that was sent after the crash was reported.

Crashes also count under the parts of prompts that the requests on an engine shared with others
(`part_suspects`, `part_causes`). A request with a refused part is answered 503.

`now` is by this process's clock, in seconds; `now + clock_offset` is the time of day.
"""

import random
from collections.abc import Callable, Iterable

from troutswitch.common import Address, stable_hash
from troutswitch.daemons.messages import CrashReport
from troutswitch.decisions.crashes.causes import MAX_DEFERRAL_SECONDS, RequestCauses
from troutswitch.decisions.crashes.content import is_part_key
from troutswitch.decisions.crashes.engine_crashes import EngineCrashes
from troutswitch.decisions.crashes.messages import (
    TRIAL_PREFIX,
    CheckEngine,
    Crash,
    EngineChecked,
    Trial,
)
from troutswitch.decisions.crashes.part_causes import PartCauses
from troutswitch.decisions.crashes.part_suspects import (
    ANNOUNCEMENT_DELAY_SECONDS,
    PENDING_SECONDS,
    PartSuspects,
)
from troutswitch.decisions.crashes.record import CrashRecord
from troutswitch.decisions.crashes.shared import SharedCrashes
from troutswitch.decisions.crashes.trials import TrialHistory
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.messages import StoreCall, StoreOutcome
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.outcomes import NotRun, Step

CRASHES_TO_AWAIT_REPORT = 2
"""Crashes after which a request's next attempt waits until its last engine was checked. Without it,
a retry would be sent before a crash is detected."""
RETRACTION_WINDOW_SECONDS = 1.0
"""Time after the last crash for which a refused caller is told to retry, because other daemons may
still report evidence that clears the request."""
MIN_DEFERRAL_SHARE = 0.5
"""Minimum time for which a daemon defers a request, as a share of `MAX_DEFERRAL_SECONDS`. Each
daemon has its own time: if all admitted a cause at the same moment, its callers would send it to
several engines before its next crash is known."""
DEFERRAL_SALT = "held"
"""Salt of the hash of daemon names; a change would change the deferral times."""
EXPIRY_CHECK_INTERVAL_SECONDS = 5.0
"""Interval between checks for expired crashes."""
MAX_CRASHED_ENGINES = 4096
"""Maximum number of engine incarnations remembered as crashed."""
MAX_LOGGED_CONTENTS = 24
"""Maximum number of requests in one log line: as many as two engines have slots."""
PART_RETRY_SECONDS = 10.0
"""`Retry-After` of a request with a refused part: longer than engines take to return."""
NON_RETRYABLE_STATUS = 400
"""HTTP status after which a well-behaved client does not retry."""

CrashInstruction = CheckEngine | StoreCall | SendToPeers


class CrashSuspects:
    """Requests that were on engines when the engines crashed.

    Daemons that know the same crashes find the same causes, in whichever order they learnt of the
    crashes. Only the time for which a request is deferred differs between daemons.

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
        """Number of times that the set of refused contents changed."""
        self._name = name
        self._emit = emit
        self._log = log
        self._engine_crashes = EngineCrashes(engines, emit)
        self._record = CrashRecord(RequestCauses(_deferral_seconds(name)))
        self._part_record = CrashRecord(PartCauses())
        self._trials = TrialHistory(self._record, self._part_record)
        self._part_suspects = PartSuspects()
        self._announcement_checked_at = float("-inf")
        self._shared = SharedCrashes(name, numbers, rng, peers, self._apply, log)
        self._crashed_at: dict[str, float] = {}
        """When this daemon learnt that an engine incarnation had crashed, by its own clock."""
        self._lost_trials: dict[str, list[Crash]] = {}
        """Trials whose answers were lost, by engine, until it is known whether it crashed."""
        self._expiry_checked_at = float("-inf")
        self._refused: frozenset[str] = frozenset()

    # Queries.

    @property
    def refused(self) -> frozenset[str]:
        """The keys of the requests, including deferred ones, and of the parts that are refused."""
        return self._refused

    @property
    def count(self) -> int:
        """Number of requests and parts on record."""
        return len(self._record) + len(self._part_record)

    def _record_of(self, key: str) -> CrashRecord:
        """Returns the record that counts a key."""
        return self._part_record if is_part_key(key) else self._record

    def awaits_crash_report(self, keys: Iterable[str]) -> bool:
        """Returns whether a request's next attempt must wait for the check of its last engine."""
        return any(self._record_of(key).crash_count(key) >= CRASHES_TO_AWAIT_REPORT for key in keys)

    def crash_count(self, key: str) -> int:
        """Returns how many engine incarnations are known to have crashed under a key."""
        return self._record_of(key).crash_count(key)

    def failed_trials(self, key: str) -> int:
        """Returns how many trials of a refused request crashed their engines."""
        return self._trials.failed_trials(self._record_of(key), key)

    def may_retry(self, now: float, key: str, pause: float) -> bool:
        """Returns whether a refused request may be attempted once more; see `Suspects`."""
        return now + self.clock_offset >= self._record_of(key).last_crash_at(key) + pause

    def refusal(self, now: float, key: str) -> NotRun:
        """Returns the outcome for a request with a refused key that was not run in this attempt.

        Which part crashes engines is inferred from different requests, so that the caller of a
        request with a refused part is told to retry later.
        """
        if is_part_key(key):
            crashes = self._part_record.crash_count(key)
            reason = f"{crashes} servers ended under requests with a part of this one"
            return NotRun(reason, Step.ADMIT, "", PART_RETRY_SECONDS)
        time_of_day = now + self.clock_offset
        last_crash_at = self._record.last_crash_at(key)
        reason = f"{self._record.crash_count(key)} servers ended under this request"
        if key in self._record.deferred:
            over_at = last_crash_at + self._record.deferral_seconds
            wait = max(RETRACTION_WINDOW_SECONDS, over_at - now - self.clock_offset)
            return NotRun(f"{reason}, or another", Step.ADMIT, "", wait)
        if time_of_day < last_crash_at + RETRACTION_WINDOW_SECONDS:
            return NotRun(reason, Step.ADMIT, "", RETRACTION_WINDOW_SECONDS)
        return NotRun(reason, Step.ADMIT, "", None, NON_RETRYABLE_STATUS)

    # Evidence from requests and the engine list.

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
        """Records that an attempt's answer was lost; see `Suspects`."""
        if trial:
            self._lost_trials.setdefault(engine_id, []).extend(trial)
            if len(self._lost_trials) > MAX_CRASHED_ENGINES:
                del self._lost_trials[next(iter(self._lost_trials))]
        self._part_suspects.on_lost(now, parts, engine_id)
        self._engine_crashes.on_lost(now, path, engine_id, is_silent=True)
        self._engine_crashes.on_lost(now, content, engine_id, is_silent)

    def on_checked(self, now: float, event: EngineChecked) -> None:
        """Handles the result of the check of an engine whose answer was lost."""
        crashes = self._engine_crashes.on_checked(event)
        self._log(
            "engine checked",
            engine=event.engine_id,
            found=event.result,
            contents=_contents_of(crashes),
        )
        self._on_crashes(now, crashes)

    def on_list(self, now: float) -> None:
        """Handles a new list of engines."""
        crashes = self._engine_crashes.on_list()
        for crash in crashes:
            self._log("silent engine gone", engine=crash.engine_id, contents=[crash.content])
        self._on_crashes(now, crashes)

    def _on_crashes(self, now: float, crashes: list[Crash]) -> None:
        at = now + self.clock_offset
        for crash in crashes:
            if self._apply(now, crash, at, True):
                self._shared.publish(now, crash, at, True)
        for engine_id in {crash.engine_id: None for crash in crashes}:
            self._part_suspects.on_crashed(now, engine_id)
            self._fail_trials(now, engine_id)

    def _fail_trials(self, now: float, engine_id: str) -> None:
        """Replaces the trials that ran on a crashed engine by its crash.

        Parts of prompts are tried again sooner than their suspects are announced.
        """
        trial = tuple(self._lost_trials.pop(engine_id, ()))
        at = now + self.clock_offset
        for begun in trial:
            crash = Crash(begun.content, engine_id)
            if self._apply(now, crash, at, True):
                self._shared.publish(now, crash, at, True)
        self.end_trial(now, trial)

    def _announce_parts(self, now: float) -> None:
        """Announces the parts that may have caused crashes, once enough engines crashed."""
        if now < self._part_suspects.next_due():
            return
        self._announcement_checked_at = now
        at = now + self.clock_offset
        unexplained = self._record.engine_count(at - PENDING_SECONDS)
        for crash in self._part_suspects.take_announced(now, unexplained):
            if self._apply(now, crash, at, True):
                self._shared.publish(now, crash, at, True)

    def on_served(self, now: float, content: str, parts: Iterable[str] = ()) -> None:
        """Clears a request that an engine ran to its end, and its parts: they crash no engine."""
        keys = (content, *parts)
        self._part_suspects.on_served(now, keys[1:])
        for key in keys:
            record = self._record_of(key)
            if record.crash_count(key):
                self._retract(now, record.crashes_of_content(key), "served")

    def on_answered(self, now: float, engine_id: str, sent_at: float) -> None:
        """Retracts an engine's crash if the engine answers an attempt sent after it was known.

        Guards against a daemon whose connections the network refuses or resets: it considers all
        its engines crashed, under all its requests.
        """
        if self._engine_crashes.on_answered(engine_id, sent_at):
            self.end_trial(now, tuple(self._lost_trials.pop(engine_id, ())))
        if sent_at > self._crashed_at.get(engine_id, float("inf")):
            del self._crashed_at[engine_id]
            self._part_suspects.on_alive(engine_id)
            self._trials.on_alive(engine_id)
            crashes = self._record.crashes_of_engine(engine_id)
            crashes += self._part_record.crashes_of_engine(engine_id)
            self._retract(now, crashes, "engine lives")

    # Trials.

    def begin_trial(self, now: float, keys: Iterable[str]) -> Trial:
        """Records that a refused request is attempted once more; see `Suspects`."""
        at = now + self.clock_offset
        trial_id = f"{TRIAL_PREFIX}{self._name}:{round(at * 1000)}"
        trial = tuple(Crash(key, trial_id) for key in keys)
        for crash in trial:
            self._apply(now, crash, at, True)
            self._shared.publish(now, crash, at, True)
        return trial

    def end_trial(self, now: float, trial: Trial) -> None:
        """Records that a trial ended without a crash, or that its crash is on record."""
        self._retract(now, list(trial), "trial ended")

    # The record.

    def _retract(self, now: float, crashes: list[Crash], reason: str) -> None:
        if crashes:
            self._log("crashes retracted", reason=reason, count=len(crashes))
        for crash in crashes:
            self._apply(now, crash, 0.0, False)
            self._shared.publish(now, crash, 0.0, False)

    def _apply(self, now: float, crash: Crash, at: float, is_valid: bool) -> bool:
        """Adds a crash, or removes a retracted one; returns whether the record changed."""
        time_of_day = now + self.clock_offset
        record = self._record_of(crash.content)
        if not is_valid:
            was_unknown = record.remove(time_of_day, crash)
        elif record.is_expired(time_of_day, at):
            self._shared.forget(now, crash)
            return False
        elif self._part_suspects.was_served(now, crash.content):
            self._clear_served(now, crash)
            return False
        else:
            was_unknown = record.add(time_of_day, crash, at)
            self._remember_crashed(now, crash.engine_id)
            self._trials.on_crashed(crash.engine_id, min(at, time_of_day))
        self._update_refused()
        return was_unknown

    def _clear_served(self, now: float, crash: Crash) -> None:
        """Retracts the crash of a part of which a request was completed here recently."""
        if not self._shared.is_retracted(crash):
            self._shared.publish(now, crash, 0.0, False)

    def _remember_crashed(self, now: float, engine_id: str) -> None:
        self._crashed_at.setdefault(engine_id, now)
        if len(self._crashed_at) > MAX_CRASHED_ENGINES:
            del self._crashed_at[next(iter(self._crashed_at))]

    def _update_refused(self) -> None:
        self._trials.on_changed()
        refused = self._record.refused | self._record.deferred | self._part_record.refused
        before, self._refused = self._refused, refused
        if self._refused == before:
            return
        self.changes += 1
        for content in sorted(self._refused - before):
            self._log(
                "request refused from now on",
                content=content,
                engines=[c.engine_id for c in self._record_of(content).crashes_of_content(content)],
                is_deferred=content in self._record.deferred,
            )
        for content in sorted(before - self._refused):
            self._log("request no longer refused", content=content)

    # Peers and the store.

    def on_report(self, now: float, report: CrashReport) -> None:
        """Applies a peer's report of crashes."""
        self._shared.on_report(now, report)

    def owns(self, call: int) -> bool:
        """Returns whether a store call was made here."""
        return self._shared.owns(call)

    def on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a store call."""
        self._shared.on_store(now, call, outcome)

    def read_again(self, now: float) -> None:
        """Reads again, as others may have written while this process was suspended."""
        self._shared.follower.read_again(now)

    def set_min_interval(self, seconds: float) -> None:
        """Sets the minimum time between reads of the store, in seconds, for a large fleet."""
        self._shared.follower.min_interval = seconds

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(
            self._engine_crashes.next_due(),
            self._shared.next_due(),
            self._expiry_due(),
            self._announcement_due(),
        )

    def _announcement_due(self) -> float:
        """Returns when suspected parts are checked next; checks are repeated while they wait."""
        due = self._part_suspects.next_due()
        return max(due, self._announcement_checked_at + ANNOUNCEMENT_DELAY_SECONDS)

    def _expiry_due(self) -> float:
        """Returns when expired crashes are next removed, or the next deferral ends."""
        check_at = (
            self._expiry_checked_at + EXPIRY_CHECK_INTERVAL_SECONDS if self.count else float("inf")
        )
        return min(check_at, self._record.next_deferral_end() - self.clock_offset)

    def on_timer(self, now: float) -> None:
        """Removes expired crashes, and emits the calls and reports that are due."""
        self._engine_crashes.on_timer(now)
        self._announce_parts(now)
        if self.count and now >= self._expiry_due():
            self._expire(now)
        for instruction in self._shared.on_timer(now, self.count > 0):
            self._emit(instruction)

    def _expire(self, now: float) -> None:
        self._expiry_checked_at = now
        time_of_day = now + self.clock_offset
        for crash in self._record.expire(time_of_day) + self._part_record.expire(time_of_day):
            self._shared.forget(now, crash)
        self._update_refused()


def _deferral_seconds(name: str) -> float:
    """Returns for how long a daemon defers requests, derived from its name."""
    share = (stable_hash(DEFERRAL_SALT, name) % 1000) / 1000
    return MAX_DEFERRAL_SECONDS * (MIN_DEFERRAL_SHARE + share * (1.0 - MIN_DEFERRAL_SHARE))


def _contents_of(crashes: list[Crash]) -> list[str]:
    """Returns the contents to be logged, at most `MAX_LOGGED_CONTENTS`."""
    return [crash.content for crash in crashes[:MAX_LOGGED_CONTENTS]]
