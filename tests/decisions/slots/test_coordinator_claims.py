"""Each group has one coordinator, and another one soon when that one is silent."""

import random

import cbor2

from tests.decisions.slots.worlds import GROUP, ZONE, address_of, record
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import KnownClaim
from troutswitch.decisions.slots.coordinator_claims import (
    CLAIM_SPREAD_SECONDS,
    OTHER_ZONE_SECONDS,
    CoordinatorClaims,
)
from troutswitch.decisions.slots.coordinator_health import SUSPECT_MISSES, SUSPECT_SECONDS
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    EndMoved,
    KeyedRecord,
    NewestPage,
    RecordsRead,
    StoreCall,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers


class Store:
    """One daemon's claims, with the store's answers."""

    def __init__(self, name: str = "me", engines: int = 2, zone: str = ZONE) -> None:
        groups = EngineGroups()
        groups.update(
            [record(f"s{n}", zone="there" if engines > 16 else ZONE) for n in range(engines)]
        )
        self.lines: list[str] = []
        self.claims = CoordinatorClaims(
            DaemonIdentity(name, zone, address_of(name), 1),
            groups,
            CallNumbers(),
            random.Random(1),
            lambda event, **fields: self.lines.append(event),
        )
        self.read(0.0, ())

    def read(self, now: float, records: tuple[KeyedRecord, ...]) -> None:
        """Answers the call in flight with a first page, or with records."""
        (call,) = [
            made for made in self.claims.on_timer(now) if not isinstance(made, AppendRecords)
        ]
        self.claims.on_answer(now, call.call, NewestPage(records, False, len(records)))

    def appends(self, now: float) -> list[AppendRecords]:
        return [made for made in self.claims.on_timer(now) if isinstance(made, AppendRecords)]


def claim_record(name: str, offset: int, group: str = GROUP) -> KeyedRecord:
    address = address_of(name)
    return KeyedRecord(group, cbor2.dumps([name, address.host, address.port]), offset)


def known_claim(name: str, offset: int, group: str = GROUP) -> KnownClaim:
    return KnownClaim(group, name, address_of(name), offset)


def test_a_group_without_a_coordinator_is_claimed_on_condition() -> None:
    store = Store()
    store.appends(0.0)
    (claim,) = store.appends(CLAIM_SPREAD_SECONDS + 0.01)
    assert claim.expected_end == 0
    assert not store.claims.is_own(GROUP)
    store.claims.on_answer(1.0, claim.call, Appended(0, 1))
    assert store.claims.is_own(GROUP)


def test_a_claim_that_comes_second_is_not_in_force() -> None:
    store = Store()
    store.appends(0.0)
    (claim,) = store.appends(CLAIM_SPREAD_SECONDS + 0.01)
    store.claims.add_claims((known_claim("other", 0),))
    store.claims.on_answer(1.0, claim.call, EndMoved(1))
    assert not store.claims.is_own(GROUP)
    assert store.appends(9.0) == []


def test_daemons_do_not_claim_all_at_once_and_other_zones_wait() -> None:
    due = set()
    for number in range(20):
        store = Store(f"daemon-{number}")
        store.appends(0.0)
        due.add(round(store.claims.next_due(), 4))
    assert len(due) > 10
    far = Store("far", engines=17)
    far.appends(0.0)
    assert far.appends(CLAIM_SPREAD_SECONDS + 0.01) == []
    assert len(far.appends(OTHER_ZONE_SECONDS + CLAIM_SPREAD_SECONDS + 0.01)) == 1


def test_the_newest_claim_is_in_force_in_whatever_order_they_come() -> None:
    store = Store()
    store.claims.add_claims((known_claim("new", 5), known_claim("old", 2)))
    store.claims.add_claims((known_claim("older", 1),))
    claim = store.claims.claim_of(GROUP)
    assert claim is not None
    assert claim.daemon == "new"


def test_a_silent_coordinator_is_suspected_and_its_group_claimed_at_the_end_read() -> None:
    store = Store()
    store.claims.add_claims((known_claim("other", 0),))
    for _ in range(SUSPECT_MISSES):
        assert store.claims.coordinator(1.0, GROUP) is not None
        store.claims.on_reply_timeout(1.0, GROUP)
    assert store.claims.coordinator(1.0, GROUP) is None
    (claim,) = store.appends(1.0 + CLAIM_SPREAD_SECONDS + 0.01)
    store.claims.on_answer(1.4, claim.call, Appended(1, 2))
    assert store.claims.is_own(GROUP)


def test_a_coordinator_that_sends_a_message_is_no_longer_suspected() -> None:
    store = Store()
    store.claims.add_claims((known_claim("other", 0),))
    for _ in range(SUSPECT_MISSES):
        store.claims.on_reply_timeout(1.0, GROUP)
    store.claims.on_activity(GROUP, "other")
    assert store.claims.coordinator(1.0, GROUP) is not None
    assert store.appends(9.0) == []


def test_a_suspected_coordinator_is_tried_again_after_a_while() -> None:
    store = Store()
    store.claims.add_claims((known_claim("other", 0),))
    for _ in range(SUSPECT_MISSES):
        store.claims.on_reply_timeout(1.0, GROUP)
    assert store.claims.coordinator(1.0 + SUSPECT_SECONDS, GROUP) is not None


def test_while_the_store_cannot_be_read_nobody_claims() -> None:
    store = Store()
    calls: list[StoreCall] = store.claims.on_timer(0.0)
    for call in calls:
        store.claims.on_answer(0.0, call.call, CallFailed("down", False))
    assert store.appends(0.35) == []


def test_a_daemon_that_drains_coordinates_nothing() -> None:
    store = Store()
    store.claims.add_claims((known_claim("me", 3),))
    assert store.claims.is_own(GROUP)
    store.claims.is_draining = True
    assert not store.claims.is_own(GROUP)
    assert store.appends(9.0) == []


def test_claims_are_read_from_the_store_and_malformed_ones_are_logged() -> None:
    store = Store()
    (call,) = store.claims.on_timer(0.0)
    records = (KeyedRecord(GROUP, b"\xff", 0), claim_record("other", 1))
    store.claims.on_answer(0.1, call.call, RecordsRead(records, 2, 2))
    claim = store.claims.claim_of(GROUP)
    assert claim is not None
    assert claim.daemon == "other"
    assert "claim malformed" in store.lines
