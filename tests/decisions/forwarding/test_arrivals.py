"""Who may send a request: keys, routes that need none, and changes while a request waits."""

from collections.abc import Sequence
from dataclasses import replace

import pytest

from tests.decisions.forwarding.worlds import World, arrival, route
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.messages import FinishRequest, SendRequest
from troutswitch.decisions.forwarding.placer import (
    AssignedBy,
    Assignment,
    Placement,
    PlacementRequest,
)
from troutswitch.decisions.forwarding.routes import OUTDATED_RETRY_SECONDS
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.tenants.quota import NoQuota, QuotaCompletion, QuotaResult
from troutswitch.decisions.tenants.types import Tenant, key_digest
from troutswitch.outcomes import NotRun

KEY = key_digest("first")
OTHER = key_digest("second")


def tenant_world(version: int = 2, *more: Tenant, of: Route | None = None) -> World:
    world = World(of or route())
    put(world, version, Tenant("ours", frozenset({KEY})), *more)
    return world


def put(world: World, version: int, *tenants: Tenant) -> None:
    held = world.routes.configuration
    assert held is not None
    world.routes.replace(replace(held, version=version, tenants=tenants))


def status(directive: object) -> int:
    assert isinstance(directive, FinishRequest)
    assert isinstance(directive.outcome, NotRun)
    return directive.outcome.status


def test_a_known_key_s_tenant_is_told_to_the_engine() -> None:
    sent = tenant_world().arrive(0.0, replace(arrival(1), caller_key=KEY))
    assert isinstance(sent, SendRequest)
    assert sent.tenant == "ours"


@pytest.mark.parametrize("key", ["", OTHER, key_digest("first "), key_digest("first, first")])
def test_a_missing_or_unknown_key_gets_401_and_no_engine_hears_of_it(key: str) -> None:
    world = tenant_world()
    assert status(world.arrive(0.0, replace(arrival(1), caller_key=key))) == 401
    assert not world.requests.requests


def test_a_route_may_need_no_key_and_then_a_known_one_still_names_its_tenant() -> None:
    world = tenant_world(of=replace(route(), allows_anonymous=True))
    sent = world.arrive(0.0, arrival(1))
    assert isinstance(sent, SendRequest)
    assert sent.tenant == ""
    sent = world.arrive(0.0, replace(arrival(2), caller_key=KEY))
    assert isinstance(sent, SendRequest)
    assert sent.tenant == "ours"
    assert status(world.arrive(0.0, replace(arrival(3), caller_key=OTHER))) == 401


def test_where_no_tenants_are_configured_no_key_is_asked_for() -> None:
    sent = World(route()).arrive(0.0, replace(arrival(1), caller_key=OTHER))
    assert isinstance(sent, SendRequest)
    assert sent.tenant == ""


def test_a_list_without_tenants_lets_nobody_in() -> None:
    world = World(route())
    put(world, 2)
    assert status(world.arrive(0.0, replace(arrival(1), caller_key=KEY))) == 401


def test_a_key_holds_from_the_version_that_has_it_and_no_longer() -> None:
    world = tenant_world()
    put(world, 3, Tenant("ours", frozenset({OTHER})))
    assert status(world.arrive(0.0, replace(arrival(1), caller_key=KEY))) == 401
    assert isinstance(world.arrive(0.0, replace(arrival(2), caller_key=OTHER)), SendRequest)


def test_a_daemon_that_knows_it_is_behind_has_an_unknown_key_retry_after() -> None:
    """A 401 is final for a caller, and the key may have been added a second ago."""
    world = tenant_world()
    world.routes.may_be_outdated = True
    finish = world.arrive(0.0, replace(arrival(1), caller_key=OTHER))
    assert status(finish) == 503
    assert isinstance(finish, FinishRequest)
    assert isinstance(finish.outcome, NotRun)
    assert finish.outcome.retry_after
    assert status(world.arrive(0.0, arrival(2))) == 401


class LateQuota(NoQuota):
    """A quota whose word comes when the test gives it."""

    def __init__(self) -> None:
        self.withdrawn: list[int] = []

    def take(self, now: float, token: int, tenant: Tenant) -> QuotaResult | None:
        return None

    def withdraw(self, token: int) -> None:
        self.withdrawn.append(token)


def test_a_request_waits_for_the_word_on_its_quota() -> None:
    world = tenant_world()
    world.requests.arrivals.quota = LateQuota()
    assert not world.requests.on_arrived(0.0, replace(arrival(1), caller_key=KEY))
    allowed = QuotaCompletion(1, QuotaResult(True, 0.0, "peer"))
    made = world.requests.on_quota_decided(0.01, allowed)
    assert [m.tenant for m in made if isinstance(m, SendRequest)] == ["ours"]
    assert world.requests.on_quota_decided(0.02, allowed) == []


def test_above_its_quota_a_request_gets_429_with_when_there_is_room() -> None:
    world = tenant_world()
    world.requests.arrivals.quota = LateQuota()
    world.requests.on_arrived(0.0, replace(arrival(1), caller_key=KEY))
    made = world.requests.on_quota_decided(0.01, QuotaCompletion(1, QuotaResult(False, 0.7, "peer")))
    finish = made[0]
    assert status(finish) == 429
    assert isinstance(finish, FinishRequest)
    assert isinstance(finish.outcome, NotRun)
    assert finish.outcome.retry_after == 0.7


def test_a_key_taken_away_while_its_quota_is_asked_for_gets_401() -> None:
    world = tenant_world()
    world.requests.arrivals.quota = LateQuota()
    world.requests.on_arrived(0.0, replace(arrival(1), caller_key=KEY))
    put(world, 3, Tenant("ours", frozenset({OTHER})))
    made = world.requests.on_quota_decided(0.01, QuotaCompletion(1, QuotaResult(True, 0.0, "peer")))
    assert status(made[0]) == 401


class LatePlacer:
    """A placer whose places come when the test gives them."""

    def __init__(self) -> None:
        self.engine: Engine | None = None

    def place(
        self, now: float, wish: PlacementRequest, candidates: list[Engine]
    ) -> Placement | None:
        self.engine = candidates[0]
        return None

    def withdraw(self, now: float, token: int) -> None:
        """Has nothing to forget."""


def test_a_key_taken_away_while_its_request_waits_for_a_place_gets_401() -> None:
    """Nothing was sent, so the refusal is true, and no engine sees the old tenant."""
    world = tenant_world()
    placer = LatePlacer()
    world.requests.placer = placer
    assert not sends(world.requests.on_arrived(0.0, replace(arrival(1), caller_key=KEY)))
    put(world, 3, Tenant("ours", frozenset({OTHER})))
    assert placer.engine is not None
    made = world.requests.on_placed(
        0.01, 1, Assignment(placer.engine, AssignedBy.COORDINATOR, False)
    )
    assert status(made[0]) == 401
    assert not world.requests.requests


def sends(made: Sequence[object]) -> list[SendRequest]:
    return [m for m in made if isinstance(m, SendRequest)]


def test_a_daemon_whose_configuration_may_be_old_has_an_unknown_route_retried() -> None:
    """Guards against a final 404 on a route that was added while the store could not be read."""
    world = tenant_world()
    unknown = replace(arrival(1, path="/new/x"), caller_key=KEY)
    assert status(world.arrive(0.0, unknown)) == 404
    world.routes.may_be_outdated = True
    refused = world.arrive(0.0, replace(unknown, token=2))
    assert status(refused) == 503
    assert isinstance(refused, FinishRequest)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.retry_after == OUTDATED_RETRY_SECONDS
