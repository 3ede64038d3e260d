"""Names of the policies in force. docs/OPERATIONS.md tells what each does."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class BatchPolicies:
    """Policies for batch items: their order, and their room beside online requests."""

    items: str = "most_in_time"
    room: str = "slots"


@dataclass(frozen=True, slots=True)
class Policies:
    """All policies of a daemon."""

    placement: str = "prefix_shortest"
    admission: str = "defer_late"
    batch: BatchPolicies = field(default_factory=BatchPolicies)
