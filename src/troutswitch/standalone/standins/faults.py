"""Misbehaviour of the stand-ins, switched over HTTP."""

import random
import threading
import time
from dataclasses import dataclass

import msgspec


class FaultPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a stand-in misbehaves until told otherwise.

    Attributes:
        down: answers 503 and does nothing.
        delay_seconds: waits this long before each answer.
        lose_answers: share of calls that take effect but are answered 500.
        pause: holds every call until switched off.
        cut_after_tokens: an engine cuts each stream after this many tokens; 0 for never.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_answers: float = 0.0
    pause: bool = False
    cut_after_tokens: int = 0


@dataclass(frozen=True)
class CallFaults:
    """What is to happen to one call."""

    is_refused: bool
    loses_answer: bool


class FaultSwitch:
    """The plan in force, shared by a stand-in's threads."""

    def __init__(self, seed: int = 0) -> None:
        self.plan = FaultPlan()
        self._random = random.Random(seed)
        self._resumed = threading.Event()
        self._resumed.set()

    def set(self, plan: FaultPlan) -> None:
        """Puts a plan in force."""
        self.plan = plan
        if plan.pause:
            self._resumed.clear()
        else:
            self._resumed.set()

    def before_call(self) -> CallFaults:
        """Waits as the plan says and tells what is to happen to the call."""
        self._resumed.wait()
        plan = self.plan
        if plan.delay_seconds > 0:
            time.sleep(plan.delay_seconds)
        return CallFaults(plan.down, self._random.random() < plan.lose_answers)
