"""Names of the configurable policies. docs/OPERATIONS.md describes each of them."""

from dataclasses import dataclass, field

SLOT_ASSIGNMENT_POLICIES = ("coordinators", "own_counts")
"""Policies for assigning a slot to an online request."""
QUOTA_POLICIES = ("asked", "leased", "equal_shares")
"""Policies for enforcing quotas across all daemons. `leased` is the same as `asked`; the name stays
valid for settings that have it."""

DEFAULT_SPEED = "weighted_share"
"""Policy for how the speed of engines counts; `forwarding/engine_cost.py` has them all."""


@dataclass(frozen=True, slots=True)
class BatchPolicies:
    """Policies for batch items: their order, and their share of the slots."""

    item_order: str = "most_in_time"
    capacity: str = "slots"


@dataclass(frozen=True, slots=True)
class Policies:
    """The names of all policies of a daemon.

    `slot_assignment` selects who assigns a slot to an online request: `coordinators`, or each
    daemon from its `own_counts`, which are its own requests and the coordinators' last digests.
    `quota` selects how the quotas of tenants are enforced across all daemons, and `speed` how the
    speed of engines counts, for online requests and batch items.
    """

    slot_assignment: str = "coordinators"
    placement: str = "prefix_shortest"
    admission: str = "hold_late"
    batch: BatchPolicies = field(default_factory=BatchPolicies)
    quota: str = "asked"
    speed: str = DEFAULT_SPEED
