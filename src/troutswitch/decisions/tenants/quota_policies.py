"""Creates the quota for a policy. docs/OPERATIONS.md describes the policies."""

import random
from collections.abc import Callable
from typing import Protocol

from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.decisions.slots.coordinator_claims import CoordinatorClaims
from troutswitch.decisions.slots.messages import SlotInstruction
from troutswitch.decisions.tenants.coordinated_quota import ConfigurationState, CoordinatedQuota
from troutswitch.decisions.tenants.equal_shares import EqualShares
from troutswitch.decisions.tenants.quota import Quota
from troutswitch.decisions.tenants.types import QuotaBounds


class FleetState(ConfigurationState, Protocol):
    """The state of this daemon and its peers on which the policies depend."""

    @property
    def daemons(self) -> int:
        """Number of daemons, including this one."""
        ...


def make_quota(
    policy: str,
    identity: DaemonIdentity,
    bounds: QuotaBounds,
    claims: CoordinatorClaims,
    fleet: FleetState,
    emit: Callable[[SlotInstruction], None],
    rng: random.Random,
) -> Quota:
    """Returns the quota of one daemon; `policy` is one of `policies.QUOTA_POLICIES`."""
    if policy == "equal_shares":
        return EqualShares(lambda: fleet.daemons)
    return CoordinatedQuota(identity, bounds, claims, fleet, emit, rng)
