"""What a check finds."""

from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.soak.observations import Observations


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise and whom it struck."""

    promise: str
    subject: str
    what: str


Check = Callable[[Observations], list[Violation]]
