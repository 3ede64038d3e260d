"""Tenants of a soak.

The id of a request or job determines its tenant and key, so checks can recompute them.
"""

from troutswitch.common import stable_hash
from troutswitch.platform.stand_in_forms import TenantSpec

TENANTS = ("east", "west")
UNKNOWN_KEY_INTERVAL = 40
"""About one request in this many uses a key that is in no configuration."""
UNKNOWN_KEY = "key-of-nobody"


def key_of(tenant: str) -> str:
    """Returns the API key of a tenant."""
    return f"key-of-{tenant}"


def tenant_of(owner: str) -> str:
    """Returns the tenant of a request or job; `owner` is its id."""
    return TENANTS[stable_hash("tenant", owner) % len(TENANTS)]


def uses_unknown_key(request_id: str) -> bool:
    """Returns whether a request uses a key that no tenant has."""
    return stable_hash("stranger", request_id) % UNKNOWN_KEY_INTERVAL == 0


def tenant_forms() -> tuple[TenantSpec, ...]:
    """Returns the tenants as they are written to the configuration; none has a limit."""
    return tuple(TenantSpec(name, (key_of(name),)) for name in TENANTS)
