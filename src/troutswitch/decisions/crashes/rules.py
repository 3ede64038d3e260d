"""Interface between the record of crashes and the rules that derive refusals from it.

`causes` implements it for whole requests, `part_causes` for parts of prompts.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol


@dataclass(slots=True)
class RequestCrashes:
    """When each engine incarnation crashed under one key, in seconds since the epoch."""

    crashed_at: dict[str, float] = field(default_factory=dict)

    @property
    def last_crash_at(self) -> float:
        """When the last engine crashed."""
        return max(self.crashed_at.values())


class RefusalRule(Protocol):
    """Decides which keys are refused, by the crashes on record."""

    @property
    def min_crashes(self) -> int:
        """Number of crashes below which a key is neither refused nor deferred."""
        ...

    @property
    def deferral_seconds(self) -> float:
        """Time after its last crash for which a key is deferred."""
        ...

    def refused(self, now: float, by_content: Mapping[str, RequestCrashes]) -> frozenset[str]:
        """Returns the keys that cause crashes."""
        ...

    def deferred(
        self, now: float, by_content: Mapping[str, RequestCrashes], refused: frozenset[str]
    ) -> frozenset[str]:
        """Returns the keys whose crashes others may explain."""
        ...
