"""A request that may have run waits for room until its deadline; one that ran nowhere does not.

What users saw: a stream was closed in the middle, seconds before its deadline.
Order of events: its engine broke off; the next ones rejected it as full; it was ended at once.
Cause: a request ended at the first moment at which no engine was left to try, although one that
was delivered in part can only be cut, and engines that are full have room a moment later.
Evidence: below, each way to that end cut the request long before its deadline.
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
SOON_SECONDS = 1.0


class World:
    """One daemon's online requests before engines that always told their load lately."""

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
        return self.directive(self.requests.on_arrived(self.now, event))

    def end(self, started: object, kind: AttemptOutcome, position: int = 0) -> object:
        """Ends an attempt; lets time pass until the next directive, `SOON_SECONDS` at most."""
        assert isinstance(started, StartOnlineAttempt), started
        self.now += 0.01
        ended = OnlineAttemptEnded("r", started.attempt_id, kind, position)
        return self.directive(self.requests.on_attempt_ended(self.now, ended)) or self.wait()

    def wait(self) -> object:
        until = self.now + SOON_SECONDS
        while self.now < until:
            self.now = max(self.now + 0.001, min(until, self.requests.next_due()))
            self.refresh()
            directive = self.directive(self.requests.on_timer(self.now))
            if directive is not None:
                return directive
        return None

    @staticmethod
    def directive(effects: list[Any]) -> object:
        found = [e for e in effects if isinstance(e, StartOnlineAttempt | FinishOnline)]
        return found[0] if found else None


@pytest.mark.parametrize("engines", [1, 3])
def test_a_cut_request_outlasts_engines_that_reject_it(engines: int) -> None:
    world = World(engines)
    started = world.end(world.arrive(), AttemptOutcome.CUT, 4)
    for _ in range(12):
        started = world.end(started, AttemptOutcome.REFUSED, 4)
    assert isinstance(started, StartOnlineAttempt)
    assert started.position == 4


def test_attempts_that_may_have_run_are_bounded() -> None:
    world = World(5)
    started = world.end(world.arrive(), AttemptOutcome.CUT, 1)
    started = world.end(started, AttemptOutcome.CUT, 2)
    ended = world.end(started, AttemptOutcome.CUT, 3)
    assert isinstance(ended, FinishOnline)
    assert isinstance(ended.outcome, Cut)


def test_a_spent_retry_budget_makes_a_cut_request_wait() -> None:
    world = World(3)
    world.requests._budget._credit["m"] = 0.0
    assert world.end(world.arrive(), AttemptOutcome.CUT, 4) is None
    world.requests._budget._credit["m"] = 1.0
    assert isinstance(world.wait(), StartOnlineAttempt)


def test_with_a_budget_that_stays_spent_a_cut_request_ends_at_its_deadline() -> None:
    """Without a look at the deadline the daemon's loop woke it again and again, for ever."""
    world = World(3)
    world.requests._budget._credit["m"] = 0.0
    directive = world.end(world.arrive(), AttemptOutcome.CUT, 4)
    while directive is None and world.now < DEADLINE_SECONDS + SOON_SECONDS:
        directive = world.wait()
    assert isinstance(directive, FinishOnline)
    assert isinstance(directive.outcome, Cut)
    assert world.now >= DEADLINE_SECONDS


def test_without_room_a_cut_request_ends_at_its_deadline() -> None:
    world = World(1)
    directive = world.end(world.arrive(), AttemptOutcome.CUT, 4)
    while not isinstance(directive, FinishOnline):
        directive = world.end(directive, AttemptOutcome.REFUSED, 4) or world.wait()
    assert isinstance(directive.outcome, Cut)
    assert world.now >= DEADLINE_SECONDS


def test_a_request_that_ran_nowhere_is_refused_at_once() -> None:
    world = World(1)
    ended = world.end(world.arrive(), AttemptOutcome.REFUSED)
    assert isinstance(ended, FinishOnline)
    assert isinstance(ended.outcome, NotRun)
    assert world.now < START_SECONDS + SOON_SECONDS
