"""An online answer that was delivered in part outlasts engines that are full for a moment.

The rejections are no work done twice, and nothing but a cut can follow them: they count neither
as attempts nor against the retry budget while time is left.
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


class OnlineWorld:
    """Online requests of one daemon before engines that are all known as fresh."""

    def __init__(self, engines: int, attempts_most: int) -> None:
        membership = Membership(
            "me", INCARNATION_STEP, Address("10.0.0.1", 1), "z", random.Random(1)
        )
        self.engines = EngineRegistry(membership)
        self.names = [f"e{number}" for number in range(engines)]
        machines = [
            Machine(name, "engine", Address("10.0.0.2", 1 + at), "z", SERVICE, f"{name}-1")
            for at, name in enumerate(self.names)
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
    def directive(effects: Sequence[Effect]) -> StartOnlineAttempt | FinishOnline | None:
        found = [e for e in effects if isinstance(e, StartOnlineAttempt | FinishOnline)]
        return found[0] if found else None

    def end(
        self, now: float, started: StartOnlineAttempt, kind: AttemptOutcome
    ) -> StartOnlineAttempt | FinishOnline | None:
        """Ends an attempt, and plays on to what follows."""
        event = OnlineAttemptEnded("r", started.attempt_id, kind, 3, "full")
        directive = self.directive(self.requests.on_attempt_ended(now, event))
        while directive is None and now < 1.0:
            now += 0.05
            self.refresh(now)
            directive = self.directive(self.requests.on_timer(now))
        return directive


@pytest.mark.parametrize(("engines", "attempts_most"), [(2, 10), (3, 2), (3, 3)])
def test_rejections_do_not_cut_an_answer_with_time_left(engines: int, attempts_most: int) -> None:
    world = OnlineWorld(engines, attempts_most)
    arrived = OnlineArrived("r", "t", SERVICE, 10, 10, "", DEADLINE)
    directive = world.directive(world.requests.on_arrived(0.0, arrived))
    assert isinstance(directive, StartOnlineAttempt)
    directive = world.end(0.1, directive, AttemptOutcome.CUT)
    now = 0.2
    while isinstance(directive, StartOnlineAttempt) and now < 0.6:
        directive = world.end(now, directive, AttemptOutcome.REFUSED)
        now += 0.02
    assert not isinstance(directive, FinishOnline), f"{directive} after {now:.2f} s"
