"""Decides which daemon counts a tenant's requests: the coordinator of one group of engines.

Inputs: the groups of this daemon's engine list; the claims of coordinators known here
(`slots/coordinator_claims.py`).

Rule: of all groups, the one with the highest hash of its name and the tenant's.

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
    """The groups of engines, and who coordinates them.

    `coordinated` has the groups that this daemon coordinates, with when it took each over, in
    seconds of its clock; it changes as the decisions on slots change it.
    """

    groups: EngineGroups
    claims: CoordinatorClaims
    coordinated: Mapping[str, float]

    def group_of(self, tenant: str) -> Group | None:
        """Returns the group whose coordinator counts for a tenant; None without any group."""
        groups = self.groups.all()
        return max(groups, key=lambda group: stable_hash(group.name, tenant), default=None)
