"""The tenants of a soak: whose key a request shows follows from its id, so that checks know it."""

from troutswitch.common import stable_hash
from troutswitch.platform.stand_in_forms import TenantSpec

NAMES = ("east", "west")
UNKNOWN_KEY_INTERVAL = 40
"""One request in so many shows a key that no configuration ever held."""
UNKNOWN_KEY = "key-of-nobody"


def key_of(tenant: str) -> str:
    """Returns a tenant's key."""
    return f"key-of-{tenant}"


def tenant_of(owner: str) -> str:
    """Returns the tenant whose request or job it is, by its id."""
    return NAMES[stable_hash("tenant", owner) % len(NAMES)]


def shows_unknown_key(request_id: str) -> bool:
    """Returns whether a request shows a key that nobody holds."""
    return stable_hash("stranger", request_id) % UNKNOWN_KEY_INTERVAL == 0


def tenant_forms() -> tuple[TenantSpec, ...]:
    """Returns the tenants as the operator writes them; none has a limit."""
    return tuple(TenantSpec(name, (key_of(name),)) for name in NAMES)
