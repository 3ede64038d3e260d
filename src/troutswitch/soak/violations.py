"""Violations of promises, and the type of the checks that find them."""

from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.soak.observations import Observations


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise.

    Attributes:
        promise: name of the promise, such as TWICE.
        subject: id of the request, item, job or process that is affected.
        what: what was observed.
    """

    promise: str
    subject: str
    what: str


Check = Callable[[Observations], list[Violation]]
"""A function that returns the violations which it finds in the observations."""
