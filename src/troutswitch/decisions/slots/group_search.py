"""Decides which group is tried next for a request's slot, and which wait is accepted there.

Inputs: the groups of the request's service, from the engine list that this daemon read last; the
waits that coordinators replied during this search, in seconds, each some milliseconds old; the
maximum wait that the request accepts, in seconds.

Rule:

1. At most `MAX_GROUPS_TRIED` groups are tried, one after the other in random order. Groups that
   span zones or are in this daemon's zone come first.
2. While there is another group to try, or another one has been tried before, a group is accepted
   only if its wait is at most `SHORT_WAIT_SECONDS`. If there is only one group, any wait up to the
   request's own limit is accepted.
3. If no group was accepted, the request joins the queue of the group with the shortest wait: that
   group is tried again. If its wait is longer than the request accepts, then or by the time that it
   is tried again, there is no slot in time.

Why: a free slot in another zone is worth one more message of a few milliseconds, but trying every
group would cost more than the wait that it saves. The order is random so that daemons which send
requests at the same time spread over the groups.

Measured: coordinators as a whole, in docs/POLICY.md, "Rounds with coordinators of slots" and
"Ablation". docs/SLOTS.md has the alternatives that were considered.
"""

import random
from dataclasses import dataclass

from troutswitch.decisions.forwarding.placer import PlacementRequest
from troutswitch.decisions.forwarding.wait_estimate import WaitEstimate
from troutswitch.decisions.slots.groups import Group

MAX_GROUPS_TRIED = 3
"""Number of groups that are tried for one request before it joins the shortest queue."""
SHORT_WAIT_SECONDS = 0.02
"""Maximum wait for a slot at which no other group is tried: about the time that a message and its
reply take."""


def groups_in_order(groups: list[Group], zone: str, rng: random.Random) -> list[Group]:
    """Returns the groups to try, in order, for a daemon in `zone`."""
    ordered = list(groups)
    rng.shuffle(ordered)
    ordered.sort(key=lambda group: group.zone not in ("", zone))
    return ordered[:MAX_GROUPS_TRIED]


@dataclass(frozen=True, slots=True)
class _GroupWait:
    """The shortest wait at a group's engines, as its coordinator estimates it."""

    group: Group
    estimate: WaitEstimate


class GroupSearch:
    """The search for one request's slot, group by group."""

    def __init__(self, request: PlacementRequest, groups: list[Group]) -> None:
        self.request = request
        self.group: Group | None = None
        """The group that was tried last."""
        self._groups = list(groups)
        self._shortest: _GroupWait | None = None
        self._joins_queue = False

    def next_group(self) -> Group | None:
        """Moves to the next group and returns it, or None if all groups were tried."""
        if not self._groups:
            return None
        self.group = self._groups.pop(0)
        return self.group

    @property
    def has_alternative(self) -> bool:
        """Whether another group is left to try, or another one with a slot was tried before."""
        return bool(self._groups) or self._shortest is not None

    def max_accepted_wait(self) -> float:
        """Returns the maximum wait to accept in the current group, in seconds."""
        if self._joins_queue or not self.has_alternative:
            return self.request.max_wait
        return min(SHORT_WAIT_SECONDS, self.request.max_wait)

    @property
    def shortest_group(self) -> Group | None:
        """The tried group with the shortest wait."""
        return self._shortest.group if self._shortest is not None else None

    def record_wait(self, group: Group, estimate: WaitEstimate) -> None:
        """Records the wait at a group that was not accepted."""
        if estimate.slots == 0:
            return  # the group has no engine for the request
        if (
            self._joins_queue
            or self._shortest is None
            or estimate.wait < self._shortest.estimate.wait
        ):
            self._shortest = _GroupWait(group, estimate)

    def too_long_wait(self) -> WaitEstimate | None:
        """Returns the shortest replied wait if it is longer than the request accepts, else None."""
        if self._shortest is None:
            return None
        estimate = self._shortest.estimate
        return estimate if estimate.wait > self.request.max_wait else None

    def join_queue(self) -> Group | None:
        """Moves to the group with the shortest wait, whose queue the request joins.

        Returns None if no group has an engine for the request, or if the search has joined a queue
        already.
        """
        if self._shortest is None or self._joins_queue:
            return None
        self._joins_queue = True
        self.group = self._shortest.group
        return self.group
