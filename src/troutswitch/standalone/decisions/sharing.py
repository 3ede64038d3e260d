"""Policies by which batch work shares an engine with online work."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from troutswitch.standalone.decisions.configuration.keys import BatchPolicyName, ServingPolicy

ONLINE_PRIORITY = 0
"""Engine priority of online requests; lower runs first."""
BATCH_PRIORITY = 10
"""Engine priority of batch items that must wait for online requests."""


@dataclass(frozen=True, slots=True)
class EngineUse:
    """What a steward knows of its engine.

    Attributes:
        slots: sequences that the engine runs at once.
        online_now: online requests on it at this moment, as far as known.
        online_peak: most online requests on it over the last window.
    """

    slots: int
    online_now: int
    online_peak: int


class SharingPolicy(ABC):
    """Says how many batch items an engine may hold, and at which priority."""

    priority = BATCH_PRIORITY

    @abstractmethod
    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns the batch items that the engine may hold now."""


class NoBatch(SharingPolicy):
    """No batch work at all; the yardstick for harm."""

    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns 0."""
        return 0


class FirstCome(SharingPolicy):
    """Batch fills every slot and competes as an equal; a baseline."""

    priority = ONLINE_PRIORITY

    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns all slots."""
        return use.slots


class EnginePriority(SharingPolicy):
    """Batch fills every slot; only the engine's queue order favours online; a baseline."""

    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns all slots."""
        return use.slots


class FixedShare(SharingPolicy):
    """Batch has a fixed share of the slots; a baseline."""

    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns the configured share of the slots."""
        return int(use.slots * policy.batch_fixed_share)


class Stewarded(SharingPolicy):
    """Batch fills what online leaves, less a reserve for the next burst."""

    def batch_slots(self, use: EngineUse, policy: ServingPolicy) -> int:
        """Returns the slots above the online peak and the reserve."""
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
