"""Makes the quota policy that is in force."""

import random
from collections.abc import Callable

from troutswitch.decisions.gateway_messages import GatewayIdentity
from troutswitch.decisions.slots.fleet import FleetSlots
from troutswitch.decisions.tenants.coordinated_quota import CoordinatedQuota
from troutswitch.decisions.tenants.quota import Quota
from troutswitch.decisions.tenants.shares import EqualShares


def make_quota(
    policy: str,
    identity: GatewayIdentity,
    slots: FleetSlots,
    version: Callable[[], int],
    daemons: Callable[[], int],
    emit: Callable[[object], None],
    rng: random.Random,
) -> Quota:
    """Returns the quota of one daemon; `policy` is one of `policies.QUOTAS`."""
    if policy == "equal_shares":
        return EqualShares(daemons)
    return CoordinatedQuota(
        identity.name,
        identity.peer_address,
        identity.quota_bounds,
        slots.groups,
        slots.claims,
        slots.coordinator.coordinated,
        version,
        daemons,
        emit,
        rng,
        leases=policy == "leased",
    )
