"""Each group has one coordinator, which is replaced soon after it falls silent."""

import random
from dataclasses import replace

import cbor2

from tests.decisions.slots.harness import GROUP, ZONE, address_of, record
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import ClaimHolder, KnownClaim
from troutswitch.decisions.slots.coordinator_claims import (
    CLAIM_SPREAD_SECONDS,
    MAX_CLAIMS_PER_CALL,
    MAX_PREDECESSORS,
    OTHER_ZONE_SECONDS,
    UNKNOWN_PREDECESSOR,
    Claim,
    CoordinatorClaims,
    decode_claim,
)
from troutswitch.decisions.slots.coordinator_health import SUSPECT_MISSES, SUSPECT_SECONDS
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    EndMoved,
    KeyedRecord,
    NewestPage,
    ReadNewest,
    RecordsRead,
    StoreCall,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers


class ClaimingDaemon:
    """The claims of one daemon, with the store's answers to its calls."""

    def __init__(
        self, name: str = "me", engines: int = 2, zone: str = ZONE, services: tuple[str, ...] = ()
    ) -> None:
        groups = EngineGroups()
        records = [record(f"s{n}", zone="there" if engines > 16 else ZONE) for n in range(engines)]
        records += [replace(record(f"other{n}"), service=s) for n, s in enumerate(services)]
        groups.update(records)
        self.log_events: list[str] = []
        self.claims = CoordinatorClaims(
            DaemonIdentity(name, zone, address_of(name), 1),
            groups,
            CallNumbers(),
            random.Random(1),
            lambda event, **fields: self.log_events.append(event),
        )
        self.read(0.0, ())

    def read(self, now: float, records: tuple[KeyedRecord, ...]) -> None:
        """Answers the read in flight with a page of records."""
        (call,) = [
            call for call in self.claims.on_timer(now) if not isinstance(call, AppendRecords)
        ]
        self.claims.on_answer(now, call.call, NewestPage(records, False, len(records)))

    def appends(self, now: float) -> list[AppendRecords]:
        return [call for call in self.claims.on_timer(now) if isinstance(call, AppendRecords)]


def claim_record(name: str, offset: int, group: str = GROUP) -> KeyedRecord:
    address = address_of(name)
    return KeyedRecord(group, cbor2.dumps([name, address.host, address.port]), offset)


def known_claim(name: str, offset: int, group: str = GROUP) -> KnownClaim:
    return KnownClaim(group, name, address_of(name), offset)


def test_a_group_without_a_coordinator_is_claimed_at_the_expected_end() -> None:
    daemon = ClaimingDaemon()
    daemon.appends(0.0)
    (claim,) = daemon.appends(CLAIM_SPREAD_SECONDS + 0.01)
    assert claim.expected_end == 0
    assert not daemon.claims.is_own(GROUP)
    daemon.claims.on_answer(1.0, claim.call, Appended(0, 1))
    assert daemon.claims.is_own(GROUP)


def test_a_claim_that_is_not_appended_is_not_in_force() -> None:
    daemon = ClaimingDaemon()
    daemon.appends(0.0)
    (claim,) = daemon.appends(CLAIM_SPREAD_SECONDS + 0.01)
    daemon.claims.add_claims((known_claim("other", 0),))
    daemon.claims.on_answer(1.0, claim.call, EndMoved(1))
    assert not daemon.claims.is_own(GROUP)
    assert daemon.appends(9.0) == []


def test_claims_of_daemons_are_spread_and_those_of_other_zones_are_later() -> None:
    due = set()
    for number in range(20):
        daemon = ClaimingDaemon(f"daemon-{number}")
        daemon.appends(0.0)
        due.add(round(daemon.claims.next_due(), 4))
    assert len(due) > 10
    far = ClaimingDaemon("far", engines=17)
    far.appends(0.0)
    assert far.appends(CLAIM_SPREAD_SECONDS + 0.01) == []
    assert len(far.appends(OTHER_ZONE_SECONDS + CLAIM_SPREAD_SECONDS + 0.01)) == 1


def test_the_newest_claim_is_in_force_whatever_the_order_of_receipt() -> None:
    daemon = ClaimingDaemon()
    daemon.claims.add_claims((known_claim("new", 5), known_claim("old", 2)))
    daemon.claims.add_claims((known_claim("older", 1),))
    claim = daemon.claims.claim_of(GROUP)
    assert claim is not None
    assert claim.daemon == "new"


def test_a_silent_coordinator_is_suspected_and_its_group_is_claimed() -> None:
    daemon = ClaimingDaemon()
    daemon.claims.add_claims((known_claim("other", 0),))
    for _ in range(SUSPECT_MISSES):
        assert daemon.claims.coordinator(1.0, GROUP) is not None
        daemon.claims.on_reply_timeout(1.0, GROUP)
    assert daemon.claims.coordinator(1.0, GROUP) is None
    (claim,) = daemon.appends(1.0 + CLAIM_SPREAD_SECONDS + 0.01)
    daemon.claims.on_answer(1.4, claim.call, Appended(1, 2))
    assert daemon.claims.is_own(GROUP)


def test_a_coordinator_that_sends_a_message_is_no_longer_suspected() -> None:
    daemon = ClaimingDaemon()
    daemon.claims.add_claims((known_claim("other", 0),))
    for _ in range(SUSPECT_MISSES):
        daemon.claims.on_reply_timeout(1.0, GROUP)
    daemon.claims.on_activity(GROUP, "other")
    assert daemon.claims.coordinator(1.0, GROUP) is not None
    assert daemon.appends(9.0) == []


def test_a_suspected_coordinator_is_tried_again_after_a_while() -> None:
    daemon = ClaimingDaemon()
    daemon.claims.add_claims((known_claim("other", 0),))
    for _ in range(SUSPECT_MISSES):
        daemon.claims.on_reply_timeout(1.0, GROUP)
    assert daemon.claims.coordinator(1.0 + SUSPECT_SECONDS, GROUP) is not None


def test_no_group_is_claimed_while_the_store_cannot_be_read() -> None:
    daemon = ClaimingDaemon()
    calls: list[StoreCall] = daemon.claims.on_timer(0.0)
    for call in calls:
        daemon.claims.on_answer(0.0, call.call, CallFailed("down", False))
    assert daemon.appends(0.35) == []


def test_a_draining_daemon_coordinates_and_claims_no_group() -> None:
    daemon = ClaimingDaemon()
    daemon.claims.add_claims((known_claim("me", 3),))
    assert daemon.claims.is_own(GROUP)
    daemon.claims.is_draining = True
    assert not daemon.claims.is_own(GROUP)
    assert daemon.appends(9.0) == []


def test_claims_are_read_from_the_store_and_malformed_ones_are_logged() -> None:
    daemon = ClaimingDaemon()
    (call,) = daemon.claims.on_timer(0.0)
    records = (KeyedRecord(GROUP, b"\xff", 0), claim_record("other", 1))
    daemon.claims.on_answer(0.1, call.call, RecordsRead(records, 2, 2))
    claim = daemon.claims.claim_of(GROUP)
    assert claim is not None
    assert claim.daemon == "other"
    assert "claim malformed" in daemon.log_events


def test_groups_of_many_services_are_claimed_with_few_calls() -> None:
    """Guards against entries of another writer whose groups take up all calls to the store."""
    daemon = ClaimingDaemon(services=tuple(f"odd{n}" for n in range(300)))
    daemon.appends(0.0)
    now, end, calls = CLAIM_SPREAD_SECONDS + 0.01, 0, 0
    while claims := daemon.appends(now):
        (call,) = claims
        calls += 1
        daemon.claims.on_answer(now, call.call, Appended(end, end + len(call.records)))
        for offset, claimed in enumerate(call.records, start=end):
            claim = daemon.claims.claim_of(claimed.key)
            assert claim is not None and (claim.daemon, claim.offset) == ("me", offset)
        end, now = end + len(call.records), now + 0.1
    assert (end, calls) == (301, -(-301 // MAX_CLAIMS_PER_CALL))


def test_group_whose_name_no_key_can_hold_is_not_claimed() -> None:
    daemon = ClaimingDaemon(services=("\u65e5" * 128,))
    daemon.appends(0.0)
    (call,) = daemon.appends(CLAIM_SPREAD_SECONDS + 0.01)
    assert [claimed.key for claimed in call.records] == [GROUP]


EXCLUSIVE = Group("#exclusive", "", 0)


def exclusive_daemon(incarnation: int) -> CoordinatorClaims:
    """Returns the claims of a daemon that knows no engine and may claim one exclusive group."""
    claims = CoordinatorClaims(
        DaemonIdentity("me", ZONE, address_of("me"), incarnation),
        EngineGroups(),
        CallNumbers(),
        random.Random(1),
        lambda event, **fields: None,
        (EXCLUSIVE,),
    )
    (read,) = [call for call in claims.on_timer(0.0) if isinstance(call, ReadNewest)]
    claims.on_answer(0.0, read.call, NewestPage((), False, 0))
    return claims


def appended_claim(claims: CoordinatorClaims, now: float, offset: int) -> KeyedRecord:
    """Returns the record of the claim that is due, after the store has appended it."""
    (call,) = [call for call in claims.on_timer(now) if isinstance(call, AppendRecords)]
    claims.on_answer(now, call.call, Appended(offset, offset + 1))
    return call.records[0]


def test_a_restarted_process_does_not_hold_the_exclusive_claim_of_its_earlier_process() -> None:
    claims = exclusive_daemon(incarnation=1)
    record = appended_claim(claims, 1.0, 0)
    assert claims.is_own(EXCLUSIVE.name)
    restarted = exclusive_daemon(incarnation=2)
    restarted.add_claim(decode_claim(KeyedRecord(record.key, record.value, 0)))
    assert not restarted.is_own(EXCLUSIVE.name)


def test_an_exclusive_claim_names_the_holders_that_may_still_act_until_it_is_settled() -> None:
    claims = exclusive_daemon(incarnation=1)
    former = ClaimHolder("former", address_of("former"))
    earlier = ClaimHolder("earlier", address_of("earlier"))
    claims.add_claim(Claim(EXCLUSIVE.name, former.daemon, former.address, 5, 9, (earlier,)))
    claims.on_not_coordinator(0.0, EXCLUSIVE.name)
    appended_claim(claims, 1.0, 6)
    claim = claims.claim_of(EXCLUSIVE.name)
    assert claim is not None
    assert claim.predecessors == (earlier, former)
    claims.settle(EXCLUSIVE.name)
    appended_claim(claims, 3.0, 7)
    claim = claims.claim_of(EXCLUSIVE.name)
    assert claim is not None
    assert claim.predecessors == ()
    assert claims.is_own(EXCLUSIVE.name)


def test_a_claim_with_many_predecessors_stays_small() -> None:
    claims = exclusive_daemon(incarnation=1)
    many = tuple(ClaimHolder(f"d{n}", address_of(f"d{n}")) for n in range(MAX_PREDECESSORS))
    claims.add_claim(Claim(EXCLUSIVE.name, "former", address_of("former"), 5, 9, many))
    claims.on_not_coordinator(0.0, EXCLUSIVE.name)
    appended_claim(claims, 1.0, 6)
    claim = claims.claim_of(EXCLUSIVE.name)
    assert claim is not None
    assert len(claim.predecessors) == MAX_PREDECESSORS
    assert claim.predecessors[0] == UNKNOWN_PREDECESSOR
