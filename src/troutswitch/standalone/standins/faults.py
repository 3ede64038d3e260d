"""Faults of the stand-ins, set over HTTP."""

import random
import threading
import time
from dataclasses import dataclass

import msgspec


class FaultPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a stand-in, in force until the next plan is set.

    Attributes:
        down: every call is answered 503 and has no effect.
        delay_seconds: delay before each call is handled.
        lose_answers: share of calls that take effect but are answered 500.
        pause: every call blocks until a plan without `pause` is set.
        cut_after_tokens: an engine cuts each stream after this many tokens; 0 disables it.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: float = 0.0
    pause: bool = False
    cut_after_tokens: int = 0


@dataclass(frozen=True)
class CallFaults:
    """Faults that apply to one call."""

    is_refused: bool
    loses_answer: bool


class FaultSwitch:
    """The fault plan in force, shared by a stand-in's threads."""

    def __init__(self, seed: int = 0) -> None:
        self.plan = FaultPlan()
        self._random = random.Random(seed)
        self._resumed = threading.Event()
        self._resumed.set()

    def set(self, plan: FaultPlan) -> None:
        """Sets the fault plan and resumes paused calls if it does not pause."""
        self.plan = plan
        if plan.pause:
            self._resumed.clear()
        else:
            self._resumed.set()

    def before_call(self) -> CallFaults:
        """Waits as long as the plan demands and returns the faults of the call."""
        self._resumed.wait()
        plan = self.plan
        if plan.delay_seconds > 0:
            time.sleep(plan.delay_seconds)
        return CallFaults(plan.down, self._random.random() < plan.lose_answers)
