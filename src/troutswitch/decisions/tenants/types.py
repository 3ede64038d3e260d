"""Types of tenants, their keys and their quotas."""

import hashlib
from dataclasses import dataclass

NO_KEY = ""
"""The key digest of a caller that sends no key."""
NO_TENANT = ""
"""The tenant name of a caller without a key, on a route that needs none."""


def key_digest(key: str) -> str:
    """Returns the digest that identifies an API key, SHA-256 in hexadecimal; empty for no key.

    Callers' keys are replaced by digests on receipt, so that no key reaches a log line, a record or
    a peer.
    """
    return hashlib.sha256(key.encode()).hexdigest() if key else NO_KEY


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant.

    `keys` are digests. `rate` is the limit over all daemons in requests per second, with `burst`
    more requests; a rate of 0 means no limit. `priority` overrides the priority of a route, unless
    it is None.
    """

    name: str
    keys: frozenset[str]
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a quota."""
        return self.rate > 0


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far quotas may be exceeded in any `window` seconds.

    The permitted excess is the share `overshoot` of the requests that the quota allows in the
    window, plus `slack` requests.
    """

    window: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0
