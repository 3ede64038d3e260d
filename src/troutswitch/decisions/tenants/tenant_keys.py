"""Decides which tenant a caller belongs to, by the API key that it sends.

Inputs: the digest of the key; the tenants of the configuration in force on this daemon; whether
this daemon knows that a newer configuration may exist.

Rule: a caller without a key is admitted on a route that needs none, and refused with 401 otherwise.
A tenant's key identifies the tenant. An unknown key is refused with 401, which is final. While the
configuration may be outdated, it is refused with a time to retry instead. A configuration without a
list of tenants admits all callers.

Why: a key that was just added must not get a final refusal from a daemon that has not read it yet.
"""

from dataclasses import dataclass

from troutswitch.decisions.forwarding.routes import (
    NO_CONFIGURATION_RETRY_SECONDS,
    OUTDATED_RETRY_SECONDS,
    RouteTable,
)
from troutswitch.decisions.forwarding.types import FleetConfiguration, Route
from troutswitch.decisions.tenants.types import NO_KEY, NO_TENANT, Tenant
from troutswitch.outcomes import NotRun, Step

UNAUTHORIZED = 401
ANONYMOUS = Tenant(NO_TENANT, frozenset())
"""The tenant of callers without a tenant, who have no quota."""


@dataclass(frozen=True, slots=True)
class _KeyIndex:
    """The keys of one configuration."""

    configuration: FleetConfiguration
    by_key: dict[str, Tenant]


class TenantKeys:
    """The tenants of the configuration in force, by the digests of their keys."""

    def __init__(self, routes: RouteTable) -> None:
        self._routes = routes
        self._index: _KeyIndex | None = None

    def _by_key(self) -> dict[str, Tenant] | None:
        """Returns the tenants by key; None if the configuration has no list of tenants."""
        configuration = self._routes.configuration
        if configuration is None or configuration.tenants is None:
            return None
        if self._index is None or self._index.configuration is not configuration:
            by_key = {key: tenant for tenant in configuration.tenants for key in tenant.keys}
            self._index = _KeyIndex(configuration, by_key)
        return self._index.by_key

    def identify(self, key: str, route: Route) -> Tenant | NotRun:
        """Returns the tenant of a request's caller, or the refusal of the request."""
        if key == NO_KEY and route.allows_anonymous:
            return ANONYMOUS
        return self.owner_of(key)

    def identify_for_jobs(self, key: str) -> Tenant | NotRun:
        """Returns the tenant of a call about a job, or the refusal of the call.

        The route of the job is not known yet, so any route for jobs may admit callers without a
        key. Before the first configuration is known, nobody's tenant is.
        """
        configuration = self._routes.configuration
        if configuration is None:
            wait = NO_CONFIGURATION_RETRY_SECONDS
            return NotRun("no configuration yet", Step.ADMIT, "", wait)
        routes = configuration.routes
        if key == NO_KEY and any(r.is_for_jobs and r.allows_anonymous for r in routes):
            return ANONYMOUS
        return self.owner_of(key)

    def owner_of(self, key: str) -> Tenant | NotRun:
        """Returns the tenant that has a key, or the refusal of its caller."""
        by_key = self._by_key()
        if by_key is None:
            return ANONYMOUS
        tenant = by_key.get(key)
        if tenant is not None:
            return tenant
        if key == NO_KEY:
            return NotRun("no key", Step.ADMIT, "", None, UNAUTHORIZED)
        if self._routes.may_be_outdated:
            reason = "unknown key, and the configuration may be old"
            return NotRun(reason, Step.ADMIT, "", OUTDATED_RETRY_SECONDS)
        return NotRun("unknown key", Step.ADMIT, "", None, UNAUTHORIZED)

    def named(self, name: str) -> Tenant | None:
        """Returns the tenant with the given name, or None if there is none."""
        configuration = self._routes.configuration
        tenants = (configuration.tenants if configuration is not None else None) or ()
        return next((tenant for tenant in tenants if tenant.name == name), None)
