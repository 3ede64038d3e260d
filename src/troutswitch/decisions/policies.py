"""Names of the policies in force. docs/OPERATIONS.md describes each."""

from dataclasses import dataclass, field

PLACES = ("coordinators", "own_counts")
"""Ways to assign a slot to an online request."""
QUOTAS = ("asked", "leased", "equal_shares")
"""Ways to keep quotas over all daemons."""


@dataclass(frozen=True, slots=True)
class BatchPolicies:
    """Policies for batch items: their order, and their slots beside online requests."""

    items: str = "most_in_time"
    room: str = "slots"


@dataclass(frozen=True, slots=True)
class Policies:
    """All policies of a daemon.

    `places` says who assigns a slot to an online request: `coordinators`, or each daemon from
    its `own_counts`, which are its own requests and the coordinators' last digests. `quota` says
    how the quotas of tenants are kept over all daemons.
    """

    places: str = "coordinators"
    placement: str = "prefix_shortest"
    admission: str = "hold_late"
    batch: BatchPolicies = field(default_factory=BatchPolicies)
    quota: str = "asked"
