"""A request that may have run waits for capacity until its deadline; others are refused.

Guards against a stream that is closed seconds before its deadline: its engine failed midway,
the other engines rejected the request as full, and the daemon ended it as soon as no engine
was left to try. A partly delivered request can only be cut, and full engines have capacity
again shortly after. The tests cover each path to that premature end.
"""

import random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from troutswitch.common import Address
from troutswitch.outcomes import AttemptOutcome, Cut, NotRun
from troutswitch.standalone.decisions.configuration.keys import ServingPolicy
from troutswitch.standalone.decisions.effects import FinishOnline, StartOnlineAttempt
from troutswitch.standalone.decisions.engines import EngineRegistry
from troutswitch.standalone.decisions.events import (
    EngineLoad,
    EngineLoadRead,
    Machine,
    OnlineArrived,
    OnlineAttemptEnded,
)
from troutswitch.standalone.decisions.members import INCARNATION_STEP
from troutswitch.standalone.decisions.membership import Membership
from troutswitch.standalone.decisions.online import OnlineRequests

START_SECONDS = 100.0
DEADLINE_SECONDS = 110.0
MAX_WAIT_SECONDS = 1.0


class OnlineFixture:
    """Online requests of one daemon whose engines are always fresh."""

    def __init__(self, engines: int) -> None:
        membership = Membership(
            "me", INCARNATION_STEP, Address("10.0.0.1", 1), "z", random.Random(1)
        )
        self.engines = EngineRegistry(membership)
        machines = [
            Machine(f"e{n}", "engine", Address("10.0.0.2", n + 1), "z", "m", f"e{n}-1")
            for n in range(engines)
        ]
        self.engines.on_machine_list(START_SECONDS, machines)
        configuration = SimpleNamespace(
            is_ready=True, policy=lambda service, tenant: ServingPolicy(attempts_most=3)
        )
        self.requests = OnlineRequests(
            membership,
            cast(Any, configuration),
            self.engines,
            random.Random(1),
            lambda now, event, policy: [],
            lambda name: None,
        )
        self.now = START_SECONDS

    def refresh(self) -> None:
        for name, engine in self.engines.engines.items():
            self.engines.poll(self.now, engine)
            load = EngineLoad(f"{name}-1", 8, 0, 0, 0, 0)
            self.engines.on_load(self.now, EngineLoadRead(name, load))

    def arrive(self) -> object:
        self.refresh()
        event = OnlineArrived("r", "t", "m", 10, 10, "", DEADLINE_SECONDS)
        return self.next_effect(self.requests.on_arrived(self.now, event))

    def end(self, started: object, kind: AttemptOutcome, position: int = 0) -> object:
        """Ends an attempt and returns the next effect within `MAX_WAIT_SECONDS`, or None."""
        assert isinstance(started, StartOnlineAttempt), started
        self.now += 0.01
        ended = OnlineAttemptEnded("r", started.attempt_id, kind, position)
        return self.next_effect(self.requests.on_attempt_ended(self.now, ended)) or self.wait()

    def wait(self) -> object:
        end = self.now + MAX_WAIT_SECONDS
        while self.now < end:
            self.now = max(self.now + 0.001, min(end, self.requests.next_due()))
            self.refresh()
            next_effect = self.next_effect(self.requests.on_timer(self.now))
            if next_effect is not None:
                return next_effect
        return None

    @staticmethod
    def next_effect(effects: list[Any]) -> object:
        found = [e for e in effects if isinstance(e, StartOnlineAttempt | FinishOnline)]
        return found[0] if found else None


@pytest.mark.parametrize("engines", [1, 3])
def test_cut_request_survives_repeated_rejections(engines: int) -> None:
    fixture = OnlineFixture(engines)
    started = fixture.end(fixture.arrive(), AttemptOutcome.CUT, 4)
    for _ in range(12):
        started = fixture.end(started, AttemptOutcome.REFUSED, 4)
    assert isinstance(started, StartOnlineAttempt)
    assert started.position == 4


def test_attempts_that_may_have_run_are_limited() -> None:
    fixture = OnlineFixture(5)
    started = fixture.end(fixture.arrive(), AttemptOutcome.CUT, 1)
    started = fixture.end(started, AttemptOutcome.CUT, 2)
    ended = fixture.end(started, AttemptOutcome.CUT, 3)
    assert isinstance(ended, FinishOnline)
    assert isinstance(ended.outcome, Cut)


def test_cut_request_waits_while_the_retry_budget_is_exhausted() -> None:
    fixture = OnlineFixture(3)
    fixture.requests._budget._credit["m"] = 0.0
    assert fixture.end(fixture.arrive(), AttemptOutcome.CUT, 4) is None
    fixture.requests._budget._credit["m"] = 1.0
    assert isinstance(fixture.wait(), StartOnlineAttempt)


def test_cut_request_ends_at_its_deadline_if_the_retry_budget_stays_exhausted() -> None:
    """Guards against endless wakeups of a request whose deadline is not checked."""
    fixture = OnlineFixture(3)
    fixture.requests._budget._credit["m"] = 0.0
    next_effect = fixture.end(fixture.arrive(), AttemptOutcome.CUT, 4)
    while next_effect is None and fixture.now < DEADLINE_SECONDS + MAX_WAIT_SECONDS:
        next_effect = fixture.wait()
    assert isinstance(next_effect, FinishOnline)
    assert isinstance(next_effect.outcome, Cut)
    assert fixture.now >= DEADLINE_SECONDS


def test_cut_request_ends_at_its_deadline_if_no_engine_has_capacity() -> None:
    fixture = OnlineFixture(1)
    next_effect = fixture.end(fixture.arrive(), AttemptOutcome.CUT, 4)
    while not isinstance(next_effect, FinishOnline):
        next_effect = fixture.end(next_effect, AttemptOutcome.REFUSED, 4) or fixture.wait()
    assert isinstance(next_effect.outcome, Cut)
    assert fixture.now >= DEADLINE_SECONDS


def test_request_that_has_not_run_is_refused_immediately() -> None:
    fixture = OnlineFixture(1)
    ended = fixture.end(fixture.arrive(), AttemptOutcome.REFUSED)
    assert isinstance(ended, FinishOnline)
    assert isinstance(ended.outcome, NotRun)
    assert fixture.now < START_SECONDS + MAX_WAIT_SECONDS
