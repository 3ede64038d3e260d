"""Decides which daemon counts a tenant's requests: the coordinator of one of a few quota groups.

Rule: a hash of the tenant's name selects one of `QUOTA_GROUP_COUNT` groups.

Why: the groups don't depend on the engine list or the configuration, so that daemons whose lists
differ still ask the same coordinator. Tenants are spread over the coordinators, which are claimed
and replaced like those of slots (`slots/coordinator_claims.py`).
"""

from troutswitch.common import stable_hash
from troutswitch.decisions.slots.groups import Group

QUOTA_GROUP_COUNT = 3
"""Number of quota groups. All daemons must have the same number: a change of it moves tenants to
coordinators that don't know each other."""
QUOTA_GROUPS = tuple(Group("#quota", "", number) for number in range(QUOTA_GROUP_COUNT))
"""The quota groups. No service has a name that begins with `#`."""


def group_of(tenant: str) -> str:
    """Returns the name of the group whose coordinator counts for a tenant."""
    return QUOTA_GROUPS[stable_hash("quota", tenant) % QUOTA_GROUP_COUNT].name
