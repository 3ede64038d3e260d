"""One coordinator of a quota group counts at a time; a successor waits until the former stopped."""

from tests.decisions.tenants.test_coordinated_quota import HERE, THERE, Daemon
from troutswitch.common import Address
from troutswitch.daemons import datagram
from troutswitch.daemons.messages import (
    ClaimHolder,
    QuotaBalance,
    QuotaHandover,
    QuotaHandoverRequest,
)
from troutswitch.decisions.slots.coordinator_claims import UNKNOWN_PREDECESSOR
from troutswitch.decisions.tenants.coordination import (
    LEASE_SECONDS,
    MAX_BALANCES,
    SUCCESSION_SECONDS,
)
from troutswitch.decisions.tenants.quota import Authority, QuotaWay
from troutswitch.decisions.tenants.types import Tenant

FORMER = ClaimHolder("b", THERE)
TENANT = Tenant("t", frozenset(), rate=2.0, burst=2.0)


def successor(*predecessors: ClaimHolder) -> Daemon:
    """Returns a daemon that claimed the group at 0 s after some predecessors."""
    daemon = Daemon("a", HERE)
    daemon.prove(0.0)
    daemon.coordinate_from(0.0, 2, predecessors)
    return daemon


def authority(daemon: Daemon, now: float) -> Authority:
    return daemon.quota.coordination.authority(now, daemon.group)


def admitted(daemon: Daemon, now: float, count: int) -> list[QuotaWay]:
    """Returns the ways by which requests are admitted that are sent at one time."""
    results = [daemon.quota.take(now, number, TENANT) for number in range(count)]
    return [result.way for result in results if result is not None and result.is_allowed]


def test_the_first_coordinator_counts_at_once() -> None:
    daemon = successor()
    assert authority(daemon, 0.0) is Authority.CONFIRMED
    assert len(admitted(daemon, 0.0, 100)) >= TENANT.burst


def test_a_successor_counts_when_its_predecessor_has_stopped() -> None:
    former, daemon = Daemon("b", THERE), successor(FORMER)
    former.coordinate()
    assert authority(daemon, 0.0) is Authority.PROVISIONAL
    request = daemon.take_message(QuotaHandoverRequest)
    former.quota.on_handover_request(0.1, request)
    assert authority(former, 0.1) is Authority.NONE
    daemon.quota.on_handover(0.1, former.take_message(QuotaHandover))
    assert authority(daemon, 0.1) is Authority.CONFIRMED


def test_what_is_left_in_an_account_is_handed_over() -> None:
    former, daemon = Daemon("b", THERE), successor(FORMER)
    former.coordinate()
    left = len(admitted(former, 0.0, 100)) - len(admitted(former, 0.0, 100))
    assert left > 5, "the account is used up"
    former.quota.on_handover_request(0.0, daemon.take_message(QuotaHandoverRequest))
    daemon.quota.on_handover(0.0, former.take_message(QuotaHandover))
    assert admitted(daemon, 0.0, 100) == []
    assert admitted(daemon, 1.0, 100) == [QuotaWay.COUNTED] * 2


def test_accounts_of_several_predecessors_begin_empty() -> None:
    other = ClaimHolder("c", Address("127.0.0.1", 3))
    daemon = successor(FORMER, other)
    for sender in ("b", "c"):
        balances = (QuotaBalance("t", 10_000),)
        handover = QuotaHandover(sender, daemon.group, 2, 60_000, balances)
        daemon.quota.on_handover(0.1, handover)
    assert authority(daemon, 0.1) is Authority.CONFIRMED
    assert admitted(daemon, 0.1, 100) == []


def test_a_silent_predecessor_has_stopped_when_its_lease_has_ended() -> None:
    daemon = successor(FORMER)
    daemon.prove(LEASE_SECONDS)
    daemon.quota.on_timer(SUCCESSION_SECONDS - 0.01)
    assert authority(daemon, SUCCESSION_SECONDS - 0.01) is Authority.PROVISIONAL
    daemon.quota.on_timer(SUCCESSION_SECONDS)
    assert authority(daemon, SUCCESSION_SECONDS) is Authority.CONFIRMED


def test_a_coordinator_that_does_not_read_the_store_stops_before_a_successor_counts() -> None:
    former = Daemon("b", THERE)
    former.coordinate()
    last_read = former.claims.proven_at
    assert authority(former, last_read + LEASE_SECONDS - 0.01) is Authority.CONFIRMED
    assert authority(former, last_read + LEASE_SECONDS) is Authority.NONE
    assert LEASE_SECONDS < SUCCESSION_SECONDS


def test_a_successor_of_one_predecessor_counts_with_a_reserve_until_it_is_confirmed() -> None:
    daemon = successor(FORMER)
    assert admitted(daemon, 0.0, 100) == [], "the reserve begins empty"
    ways = [way for tenth in range(1, 51) for way in admitted(daemon, tenth / 10, 10)]
    assert set(ways) == {QuotaWay.RESERVE}
    excess = 0.1 * (TENANT.rate * 5 + TENANT.burst) + 20
    assert 0.3 * excess <= len(ways) <= 0.5 * excess


def test_a_successor_of_an_unconfirmed_predecessor_has_no_reserve() -> None:
    daemon = successor(ClaimHolder("c", Address("127.0.0.1", 3)), FORMER)
    assert admitted(daemon, 5.0, 100) == []


def test_predecessors_beyond_the_maximum_are_awaited_for_a_whole_lease() -> None:
    daemon = successor(UNKNOWN_PREDECESSOR, FORMER)
    daemon.quota.on_handover(0.1, QuotaHandover("b", daemon.group, 2))
    assert authority(daemon, 0.1) is Authority.PROVISIONAL


def test_a_process_that_was_started_again_succeeds_its_earlier_process() -> None:
    daemon = successor(ClaimHolder("a", HERE))
    assert authority(daemon, 0.0) is Authority.CONFIRMED
    assert admitted(daemon, 0.0, 100) == [], "it does not know what was admitted before"


def test_a_daemon_whose_claim_was_replaced_does_not_answer_for_the_older_claim() -> None:
    former, daemon = Daemon("b", THERE), successor(FORMER)
    former.coordinate(3)
    former.sent.clear()
    former.quota.on_handover_request(0.1, daemon.take_message(QuotaHandoverRequest))
    assert former.sent == []
    assert authority(former, 0.1) is Authority.CONFIRMED


def test_a_handover_of_many_accounts_fits_into_a_datagram() -> None:
    former, daemon = Daemon("b", THERE), successor(FORMER)
    former.coordinate()
    for number in range(200):
        tenant = Tenant(f"a-tenant-with-a-long-name-{number}", frozenset(), 2.0, 2.0)
        former.quota.coordinator.take_own(0.0, former.group, tenant.name, former.limit_of(tenant))
    former.quota.on_handover_request(0.0, daemon.take_message(QuotaHandoverRequest))
    handover = former.take_message(QuotaHandover)
    assert len(handover.balances) == MAX_BALANCES
    assert handover.opened_ms == 0, "accounts that are not listed begin empty"
    assert len(datagram.encode(handover)) < 1400


def test_the_end_of_a_lease_is_logged_once() -> None:
    """Guards against refusals of a whole quota group without a trace of their cause."""
    former = Daemon("b", THERE)
    former.coordinate()
    end = former.claims.proven_at + LEASE_SECONDS
    for now in (end - 0.01, end, end + 1.0):
        former.quota.on_timer(now)
    former.prove(end + 2.0)
    former.quota.on_timer(end + 2.0)
    lines = [(line.event, line.fields) for line in former.lines if "lease" in line.event]
    age = {"group": former.group, "confirmation_age_ms": 12_000}
    renewed = {"group": former.group, "confirmation_age_ms": 0}
    assert lines == [("quota lease ended", age), ("quota lease renewed", renewed)]
