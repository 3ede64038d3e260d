"""Decides which daemon counts a tenant's requests: the coordinator of one group of engines.

Inputs: the groups of this daemon's engine list; the claims of coordinators known here
(`slots/coordinator_claims.py`).

Rule: the group with the highest hash of the group's and the tenant's name.

Why: daemons with the same engine list agree without a message, tenants are spread over the
coordinators, and a silent coordinator is replaced by the same claims as for slots.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from troutswitch.common import stable_hash
from troutswitch.decisions.slots.coordinator_claims import CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups, Group


@dataclass(frozen=True, slots=True)
class QuotaGroups:
    """The groups of engines and their coordinators.

    `coordinated` maps the groups that this daemon coordinates to the time at which it took each
    over, in seconds of its clock. It is a live view of the state of the slot coordinator.
    """

    groups: EngineGroups
    claims: CoordinatorClaims
    coordinated: Mapping[str, float]

    def group_of(self, tenant: str) -> Group | None:
        """Returns the group whose coordinator counts for a tenant, or None if there is no group."""
        groups = self.groups.all()
        return max(groups, key=lambda group: stable_hash(group.name, tenant), default=None)
