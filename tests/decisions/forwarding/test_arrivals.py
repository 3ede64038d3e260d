"""Checks on arrival: keys, anonymous routes, quotas, and changes while a decision is pending."""

from collections.abc import Sequence
from dataclasses import replace

import pytest

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, route
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.messages import FinishRequest, SendRequest
from troutswitch.decisions.forwarding.placer import (
    AssignedBy,
    Assignment,
    Placement,
    PlacementRequest,
)
from troutswitch.decisions.forwarding.routes import OUTDATED_RETRY_SECONDS
from troutswitch.decisions.forwarding.types import Route, RouteKind
from troutswitch.decisions.tenants.quota import NoQuota, QuotaCompletion, QuotaResult
from troutswitch.decisions.tenants.types import Tenant, key_digest
from troutswitch.outcomes import NotRun

KEY = key_digest("first")
OTHER = key_digest("second")


def harness_with_tenants(
    version: int = 2, *more: Tenant, on_route: Route | None = None
) -> ForwardingHarness:
    harness = ForwardingHarness(on_route or route())
    put_in_force(harness, version, Tenant("ours", frozenset({KEY})), *more)
    return harness


def put_in_force(harness: ForwardingHarness, version: int, *tenants: Tenant) -> None:
    current = harness.routes.configuration
    assert current is not None
    harness.routes.replace(replace(current, version=version, tenants=tenants))


def refusal_status(instruction: object) -> int:
    assert isinstance(instruction, FinishRequest)
    assert isinstance(instruction.outcome, NotRun)
    return instruction.outcome.status


def test_tenant_of_a_known_key_is_sent_to_the_engine() -> None:
    sent = harness_with_tenants().arrive(0.0, replace(arrival(1), caller_key=KEY))
    assert isinstance(sent, SendRequest)
    assert sent.tenant == "ours"


def test_request_that_must_not_be_repeated_is_refused_by_a_daemon_that_may_cut_it() -> None:
    """Guards against requests that a planned stop passes on, and cuts at the end of its grace."""
    once = route(kind=RouteKind.STREAM, resumable=False, time_limit=30.0)
    harness = ForwardingHarness(once, route("again", "/b/", resumable=True, time_limit=30.0))
    harness.requests.arrivals.stops_at = 7.4
    late = harness.arrive(2.0, arrival(1, time_left=6.0))
    assert refusal_status(late) == 503
    assert isinstance(late, FinishRequest) and isinstance(late.outcome, NotRun)
    assert late.outcome.retry_after
    assert not harness.requests.requests
    assert isinstance(harness.arrive(2.0, arrival(2, time_left=5.0)), SendRequest)
    assert isinstance(harness.arrive(2.0, arrival(3, "/b/x", time_left=9.0)), SendRequest)


def test_request_in_time_for_its_routes_limit_is_admitted_by_a_stopping_daemon() -> None:
    harness = ForwardingHarness(route(resumable=False, time_limit=2.0))
    harness.requests.arrivals.stops_at = 7.4
    assert isinstance(harness.arrive(5.0, arrival(1, time_left=60.0)), SendRequest)


@pytest.mark.parametrize("key", ["", OTHER, key_digest("first "), key_digest("first, first")])
def test_missing_or_unknown_key_gets_401_and_is_not_sent(key: str) -> None:
    harness = harness_with_tenants()
    assert refusal_status(harness.arrive(0.0, replace(arrival(1), caller_key=key))) == 401
    assert not harness.requests.requests


def test_anonymous_route_accepts_no_key_but_still_checks_a_given_key() -> None:
    harness = harness_with_tenants(on_route=replace(route(), allows_anonymous=True))
    sent = harness.arrive(0.0, arrival(1))
    assert isinstance(sent, SendRequest)
    assert sent.tenant == ""
    sent = harness.arrive(0.0, replace(arrival(2), caller_key=KEY))
    assert isinstance(sent, SendRequest)
    assert sent.tenant == "ours"
    assert refusal_status(harness.arrive(0.0, replace(arrival(3), caller_key=OTHER))) == 401


def test_configuration_without_tenant_list_requires_no_key() -> None:
    sent = ForwardingHarness(route()).arrive(0.0, replace(arrival(1), caller_key=OTHER))
    assert isinstance(sent, SendRequest)
    assert sent.tenant == ""


def test_empty_tenant_list_refuses_every_key() -> None:
    harness = ForwardingHarness(route())
    put_in_force(harness, 2)
    assert refusal_status(harness.arrive(0.0, replace(arrival(1), caller_key=KEY))) == 401


def test_key_is_valid_only_while_the_configuration_in_force_has_it() -> None:
    harness = harness_with_tenants()
    put_in_force(harness, 3, Tenant("ours", frozenset({OTHER})))
    assert refusal_status(harness.arrive(0.0, replace(arrival(1), caller_key=KEY))) == 401
    assert isinstance(harness.arrive(0.0, replace(arrival(2), caller_key=OTHER)), SendRequest)


def test_unknown_key_gets_503_while_the_configuration_may_be_outdated() -> None:
    """A 401 is final for a caller, but the key may have been added a second ago."""
    harness = harness_with_tenants()
    harness.routes.may_be_outdated = True
    finish = harness.arrive(0.0, replace(arrival(1), caller_key=OTHER))
    assert refusal_status(finish) == 503
    assert isinstance(finish, FinishRequest)
    assert isinstance(finish.outcome, NotRun)
    assert finish.outcome.retry_after
    assert refusal_status(harness.arrive(0.0, arrival(2))) == 401


class PendingQuota(NoQuota):
    """A quota whose decision is pending until the test passes it in."""

    def __init__(self) -> None:
        self.withdrawn: list[int] = []

    def take(
        self, now: float, token: int, tenant: Tenant, *, is_further: bool = False
    ) -> QuotaResult | None:
        return None

    def withdraw(self, token: int) -> None:
        self.withdrawn.append(token)


def test_request_is_sent_once_its_pending_quota_decision_allows_it() -> None:
    harness = harness_with_tenants()
    harness.requests.arrivals.quota = PendingQuota()
    assert not harness.requests.on_arrived(0.0, replace(arrival(1), caller_key=KEY))
    allowed = QuotaCompletion(1, QuotaResult(True, 0.0, "peer"))
    instructions = harness.requests.on_quota_decided(0.01, allowed)
    assert [i.tenant for i in instructions if isinstance(i, SendRequest)] == ["ours"]
    assert harness.requests.on_quota_decided(0.02, allowed) == []


def test_request_above_its_quota_gets_429_with_retry_after() -> None:
    harness = harness_with_tenants()
    harness.requests.arrivals.quota = PendingQuota()
    harness.requests.on_arrived(0.0, replace(arrival(1), caller_key=KEY))
    instructions = harness.requests.on_quota_decided(
        0.01, QuotaCompletion(1, QuotaResult(False, 0.7, "peer"))
    )
    finish = instructions[0]
    assert refusal_status(finish) == 429
    assert isinstance(finish, FinishRequest)
    assert isinstance(finish.outcome, NotRun)
    assert finish.outcome.retry_after == 0.7


def test_key_revoked_while_its_quota_decision_is_pending_gets_401() -> None:
    harness = harness_with_tenants()
    harness.requests.arrivals.quota = PendingQuota()
    harness.requests.on_arrived(0.0, replace(arrival(1), caller_key=KEY))
    put_in_force(harness, 3, Tenant("ours", frozenset({OTHER})))
    instructions = harness.requests.on_quota_decided(
        0.01, QuotaCompletion(1, QuotaResult(True, 0.0, "peer"))
    )
    assert refusal_status(instructions[0]) == 401


class PendingPlacer:
    """A placer whose decision is pending until the test passes it in."""

    def __init__(self) -> None:
        self.engine: Engine | None = None

    def place(
        self, now: float, request: PlacementRequest, candidates: list[Engine]
    ) -> Placement | None:
        self.engine = candidates[0]
        return None

    def withdraw(self, now: float, token: int) -> None:
        """Does nothing."""


def test_key_revoked_while_its_placement_is_pending_gets_401() -> None:
    """Nothing was sent, so the refusal is correct, and no engine receives the former tenant."""
    harness = harness_with_tenants()
    placer = PendingPlacer()
    harness.requests.placer = placer
    assert not sent_requests(harness.requests.on_arrived(0.0, replace(arrival(1), caller_key=KEY)))
    put_in_force(harness, 3, Tenant("ours", frozenset({OTHER})))
    assert placer.engine is not None
    instructions = harness.requests.on_placed(
        0.01, 1, Assignment(placer.engine, AssignedBy.COORDINATOR, False)
    )
    assert refusal_status(instructions[0]) == 401
    assert not harness.requests.requests


def sent_requests(instructions: Sequence[object]) -> list[SendRequest]:
    return [i for i in instructions if isinstance(i, SendRequest)]


def test_unknown_route_gets_503_while_the_configuration_may_be_outdated() -> None:
    """A 404 is final, but the route may have been added while the store could not be read."""
    harness = harness_with_tenants()
    unknown = replace(arrival(1, path="/new/x"), caller_key=KEY)
    assert refusal_status(harness.arrive(0.0, unknown)) == 404
    harness.routes.may_be_outdated = True
    refused = harness.arrive(0.0, replace(unknown, token=2))
    assert refusal_status(refused) == 503
    assert isinstance(refused, FinishRequest)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.retry_after == OUTDATED_RETRY_SECONDS
