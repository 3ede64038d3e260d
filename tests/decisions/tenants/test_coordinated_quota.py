"""Quotas that coordinators count: requests, decisions, silence, and changes of who counts."""

import random

import pytest

from tests.decisions.forwarding.worlds import engine
from tests.worlds.quota_world import FixedFleet
from troutswitch.common import Address
from troutswitch.daemons import datagram
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import QuotaDecision, QuotaRequest
from troutswitch.decisions.slots.coordinator_claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.tenants.coordinated_quota import (
    DECISION_TIMEOUT_SECONDS,
    RESEND_SECONDS,
    CoordinatedQuota,
)
from troutswitch.decisions.tenants.quota import QuotaResult
from troutswitch.decisions.tenants.quota_groups import QuotaGroups
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant

TENANT = Tenant("t", frozenset(), rate=2.0, burst=2.0)
FREE = Tenant("free", frozenset())
HERE = Address("127.0.0.1", 1)
THERE = Address("127.0.0.1", 2)


class Daemon:
    """One daemon's quota, with what it sends."""

    def __init__(self, name: str, address: Address, *, leases: bool = False) -> None:
        self.sent: list[SendToPeers] = []
        self.coordinated: dict[str, float] = {}
        groups = EngineGroups()
        groups.update([engine("s0"), engine("s1")])
        self.group = groups.all()[0].name
        identity = DaemonIdentity(name, "z", address, 1)
        rng = random.Random(1)
        self.claims = CoordinatorClaims(
            identity, groups, CallNumbers(), rng, lambda event, **fields: None
        )
        self.quota = CoordinatedQuota(
            identity,
            QuotaBounds(),
            QuotaGroups(groups, self.claims, self.coordinated),
            FixedFleet(10),
            self._emit,
            rng,
            leases=leases,
        )

    def _emit(self, made: object) -> None:
        if isinstance(made, SendToPeers):
            self.sent.append(made)

    def coordinate(self, since: float = -100.0) -> None:
        self.coordinated[self.group] = since

    def know_coordinator(self, name: str, address: Address) -> None:
        self.claims.add_claims([])
        self.claims.add_claim(Claim(self.group, name, address, 1))

    def message(self) -> QuotaRequest | QuotaDecision:
        message = datagram.decode(datagram.encode(self.sent.pop().message))
        assert isinstance(message, QuotaRequest | QuotaDecision)
        return message


def pair(*, leases: bool = False) -> tuple[Daemon, Daemon]:
    asking, counting = Daemon("a", HERE, leases=leases), Daemon("b", THERE)
    counting.coordinate()
    asking.know_coordinator("b", THERE)
    return asking, counting


def request(now: float, token: int, asking: Daemon, counting: Daemon) -> QuotaResult:
    result = asking.quota.take(now, token, TENANT)
    if result is not None:
        return result
    message = asking.message()
    assert isinstance(message, QuotaRequest)
    counting.quota.on_request(now, message)
    decision = counting.message()
    assert isinstance(decision, QuotaDecision)
    ended = asking.quota.on_decision(now, decision)
    assert [end.token for end in ended] == [token]
    return ended[0].result


def test_a_tenant_without_a_limit_costs_no_message() -> None:
    asking, _ = pair()
    result = asking.quota.take(0.0, 1, FREE)
    assert result is not None
    assert result.is_allowed
    assert not asking.sent


def test_many_daemons_share_one_count() -> None:
    asking, counting = pair()
    results = [request(0.0, n, asking, counting).is_allowed for n in range(40)]
    results += [request(0.0, n, counting, counting).is_allowed for n in range(40, 60)]
    assert 0 < sum(results) <= (2 * 5 + 2) * 1.1 + 20
    assert not results[-1]


def test_a_refusal_states_when_there_is_quota() -> None:
    asking, counting = pair()
    while (result := request(0.0, 1, asking, counting)).is_allowed:
        pass
    assert 0 < result.wait <= 1.0
    assert result.decided_by == "counted by b"


def test_a_silent_coordinator_is_waited_for_a_moment_and_then_suspected() -> None:
    asking, _ = pair()
    assert asking.quota.take(0.0, 1, TENANT) is None
    asking.sent.clear()
    assert asking.quota.next_due() == RESEND_SECONDS
    assert asking.quota.on_timer(RESEND_SECONDS) == []
    assert len(asking.sent) == 1, "a request is sent once more"
    assert asking.quota.next_due() == DECISION_TIMEOUT_SECONDS
    ended = asking.quota.on_timer(DECISION_TIMEOUT_SECONDS)
    assert [(end.token, end.result.is_allowed) for end in ended] == [(1, True)]
    asking.quota.take(0.1, 2, TENANT)
    asking.quota.on_timer(0.2)
    assert asking.claims.coordinator(0.2, asking.group) is None
    assert asking.quota.take(0.3, 3, TENANT) is not None


def test_a_late_decision_changes_nothing() -> None:
    asking, counting = pair()
    asking.quota.take(0.0, 1, TENANT)
    message = asking.message()
    assert isinstance(message, QuotaRequest)
    counting.quota.on_request(0.0, message)
    asking.quota.on_timer(1.0)
    decision = counting.message()
    assert isinstance(decision, QuotaDecision)
    assert asking.quota.on_decision(1.0, decision) == []


def test_a_withdrawn_request_gets_no_result() -> None:
    asking, counting = pair()
    asking.quota.take(0.0, 1, TENANT)
    asking.quota.withdraw(1)
    assert asking.quota.on_timer(1.0) == []
    assert counting.quota.next_due() == float("inf")


def test_a_daemon_that_does_not_count_replies_so_and_the_sender_decides() -> None:
    asking, counting = pair()
    counting.coordinated.clear()
    result = request(0.0, 1, asking, counting)
    assert result.is_allowed
    assert asking.claims.coordinator(0.0, asking.group) is None


def test_without_a_coordinator_a_tenant_gets_as_large_a_part_as_before() -> None:
    """Else each of many daemons would allow the tenant's whole rate for as long as that lasts."""
    asking, counting = pair()
    for number in range(200):
        request(0.0, number, asking, counting)
    asking.claims.on_not_coordinator(0.0, asking.group)
    alone = [asking.quota.take(0.01 * n, n, TENANT) for n in range(100)]
    assert sum(result is not None and result.is_allowed for result in alone) <= 3


def test_with_leases_requests_go_without_a_message_while_much_is_left() -> None:
    asking, counting = pair(leases=True)
    results = [request(0.0, number, asking, counting) for number in range(6)]
    assert all(result.is_allowed for result in results)
    assert [result.decided_by for result in results] == ["counted by b"] * 2 + ["lease"] * 4


def test_a_lease_expires() -> None:
    asking, counting = pair(leases=True)
    request(0.0, 1, asking, counting)
    request(0.0, 2, asking, counting)
    assert asking.quota.take(10.0, 3, TENANT) is None


@pytest.mark.parametrize("rate", [0.0, -1.0])
def test_a_request_with_a_senseless_rate_gets_a_decision(rate: float) -> None:
    _, counting = pair()
    counting.quota.on_request(0.0, QuotaRequest("a", HERE, 1, counting.group, "t", rate, 1.0, 1, 1))
    decision = counting.message()
    assert isinstance(decision, QuotaDecision)
    assert decision.granted == 0
