"""Types of tenants, their keys and their quotas."""

import hashlib
from dataclasses import dataclass

NO_KEY = ""
"""Stands for a caller that shows no key."""
NO_TENANT = ""
"""The tenant of a caller without a key, on a route that needs none."""


def key_digest(key: str) -> str:
    """Returns the digest that names an API key, SHA-256 in hexadecimal; empty for no key.

    Callers' keys are turned into digests where requests come in, so that no key reaches a log
    line, a record or a peer.
    """
    return hashlib.sha256(key.encode()).hexdigest() if key else NO_KEY


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant.

    `keys` are digests. `rate` is in requests a second, over all daemons, with `burst` requests on
    top; a rate of 0 is no limit. `priority` overrides a route's, unless it is None.
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
    """How exactly quotas are to be kept: what may pass above them in any `window` seconds.

    That is the share `overshoot` of what the window allows, and `slack` requests.
    """

    window: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0
