"""Creates the quota for a policy. docs/OPERATIONS.md describes the policies."""

import random
from collections.abc import Callable

from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.decisions.slots.messages import SlotInstruction
from troutswitch.decisions.tenants.coordinated_quota import CoordinatedQuota, FleetState
from troutswitch.decisions.tenants.equal_shares import EqualShares
from troutswitch.decisions.tenants.quota import Quota
from troutswitch.decisions.tenants.quota_groups import QuotaGroups
from troutswitch.decisions.tenants.types import QuotaBounds


def make_quota(
    policy: str,
    identity: DaemonIdentity,
    bounds: QuotaBounds,
    groups: QuotaGroups,
    fleet: FleetState,
    emit: Callable[[SlotInstruction], None],
    rng: random.Random,
) -> Quota:
    """Returns the quota of one daemon; `policy` is one of `policies.QUOTA_POLICIES`."""
    if policy == "equal_shares":
        return EqualShares(lambda: fleet.daemons)
    leases = policy == "leased"
    return CoordinatedQuota(identity, bounds, groups, fleet, emit, rng, leases=leases)
