"""Tenants of a soak.

The id of a request or job determines its tenant and key, so checks can recompute them.
"""

from troutswitch.common import stable_hash
from troutswitch.platform.stand_in_forms import TenantSpec

TENANTS = ("east", "west")
LIMITED_TENANT = "limited"
"""A tenant with a quota, whose callers send far more than it (`limited_callers.py`)."""
LIMITED_RATE = 3.0
"""Its quota in requests per second. The excess that the platform permits beside so small a quota
is larger than the quota itself, and one request for each daemon would use it up."""
LIMITED_BURST = 3.0
LIMITED_PREFIX = "limited-"
"""Prefix of the ids of its requests."""
SURGE_PREFIX = "surge-"
STEADY_PREFIX = "steady-"
SLOW_PREFIX = "slow-"
READER_PREFIX = "reader-"
"""Prefixes of the ids of the requests of tenants that compete for slots, of slow callers, and of
callers that read large answers steadily."""
TENANTS_BY_PREFIX = {
    LIMITED_PREFIX: LIMITED_TENANT,
    SURGE_PREFIX: "surge",
    STEADY_PREFIX: "steady",
    SLOW_PREFIX: "slow",
    READER_PREFIX: "reader",
}
UNKNOWN_KEY_INTERVAL = 40
"""About one request in this many uses a key that is in no configuration."""
UNKNOWN_KEY = "key-of-nobody"


def key_of(tenant: str) -> str:
    """Returns the API key of a tenant."""
    return f"key-of-{tenant}"


def tenant_of(owner: str) -> str:
    """Returns the tenant of a request or job; `owner` is its id."""
    for prefix, tenant in TENANTS_BY_PREFIX.items():
        if owner.startswith(prefix):
            return tenant
    return TENANTS[stable_hash("tenant", owner) % len(TENANTS)]


def uses_unknown_key(request_id: str) -> bool:
    """Returns whether a request uses a key that no tenant has."""
    if request_id.startswith(tuple(TENANTS_BY_PREFIX)):
        return False
    return stable_hash("stranger", request_id) % UNKNOWN_KEY_INTERVAL == 0


def tenant_forms() -> tuple[TenantSpec, ...]:
    """Returns the tenants as they are written to the configuration; one has a quota."""
    others = [name for name in TENANTS_BY_PREFIX.values() if name != LIMITED_TENANT]
    unlimited = tuple(TenantSpec(name, (key_of(name),)) for name in (*TENANTS, *others))
    limited = TenantSpec(LIMITED_TENANT, (key_of(LIMITED_TENANT),), LIMITED_RATE, LIMITED_BURST)
    return (*unlimited, limited)
