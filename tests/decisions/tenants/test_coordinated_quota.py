"""Quotas counted by coordinators: requests, decisions, silence and changes of the coordinator."""

import random
from typing import TypeVar

import pytest

from troutswitch.common import Address
from troutswitch.daemons import datagram
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import ClaimHolder, QuotaDecision, QuotaRequest
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.slots.coordinator_claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    CallFailed,
    NewestPage,
    ReadNewest,
    ReadRecords,
    RecordsRead,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.tenants.coordinated_quota import (
    MAX_WAIT_SECONDS,
    RESEND_AFTER_SECONDS,
    SILENCE_SECONDS,
    CoordinatedQuota,
)
from troutswitch.decisions.tenants.coordination import LEASE_SECONDS, OLD_CONFIRMATION_SECONDS
from troutswitch.decisions.tenants.quota import QuotaResult, QuotaWay
from troutswitch.decisions.tenants.quota_groups import QUOTA_GROUPS, group_of
from troutswitch.decisions.tenants.quota_ledger import QuotaLimit
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant

TENANT = Tenant("t", frozenset(), rate=2.0, burst=2.0)
Message = TypeVar("Message")

UNLIMITED_TENANT = Tenant("free", frozenset())
HERE = Address("127.0.0.1", 1)
THERE = Address("127.0.0.1", 2)
LONG_AGO = -100.0


class Configuration:
    """One configuration that is always in force."""

    configuration_version = 1


class Daemon:
    """The quota of one daemon, and the messages that it sends."""

    def __init__(self, name: str, address: Address, incarnation: int = 1) -> None:
        self.sent: list[SendToPeers] = []
        self.lines: list[LogLine] = []
        self.group = group_of(TENANT.name)
        self.name, self.address = name, address
        identity = DaemonIdentity(name, "z", address, incarnation)
        rng = random.Random(1)
        self.claims = CoordinatorClaims(
            identity,
            EngineGroups(),
            CallNumbers(),
            rng,
            lambda event, **fields: None,
            QUOTA_GROUPS,
        )
        self.quota = CoordinatedQuota(
            identity, QuotaBounds(), self.claims, Configuration(), self._emit, rng
        )

    def _emit(self, instruction: object) -> None:
        if isinstance(instruction, SendToPeers):
            self.sent.append(instruction)
        elif isinstance(instruction, LogLine):
            self.lines.append(instruction)

    def prove(self, now: float) -> None:
        """Reads the claims of the store, which has no newer one."""
        for call in self.claims.on_timer(now):
            if isinstance(call, ReadNewest | ReadRecords):
                page = NewestPage((), False, 0)
                read = (
                    RecordsRead((), call.offset, call.offset)
                    if isinstance(call, ReadRecords)
                    else page
                )
                self.claims.on_answer(now, call.call, read)

    def coordinate(self, offset: int = 1, predecessors: tuple[ClaimHolder, ...] = ()) -> None:
        """Holds the newest claim since long ago."""
        claim = Claim(self.group, self.name, self.address, offset, 1, predecessors)
        self.claims.add_claim(claim)
        self.prove(-0.5)
        self.quota.on_timer(LONG_AGO)

    def coordinate_from(
        self, now: float, offset: int, predecessors: tuple[ClaimHolder, ...]
    ) -> None:
        """Holds the newest claim from a time on."""
        claim = Claim(self.group, self.name, self.address, offset, 1, predecessors)
        self.claims.add_claim(claim)
        self.quota.on_timer(now)

    def take_message(self, kind: type[Message]) -> Message:
        """Returns the last message, as it is received."""
        message = datagram.decode(datagram.encode(self.sent.pop().message))
        assert isinstance(message, kind)
        return message

    @staticmethod
    def limit_of(tenant: Tenant) -> QuotaLimit:
        return QuotaLimit(tenant.rate, tenant.burst, 1)

    def know_coordinator(self, name: str, address: Address, offset: int = 1) -> None:
        self.claims.add_claim(Claim(self.group, name, address, offset, 1))

    def message(self) -> QuotaRequest | QuotaDecision:
        message = datagram.decode(datagram.encode(self.sent.pop().message))
        assert isinstance(message, QuotaRequest | QuotaDecision)
        return message


def pair() -> tuple[Daemon, Daemon]:
    requester, coordinator = Daemon("a", HERE), Daemon("b", THERE)
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


def test_a_request_without_a_decision_is_sent_again_and_then_refused() -> None:
    requester, _ = pair()
    assert requester.quota.take(0.0, 1, TENANT) is None
    for seconds in RESEND_AFTER_SECONDS:
        requester.sent.clear()
        assert requester.quota.on_timer(seconds) == []
        assert len(requester.sent) == 1
    assert requester.quota.on_timer(MAX_WAIT_SECONDS - 0.01) == []
    (completion,) = requester.quota.on_timer(MAX_WAIT_SECONDS)
    assert not completion.result.is_allowed
    assert completion.result.way is QuotaWay.UNDECIDED
    assert completion.result.wait > 0


def test_a_coordinator_that_is_silent_twice_is_suspected() -> None:
    requester, _ = pair()
    for token in (1, 2):
        requester.quota.take(0.0, token, TENANT)
    requester.quota.on_timer(SILENCE_SECONDS)
    assert requester.claims.coordinator(SILENCE_SECONDS, requester.group) is None


def test_a_slow_decision_is_used_while_the_request_waits() -> None:
    requester, coordinator = pair()
    requester.quota.take(0.0, 1, TENANT)
    message = requester.message()
    assert isinstance(message, QuotaRequest)
    coordinator.quota.on_request(0.1, message)
    requester.quota.on_timer(SILENCE_SECONDS)
    decision = coordinator.message()
    assert isinstance(decision, QuotaDecision)
    (completion,) = requester.quota.on_decision(0.2, decision)
    assert completion.result.is_allowed


def test_a_coordinator_that_cannot_decide_yet_is_asked_again_less_often() -> None:
    """Guards against a load on a new coordinator of several times the requests."""
    requester, _ = pair()
    requester.quota.take(0.0, 1, TENANT)
    number = requester.take_message(QuotaRequest).number
    undecided = QuotaDecision("b", number, requester.group, 0, 0, is_confirmed=False)
    messages = 1
    for step in range(50):
        assert requester.quota.on_decision(step / 200, undecided) == []
        requester.sent.clear()
        requester.quota.on_timer((step + 1) / 200 - 0.0001)
        messages += len(requester.sent)
    assert messages <= 2


def test_a_late_decision_has_no_effect_and_is_logged() -> None:
    requester, coordinator = pair()
    requester.quota.take(0.0, 1, TENANT)
    message = requester.message()
    assert isinstance(message, QuotaRequest)
    coordinator.quota.on_request(0.0, message)
    requester.quota.on_timer(1.0)
    decision = coordinator.message()
    assert isinstance(decision, QuotaDecision)
    assert requester.quota.on_decision(1.0, decision) == []
    (line,) = [line for line in requester.lines if line.event == "quota decision late"]
    assert line.fields["decision_ms"] == 1000


def test_a_request_that_is_received_twice_is_counted_once() -> None:
    requester, coordinator = pair()
    requester.quota.take(0.0, 1, TENANT)
    message = requester.message()
    assert isinstance(message, QuotaRequest)
    decisions = []
    for _ in range(60):
        coordinator.quota.on_request(0.0, message)
        decisions.append(coordinator.message())
    assert len(set(decisions)) == 1
    assert request(0.0, 2, requester, coordinator).is_allowed


def test_a_decision_for_an_earlier_process_has_no_effect() -> None:
    earlier, coordinator = pair()
    earlier.quota.take(0.0, 1, TENANT)
    coordinator.quota.on_request(0.0, earlier.take_message(QuotaRequest))
    restarted = Daemon("a", HERE, incarnation=2)
    restarted.know_coordinator("b", THERE)
    restarted.quota.take(0.1, 1, TENANT)
    assert restarted.quota.on_decision(0.1, coordinator.take_message(QuotaDecision)) == []


def test_a_pending_request_is_sent_to_a_new_coordinator() -> None:
    requester, _ = pair()
    requester.quota.take(0.0, 1, TENANT)
    requester.sent.clear()
    requester.know_coordinator("c", Address("127.0.0.1", 3), 2)
    requester.quota.on_timer(0.02)
    (sent,) = requester.sent
    assert sent.addresses == (Address("127.0.0.1", 3),)


def test_a_pending_request_is_counted_here_once_this_daemon_coordinates() -> None:
    requester, _ = pair()
    requester.quota.take(0.0, 1, TENANT)
    requester.prove(0.0)
    requester.claims.add_claim(Claim(requester.group, "a", HERE, 2, 1))
    (completion,) = requester.quota.on_timer(0.02)
    assert completion.result.decided_by == "counted here"


def test_a_withdrawn_request_gets_no_result() -> None:
    requester, coordinator = pair()
    requester.quota.take(0.0, 1, TENANT)
    requester.quota.withdraw(1)
    assert requester.quota.on_timer(1.0) == []
    assert coordinator.quota.next_due() == float("inf")


def test_a_daemon_that_denies_twice_to_be_the_coordinator_is_suspected() -> None:
    requester, coordinator = pair()
    coordinator.know_coordinator("c", Address("127.0.0.1", 3), 2)
    requester.quota.take(0.0, 1, TENANT)
    for now in (0.0, RESEND_AFTER_SECONDS[0]):
        requester.quota.on_timer(now)
        assert requester.claims.coordinator(now, requester.group) is not None
        coordinator.quota.on_request(now, requester.take_message(QuotaRequest))
        assert requester.quota.on_decision(now, coordinator.take_message(QuotaDecision)) == []
    assert requester.claims.coordinator(0.1, requester.group) is None


def test_a_claimant_that_does_not_know_its_claim_yet_is_not_suspected() -> None:
    """Guards against claims that replace each other while nobody counts."""
    requester, _ = pair()
    requester.know_coordinator("c", Address("127.0.0.1", 3), 2)
    requester.quota.take(0.0, 1, TENANT)
    number = requester.take_message(QuotaRequest).number
    denial = QuotaDecision("c", number, requester.group, 0, 0, is_coordinator=False)
    requester.quota.on_decision(0.001, denial)
    requester.quota.on_timer(MAX_WAIT_SECONDS)
    assert requester.claims.coordinator(0.3, requester.group) is not None


def test_a_coordinator_that_cannot_decide_yet_is_not_suspected() -> None:
    requester, _ = pair()
    for token in (1, 2, 3):
        requester.quota.take(0.0, token, TENANT)
        number = requester.take_message(QuotaRequest).number
        undecided = QuotaDecision("b", number, requester.group, 0, 0, is_confirmed=False)
        requester.quota.on_decision(0.01, undecided)
    requester.quota.on_timer(SILENCE_SECONDS)
    requester.quota.on_timer(MAX_WAIT_SECONDS)
    assert requester.claims.coordinator(MAX_WAIT_SECONDS, requester.group) is not None


def test_without_a_coordinator_no_request_is_admitted() -> None:
    """Guards against an allowance for each daemon, whose sum grows with the fleet."""
    requester, _ = pair()
    requester.claims.on_not_coordinator(0.0, requester.group)
    results = [requester.quota.take(0.01 * n, n, TENANT) for n in range(100)]
    assert all(result is None for result in results)
    completions = requester.quota.on_timer(5.0)
    assert len(completions) == 100
    assert not any(completion.result.is_allowed for completion in completions)


@pytest.mark.parametrize("rate", [0.0, -1.0])
def test_a_request_with_an_invalid_rate_gets_a_decision_without_a_grant(rate: float) -> None:
    _, coordinator = pair()
    coordinator.quota.on_request(
        0.0, QuotaRequest("a", HERE, 1, coordinator.group, "t", rate, 1.0, 1, 1)
    )
    decision = coordinator.message()
    assert isinstance(decision, QuotaDecision)
    assert decision.granted == 0


def answered(now: float, token: int, requester: Daemon, coordinator: Daemon) -> QuotaDecision:
    """Sends one request, and returns the decision on it after the requester has handled it."""
    assert requester.quota.take(now, token, TENANT) is None
    coordinator.quota.on_request(now, requester.take_message(QuotaRequest))
    decision = coordinator.take_message(QuotaDecision)
    requester.quota.on_decision(now, decision)
    return decision


def claims_made(daemon: Daemon, now: float) -> int:
    """Returns the number of claims of the tenant's group that a daemon makes."""
    calls = daemon.claims.on_timer(now)
    appends = [call for call in calls if isinstance(call, AppendRecords)]
    return sum(record.key == daemon.group for call in appends for record in call.records)


def test_a_coordinator_says_that_its_last_confirmation_is_old_and_counts_on() -> None:
    requester, coordinator = pair()
    old_at = coordinator.claims.proven_at + OLD_CONFIRMATION_SECONDS
    assert answered(old_at - 0.01, 1, requester, coordinator).reads_store
    for token, now in enumerate((old_at, coordinator.claims.proven_at + LEASE_SECONDS - 0.01), 2):
        decision = answered(now, token, requester, coordinator)
        assert not decision.reads_store
        assert decision.granted == 1
        assert decision.is_confirmed


def test_a_daemon_that_reads_the_store_succeeds_an_unconfirmed_coordinator() -> None:
    requester, coordinator = pair()
    requester.prove(-100.0)
    answered(5.0, 1, requester, coordinator)
    assert claims_made(requester, 5.0) == 0, "the delay differs between daemons"
    assert claims_made(requester, 5.35) == 1


def test_a_daemon_does_not_succeed_a_coordinator_that_is_confirmed_again() -> None:
    requester, coordinator = pair()
    requester.prove(-100.0)
    answered(5.0, 1, requester, coordinator)
    assert claims_made(requester, 5.0) == 0
    coordinator.prove(5.0)
    assert answered(5.01, 2, requester, coordinator).reads_store
    assert claims_made(requester, 5.35) == 0


def test_a_daemon_that_just_reached_the_store_does_not_succeed_a_coordinator() -> None:
    """Guards against handovers of all groups when an outage of the whole store ends."""
    requester, coordinator = pair()
    requester.prove(5.0)
    answered(5.0, 1, requester, coordinator)
    assert claims_made(requester, 5.35) == 0


def test_an_old_statement_of_a_coordinator_leads_to_no_claim() -> None:
    """Guards against a claim by a daemon that was suspended while the partition ended."""
    requester, coordinator = pair()
    requester.prove(-100.0)
    answered(5.0, 1, requester, coordinator)
    assert claims_made(requester, 7.0) == 0


def test_a_daemon_that_does_not_read_the_store_succeeds_no_coordinator() -> None:
    requester, coordinator = pair()
    requester.prove(-100.0)
    for call in requester.claims.on_timer(4.9):
        requester.claims.on_answer(4.9, call.call, CallFailed("cut", False))
    answered(5.0, 1, requester, coordinator)
    assert claims_made(requester, 5.35) == 0
