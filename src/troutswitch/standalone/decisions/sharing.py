"""Policies that divide an engine's slots between batch and online work."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from troutswitch.standalone.decisions.configuration.keys import BatchPolicyName, ServingPolicy

ONLINE_PRIORITY = 0
"""Engine priority of online requests; a lower value runs first."""
BATCH_PRIORITY = 10
"""Engine priority of batch items that must wait for online requests."""


@dataclass(frozen=True, slots=True)
class EngineUse:
    """A steward's view of the use of its engine.

    Attributes:
        slots: Sequences that the engine can run concurrently.
        online_now: Online requests on the engine now, as far as known.
        online_peak: Maximum online requests on the engine over the last window.
    """

    slots: int
    online_now: int
    online_peak: int


class SharingPolicy(ABC):
    """Determines how many batch items an engine may run, and at which priority."""

    priority = BATCH_PRIORITY

    @abstractmethod
    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns the number of batch items that the engine may run now."""


class NoBatch(SharingPolicy):
    """Runs no batch work; the reference for measuring harm to online requests."""

    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns 0."""
        return 0


class FirstCome(SharingPolicy):
    """Batch uses every slot at the priority of online requests; a baseline."""

    priority = ONLINE_PRIORITY

    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns all slots."""
        return use.slots


class EnginePriority(SharingPolicy):
    """Batch uses every slot; only the engine's priority queue favours online; a baseline."""

    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns all slots."""
        return use.slots


class FixedShare(SharingPolicy):
    """Batch uses a fixed share of the slots; a baseline."""

    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns the configured share of the slots."""
        return int(use.slots * policy.batch_fixed_share)


class Stewarded(SharingPolicy):
    """Batch uses the slots that online does not, less a reserve for the next burst."""

    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns the slots that remain after the online peak and the reserve."""
        reserve = max(1, round(use.slots * policy.batch_reserve_share))
        available = use.slots - max(use.online_now, use.online_peak) - reserve
        return max(0, min(available, policy.batch_slots_most))


SHARING_POLICIES: dict[BatchPolicyName, SharingPolicy] = {
    "none": NoBatch(),
    "first_come": FirstCome(),
    "engine_priority": EnginePriority(),
    "fixed_share": FixedShare(),
    "stewarded": Stewarded(),
}
