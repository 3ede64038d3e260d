"""Checks on arrival whether a request's caller is allowed to send it.

Inputs: the newest configuration of this daemon (routes, tenants' keys); the request contents that
are refused for crashes (`crashes`); the tenant's quota, counted here or by a peer (`tenants`).

Rule: the checks run in this order, and the first that fails refuses the request.

1. There is a configuration. (503, to be retried)
2. A route for online requests matches host and path. (404; 503, to be retried, if none matches
   and the configuration may be outdated)
3. The key belongs to a tenant, or the route allows anonymous callers. (401)
4. The request is not refused because engines crashed while they ran it (503, then 400), or
   requests with a part of its prompt (503).
5. The tenant is within its quota. (429, with the time after which a request fits; 503, to be
   retried, if no coordinator decided in time)

A request's states:

    (arrived)      -> admitted or refused immediately
    (arrived)      -> AWAITING_QUOTA   the peer that counts the tenant's requests must decide
    AWAITING_QUOTA -> admitted or refused, by that peer's decision

Owns the requests whose quota decision is pending. Measurements: docs/POLICY.md,
docs/design/tenants.md.
"""

from dataclasses import dataclass, replace

from troutswitch.decisions.crashes.content import part_keys
from troutswitch.decisions.crashes.interface import Suspects
from troutswitch.decisions.forwarding.messages import RequestArrived
from troutswitch.decisions.forwarding.routes import (
    NO_CONFIGURATION_RETRY_SECONDS,
    OUTDATED_RETRY_SECONDS,
    RouteTable,
)
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.tenants.quota import (
    NOT_COUNTED,
    NoQuota,
    Quota,
    QuotaCompletion,
    QuotaResult,
    QuotaWay,
)
from troutswitch.decisions.tenants.tenant_keys import TenantKeys
from troutswitch.decisions.tenants.types import NO_TENANT, Tenant
from troutswitch.outcomes import NotRun, Step

STOPPING_RETRY_SECONDS = 0.05
"""Retry-After while this daemon stops; short, because another one accepts the next connection."""
ABOVE_QUOTA_STATUS = 429
NO_ROUTE_STATUS = 404


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be sent.

    `version` is the version of the configuration that `route` comes from; `quota` is the
    decision on the quota, which took `quota_seconds`. All three are for logs.
    """

    arrival: RequestArrived
    route: Route
    version: int
    tenant: Tenant
    quota: QuotaResult
    quota_seconds: float


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that is not sent to any engine; `tenant` and `quota` are for logs."""

    arrival: RequestArrived
    refusal: NotRun
    tenant: str = NO_TENANT
    quota: QuotaResult = NOT_COUNTED
    quota_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class _AwaitingQuota:
    """A request whose quota decision is pending."""

    arrival: RequestArrived
    route: Route
    version: int
    tenant: Tenant
    arrived_at: float


class Arrivals:
    """Decides on arriving requests, and keeps those whose quota decision is pending."""

    def __init__(self, routes: RouteTable, suspects: Suspects) -> None:
        self.tenant_keys = TenantKeys(routes)
        self.quota: Quota = NoQuota()
        self.stops_at = float("inf")
        """When this process ends at the latest, on its clock; infinite until it drains."""
        self._routes = routes
        self._suspects = suspects
        self._awaiting_quota: dict[int, _AwaitingQuota] = {}

    def on_arrived(self, now: float, event: RequestArrived) -> Admitted | Refused | None:
        """Returns the decision on a request; None while its quota decision is pending."""
        if self._routes.configuration is None:
            wait = NO_CONFIGURATION_RETRY_SECONDS
            return Refused(event, NotRun("no configuration yet", Step.ADMIT, "", wait))
        route = self._routes.match(event.host, event.path)
        if route is None and self._routes.may_be_outdated:
            reason = "no such route, and the configuration may be old"
            return Refused(event, NotRun(reason, Step.ROUTE, "", OUTDATED_RETRY_SECONDS))
        if route is None or route.is_for_jobs:
            return Refused(event, NotRun("no such route", Step.ROUTE, "", None, NO_ROUTE_STATUS))
        if self._may_be_cut(now, event, route):
            reason = "this daemon stops before the request's time limit"
            return Refused(event, NotRun(reason, Step.ADMIT, "", STOPPING_RETRY_SECONDS))
        tenant = self.tenant_keys.identify(event.caller_key, route)
        if isinstance(tenant, NotRun):
            return Refused(event, tenant)
        refused_key = self._refused_key(event)
        if refused_key is not None:
            return Refused(event, self._suspects.refusal(now, refused_key), tenant.name)
        waiting = _AwaitingQuota(event, route, self._routes.version, tenant, now)
        decision = self.quota.take(now, event.token, tenant)
        if decision is None:
            self._awaiting_quota[event.token] = waiting
            return None
        return self._apply_quota(now, waiting, decision)

    def _may_be_cut(self, now: float, event: RequestArrived, route: Route) -> bool:
        """Returns whether a request that must not be repeated may outlast this process.

        Another daemon can run it. Requests that may be repeated are admitted: nearly all of them
        end in time, and the callers of the others send them again.
        """
        if route.is_repeatable:
            return False
        return now + min(event.time_left, route.time_limit) > self.stops_at

    def _refused_key(self, event: RequestArrived) -> str | None:
        """Returns the key for which a request is refused for crashes, or None."""
        refused = self._suspects.refused
        if not refused:
            return None
        keys = (event.content, *part_keys(event.prompt))
        return next((key for key in keys if key in refused), None)

    def count_further_attempt(self, now: float, token: int, tenant: str) -> QuotaResult | None:
        """Counts a further attempt of an admitted request; returns None if the result is pending.

        A tenant that is no longer in the configuration has no quota.
        """
        limited = self.tenant_keys.named(tenant)
        if limited is None:
            return NOT_COUNTED
        return self.quota.take(now, token, limited, is_further=True)

    def on_quota_decided(self, now: float, end: QuotaCompletion) -> Admitted | Refused | None:
        """Returns the result of a quota decision; None if the request no longer awaits one.

        The key is checked again, as the configuration may have changed in the meantime.
        """
        waiting = self._awaiting_quota.pop(end.token, None)
        if waiting is None:
            return None
        tenant = self.tenant_keys.identify(waiting.arrival.caller_key, waiting.route)
        if isinstance(tenant, NotRun):
            return Refused(waiting.arrival, tenant)
        return self._apply_quota(now, replace(waiting, tenant=tenant), end.result)

    @staticmethod
    def _apply_quota(
        now: float, waiting: _AwaitingQuota, decision: QuotaResult
    ) -> Admitted | Refused:
        arrival, tenant = waiting.arrival, waiting.tenant
        seconds = now - waiting.arrived_at
        if decision.is_allowed:
            return Admitted(arrival, waiting.route, waiting.version, tenant, decision, seconds)
        refusal = _quota_refusal(decision)
        return Refused(arrival, refusal, tenant.name, decision, seconds)

    def withdraw(self, token: int) -> RequestArrived | None:
        """Drops a request whose caller disconnected; returns it if a decision was pending."""
        waiting = self._awaiting_quota.pop(token, None)
        if waiting is None:
            return None
        self.quota.withdraw(token)
        return waiting.arrival


def _quota_refusal(decision: QuotaResult) -> NotRun:
    """Returns the refusal of a request that is above its quota, or whose quota is not known."""
    if decision.way is QuotaWay.UNDECIDED:
        reason = "the tenant's quota could not be decided"
        return NotRun(reason, Step.ADMIT, "", decision.wait)
    reason = "above the tenant's quota"
    return NotRun(reason, Step.ADMIT, "", decision.wait, ABOVE_QUOTA_STATUS)
