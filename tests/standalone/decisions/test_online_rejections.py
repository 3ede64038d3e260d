"""A partly delivered online answer survives rejections by engines that are full briefly.

A rejection repeats no work, and ending the request would cut its answer. Until the deadline,
rejections therefore count neither as attempts nor against the retry budget.
"""

import random
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import pytest

from troutswitch.common import Address
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.decisions.configuration.keys import ServingPolicy
from troutswitch.standalone.decisions.effects import Effect, FinishOnline, StartOnlineAttempt
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

SERVICE = "m"
DEADLINE = 5.0


class OnlineFixture:
    """Online requests of one daemon whose engines are all fresh."""

    def __init__(self, engines: int, attempts_most: int) -> None:
        membership = Membership(
            "me", INCARNATION_STEP, Address("10.0.0.1", 1), "z", random.Random(1)
        )
        self.engines = EngineRegistry(membership)
        self.names = [f"e{number}" for number in range(engines)]
        machines = [
            Machine(name, "engine", Address("10.0.0.2", 1 + index), "z", SERVICE, f"{name}-1")
            for index, name in enumerate(self.names)
        ]
        self.engines.on_machine_list(0.0, machines)
        policy = ServingPolicy(attempts_most=attempts_most)
        configuration: Any = SimpleNamespace(is_ready=True, policy=lambda service, tenant: policy)
        self.requests = OnlineRequests(
            membership,
            configuration,
            self.engines,
            random.Random(1),
            lambda now, event, policy: [],
            lambda name: None,
        )
        self.refresh(0.0)

    def refresh(self, now: float) -> None:
        for name in self.names:
            self.engines.poll(now, self.engines.engines[name])
            load = EngineLoad(f"{name}-1", 8, 0, 0, 0, 0)
            self.engines.on_load(now, EngineLoadRead(name, load))

    @staticmethod
    def next_effect(effects: Sequence[Effect]) -> StartOnlineAttempt | FinishOnline | None:
        found = [e for e in effects if isinstance(e, StartOnlineAttempt | FinishOnline)]
        return found[0] if found else None

    def end(
        self, now: float, started: StartOnlineAttempt, kind: AttemptOutcome
    ) -> StartOnlineAttempt | FinishOnline | None:
        """Ends an attempt and returns the next effect, advancing time to at most 1 s."""
        event = OnlineAttemptEnded("r", started.attempt_id, kind, 3, "full")
        next_effect = self.next_effect(self.requests.on_attempt_ended(now, event))
        while next_effect is None and now < 1.0:
            now += 0.05
            self.refresh(now)
            next_effect = self.next_effect(self.requests.on_timer(now))
        return next_effect


@pytest.mark.parametrize(("engines", "attempts_most"), [(2, 10), (3, 2), (3, 3)])
def test_rejections_before_the_deadline_do_not_cut_an_answer(
    engines: int, attempts_most: int
) -> None:
    fixture = OnlineFixture(engines, attempts_most)
    arrived = OnlineArrived("r", "t", SERVICE, 10, 10, "", DEADLINE)
    next_effect = fixture.next_effect(fixture.requests.on_arrived(0.0, arrived))
    assert isinstance(next_effect, StartOnlineAttempt)
    next_effect = fixture.end(0.1, next_effect, AttemptOutcome.CUT)
    now = 0.2
    while isinstance(next_effect, StartOnlineAttempt) and now < 0.6:
        next_effect = fixture.end(now, next_effect, AttemptOutcome.REFUSED)
        now += 0.02
    assert not isinstance(next_effect, FinishOnline), f"{next_effect} after {now:.2f} s"
