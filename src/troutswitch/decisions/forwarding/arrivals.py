"""Decides on a request's arrival: its route, whose key it shows, and its tenant's quota.

(arrived) -> refused   at once: no route, no known key, refused for crashes, above the quota
(arrived) -> admitted
(arrived) -> COUNTING  whoever counts the tenant's requests is asked
COUNTING  -> admitted, or refused as above the quota
"""

from dataclasses import dataclass

from troutswitch.decisions.crashes.interface import Suspects
from troutswitch.decisions.forwarding.messages import RequestArrived
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.tenants.quota import NoQuota, Quota, QuotaEnd, QuotaResult
from troutswitch.decisions.tenants.tenant_keys import TenantKeys
from troutswitch.decisions.tenants.types import NO_TENANT, Tenant
from troutswitch.outcomes import NotRun, Step

NO_CONFIGURATION_RETRY_SECONDS = 0.5
"""Time to come back before the first configuration is known."""
ABOVE_QUOTA = 429


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be sent; `decided_by` says who counted it."""

    arrival: RequestArrived
    route: Route
    tenant: Tenant
    decided_by: str


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that is not sent anywhere."""

    arrival: RequestArrived
    refusal: NotRun
    tenant: str = NO_TENANT
    decided_by: str = ""


@dataclass(frozen=True, slots=True)
class _Counting:
    """A request whose tenant's quota is being asked for."""

    arrival: RequestArrived
    route: Route
    tenant: Tenant


class Arrivals:
    """Requests on whose arrival is decided."""

    def __init__(self, routes: RouteTable, suspects: Suspects) -> None:
        self.callers = TenantKeys(routes)
        self.quota: Quota = NoQuota()
        self._routes = routes
        self._suspects = suspects
        self._counting: dict[int, _Counting] = {}

    def on_arrived(self, now: float, event: RequestArrived) -> Admitted | Refused | None:
        """Decides on a request; None while its tenant's quota is asked for."""
        if self._routes.configuration is None:
            wait = NO_CONFIGURATION_RETRY_SECONDS
            return Refused(event, NotRun("no configuration yet", Step.ADMIT, "", wait))
        route = self._routes.match(event.host, event.path)
        if route is None or route.is_for_jobs:
            return Refused(event, NotRun("no such route", Step.ROUTE, "", None, 404))
        tenant = self.callers.identify(event.caller_key, route)
        if isinstance(tenant, NotRun):
            return Refused(event, tenant)
        if event.content in self._suspects.refused:
            return Refused(event, self._suspects.refusal(now, event.content), tenant.name)
        counting = _Counting(event, route, tenant)
        grant = self.quota.take(now, event.token, tenant)
        if grant is None:
            self._counting[event.token] = counting
            return None
        return self._end(counting, grant)

    def on_counted(self, now: float, end: QuotaEnd) -> Admitted | Refused | None:
        """Takes the word on a request's quota; None if the request is not awaited any more.

        The key is looked at again: a configuration may have come in between.
        """
        counting = self._counting.pop(end.token, None)
        if counting is None:
            return None
        tenant = self.callers.identify(counting.arrival.caller_key, counting.route)
        if isinstance(tenant, NotRun):
            return Refused(counting.arrival, tenant)
        return self._end(_Counting(counting.arrival, counting.route, tenant), end.result)

    @staticmethod
    def _end(counting: _Counting, grant: QuotaResult) -> Admitted | Refused:
        arrival, tenant = counting.arrival, counting.tenant
        if grant.is_allowed:
            return Admitted(arrival, counting.route, tenant, grant.decided_by)
        refusal = NotRun("above the tenant's quota", Step.ADMIT, "", grant.wait, ABOVE_QUOTA)
        return Refused(arrival, refusal, tenant.name, grant.decided_by)

    def withdraw(self, token: int) -> RequestArrived | None:
        """Forgets a request whose caller left; returns it if it was being counted."""
        counting = self._counting.pop(token, None)
        if counting is None:
            return None
        self.quota.withdraw(token)
        return counting.arrival
