"""Quotas counted by coordinators: requests, decisions, silence and changes of the coordinator."""

import random

import pytest

from tests.decisions.forwarding.harness import engine
from tests.simulation.quota_fleet import FixedFleet
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
UNLIMITED_TENANT = Tenant("free", frozenset())
HERE = Address("127.0.0.1", 1)
THERE = Address("127.0.0.1", 2)


class Daemon:
    """The quota of one daemon, and the messages that it sends."""

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

    def _emit(self, instruction: object) -> None:
        if isinstance(instruction, SendToPeers):
            self.sent.append(instruction)

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
    requester, coordinator = Daemon("a", HERE, leases=leases), Daemon("b", THERE)
    coordinator.coordinate()
    requester.know_coordinator("b", THERE)
    return requester, coordinator


def request(now: float, token: int, requester: Daemon, coordinator: Daemon) -> QuotaResult:
    result = requester.quota.take(now, token, TENANT)
    if result is not None:
        return result
    message = requester.message()
    assert isinstance(message, QuotaRequest)
    coordinator.quota.on_request(now, message)
    decision = coordinator.message()
    assert isinstance(decision, QuotaDecision)
    completions = requester.quota.on_decision(now, decision)
    assert [completion.token for completion in completions] == [token]
    return completions[0].result


def test_a_tenant_without_a_limit_needs_no_message() -> None:
    requester, _ = pair()
    result = requester.quota.take(0.0, 1, UNLIMITED_TENANT)
    assert result is not None
    assert result.is_allowed
    assert not requester.sent


def test_requests_of_several_daemons_are_counted_together() -> None:
    requester, coordinator = pair()
    results = [request(0.0, n, requester, coordinator).is_allowed for n in range(40)]
    results += [request(0.0, n, coordinator, coordinator).is_allowed for n in range(40, 60)]
    assert 0 < sum(results) <= (2 * 5 + 2) * 1.1 + 20
    assert not results[-1]


def test_a_refusal_states_when_there_is_quota() -> None:
    requester, coordinator = pair()
    while (result := request(0.0, 1, requester, coordinator)).is_allowed:
        pass
    assert 0 < result.wait <= 1.0
    assert result.decided_by == "counted by b"


def test_a_silent_coordinator_is_awaited_until_the_timeout_and_then_suspected() -> None:
    requester, _ = pair()
    assert requester.quota.take(0.0, 1, TENANT) is None
    requester.sent.clear()
    assert requester.quota.next_due() == RESEND_SECONDS
    assert requester.quota.on_timer(RESEND_SECONDS) == []
    assert len(requester.sent) == 1, "a request is sent once more"
    assert requester.quota.next_due() == DECISION_TIMEOUT_SECONDS
    completions = requester.quota.on_timer(DECISION_TIMEOUT_SECONDS)
    assert [(completion.token, completion.result.is_allowed) for completion in completions] == [
        (1, True)
    ]
    requester.quota.take(0.1, 2, TENANT)
    requester.quota.on_timer(0.2)
    assert requester.claims.coordinator(0.2, requester.group) is None
    assert requester.quota.take(0.3, 3, TENANT) is not None


def test_a_late_decision_has_no_effect() -> None:
    requester, coordinator = pair()
    requester.quota.take(0.0, 1, TENANT)
    message = requester.message()
    assert isinstance(message, QuotaRequest)
    coordinator.quota.on_request(0.0, message)
    requester.quota.on_timer(1.0)
    decision = coordinator.message()
    assert isinstance(decision, QuotaDecision)
    assert requester.quota.on_decision(1.0, decision) == []


def test_a_withdrawn_request_gets_no_result() -> None:
    requester, coordinator = pair()
    requester.quota.take(0.0, 1, TENANT)
    requester.quota.withdraw(1)
    assert requester.quota.on_timer(1.0) == []
    assert coordinator.quota.next_due() == float("inf")


def test_the_sender_decides_alone_if_the_daemon_denies_being_the_coordinator() -> None:
    requester, coordinator = pair()
    coordinator.coordinated.clear()
    result = request(0.0, 1, requester, coordinator)
    assert result.is_allowed
    assert requester.claims.coordinator(0.0, requester.group) is None


def test_without_a_coordinator_a_tenant_is_admitted_at_its_recent_fraction() -> None:
    """Otherwise each of many daemons would admit the whole rate while there is no coordinator."""
    requester, coordinator = pair()
    for number in range(200):
        request(0.0, number, requester, coordinator)
    requester.claims.on_not_coordinator(0.0, requester.group)
    results = [requester.quota.take(0.01 * n, n, TENANT) for n in range(100)]
    assert sum(result is not None and result.is_allowed for result in results) <= 3


def test_leases_save_messages_while_the_quota_is_ample() -> None:
    requester, coordinator = pair(leases=True)
    results = [request(0.0, number, requester, coordinator) for number in range(6)]
    assert all(result.is_allowed for result in results)
    assert [result.decided_by for result in results] == ["counted by b"] * 2 + ["lease"] * 4


def test_a_lease_expires() -> None:
    requester, coordinator = pair(leases=True)
    request(0.0, 1, requester, coordinator)
    request(0.0, 2, requester, coordinator)
    assert requester.quota.take(10.0, 3, TENANT) is None


@pytest.mark.parametrize("rate", [0.0, -1.0])
def test_a_request_with_an_invalid_rate_gets_a_decision_without_a_grant(rate: float) -> None:
    _, coordinator = pair()
    coordinator.quota.on_request(
        0.0, QuotaRequest("a", HERE, 1, coordinator.group, "t", rate, 1.0, 1, 1)
    )
    decision = coordinator.message()
    assert isinstance(decision, QuotaDecision)
    assert decision.granted == 0
