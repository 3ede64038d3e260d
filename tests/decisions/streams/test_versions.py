"""Which versions a service has, when a further one begins streams, and how peers learn of it."""

import random

from troutswitch.common import Address
from troutswitch.daemons.messages import ListedVersion, VersionsNotice
from troutswitch.decisions.forwarding.types import EngineRecord
from troutswitch.decisions.streams.store_knowledge import CONFIRMED_SECONDS
from troutswitch.decisions.streams.version_notices import (
    PEERS_NOTIFIED,
    PEERS_REMINDED,
    REMINDER_SECONDS,
    VersionNotices,
)
from troutswitch.decisions.streams.versions import (
    ACTIVATION_SECONDS,
    MAX_VERSIONS_PER_SERVICE,
    MIXED_SECONDS,
    EngineVersions,
    service_key,
    version_key,
)

SERVICE = "s"


def record(version: str, service: str = SERVICE) -> EngineRecord:
    return EngineRecord(f"i-{version}", service, Address("h", 1), "z", 8, False, version=version)


def listed(*versions: str, at: float = 0.0) -> EngineVersions:
    engine_versions = EngineVersions()
    engine_versions.on_list(at, [record(version) for version in versions])
    return engine_versions


def test_service_is_mixed_while_two_versions_were_listed_recently() -> None:
    versions = listed("v1")
    assert not versions.is_mixed(0.0, SERVICE)
    versions.on_list(5.0, [record("v2"), record("v9", "other")])
    assert versions.is_mixed(5.0, SERVICE)
    assert not versions.is_mixed(5.0, "other")
    versions.on_list(20.0, [record("v2")])
    ends_at = 5.0 + MIXED_SECONDS  # v1 may have served until the list of 5.0
    assert versions.is_mixed(ends_at - 0.1, SERVICE)
    assert not versions.is_mixed(ends_at + 0.1, SERVICE)


def test_service_stays_mixed_while_its_list_cannot_be_read() -> None:
    """Guards against an outage after which a daemon takes its two listed versions for one."""
    versions = listed("v1", "v2")
    assert versions.is_mixed(10 * MIXED_SECONDS, SERVICE)
    (notice,) = notices(versions).on_timer(10 * MIXED_SECONDS)
    assert isinstance(notice.message, VersionsNotice)
    assert {row.age_ms for row in notice.message.rows} == {0}
    versions.on_list(10 * MIXED_SECONDS, [record("v2")])
    assert versions.is_mixed(11 * MIXED_SECONDS - 0.1, SERVICE)


def test_further_version_begins_streams_after_its_activation() -> None:
    versions = listed("v1")
    versions.on_list(10.0, [record("v1"), record("v2")])
    assert versions.may_begin(10.0, record("v1"))
    assert not versions.may_begin(10.0 + ACTIVATION_SECONDS - 0.1, record("v2"))
    assert versions.may_begin(10.0 + ACTIVATION_SECONDS, record("v2"))


def test_versions_of_the_first_list_begin_streams_at_once() -> None:
    versions = listed("v1", "v2")
    assert versions.may_begin(0.0, record("v1"))
    assert versions.may_begin(0.0, record("v2"))


def test_versions_are_confirmed_for_less_time_than_an_activation_takes() -> None:
    versions = listed("v1")
    versions.knowledge.on_list(0.0)
    assert versions.is_confirmed(CONFIRMED_SECONDS, SERVICE, CONFIRMED_SECONDS)
    later = CONFIRMED_SECONDS + 0.1
    assert not versions.is_confirmed(later, SERVICE, later)
    versions.knowledge.on_list(5.0)
    assert versions.is_confirmed(5.0 + CONFIRMED_SECONDS, SERVICE, 5.0 + CONFIRMED_SECONDS)
    assert CONFIRMED_SECONDS < ACTIVATION_SECONDS


def records(*versions: str) -> dict[int, frozenset[int]]:
    return {service_key(SERVICE): frozenset(version_key(version) for version in versions)}


def test_notice_of_a_peer_confirms_nothing() -> None:
    """Guards against two daemons out of touch that are each other's proof."""
    versions = listed("v1")
    versions.knowledge.on_list(0.0)
    row = ListedVersion(service_key(SERVICE), version_key("v1"), 0)
    notices(versions).on_notice(5.0, VersionsNotice("d-2", (row,)))
    assert not versions.is_confirmed(5.0, SERVICE, 5.0)


def test_records_requested_after_a_resumption_confirm_their_only_version() -> None:
    versions = listed("v1")
    versions.on_records_read(5.2, 5.1, records("v1"))
    assert versions.is_confirmed(5.2, SERVICE, 5.1)
    assert not versions.is_confirmed(5.2, SERVICE, 5.15)
    assert not versions.is_confirmed(5.2, "other", 5.1)
    versions.on_records_read(6.2, 6.1, records("v1", "v2"))
    assert not versions.is_confirmed(6.2, SERVICE, 6.1)


def test_version_that_came_and_went_in_a_gap_counts_once_the_records_are_read() -> None:
    """Guards against a daemon that stood still and finds one version in a fresh list."""
    versions = listed("v1")
    versions.knowledge.needs_records = True
    versions.on_records_read(0.1, 0.0, records("v1"))
    versions.knowledge.on_list(0.0)
    versions.on_list(9.0, [record("v1")])
    versions.knowledge.on_list(9.0)
    assert not versions.is_confirmed(9.0, SERVICE, 9.0)
    versions.on_records_read(9.2, 9.1, records("v1", "v2"))
    assert versions.is_mixed(9.2, SERVICE)


def test_number_of_versions_is_bounded() -> None:
    versions = EngineVersions()
    for number in range(3 * MAX_VERSIONS_PER_SERVICE):
        versions.on_list(number / 100, [record(f"v{number}")])
    ((_, kept),) = versions.mixed(1.0)
    assert len(kept) == MAX_VERSIONS_PER_SERVICE
    assert version_key(f"v{3 * MAX_VERSIONS_PER_SERVICE - 1}") in kept


def notices(versions: EngineVersions, peers: int = 20) -> VersionNotices:
    addresses = [Address("10.0.0.1", port) for port in range(1, peers + 1)]
    return VersionNotices("d-1", versions, lambda: addresses, random.Random(1))


def test_nothing_is_sent_while_a_service_has_one_version() -> None:
    sender = notices(listed("v1"))
    assert not list(sender.on_timer(0.0))
    assert sender.next_due() == float("inf")


def test_further_version_is_told_at_once_and_then_repeated() -> None:
    sender = notices(listed("v1", "v2"))
    (news,) = sender.on_timer(0.0)
    assert len(news.addresses) == PEERS_NOTIFIED
    assert not list(sender.on_timer(REMINDER_SECONDS / 2))
    (reminder,) = sender.on_timer(REMINDER_SECONDS)
    assert len(reminder.addresses) == PEERS_REMINDED
    assert reminder.message == VersionsNotice(
        "d-1",
        tuple(
            ListedVersion(service_key(SERVICE), version_key(version), 0) for version in ("v1", "v2")
        ),
    )


def test_peer_learns_of_a_further_version_and_passes_it_on() -> None:
    versions = listed("v1", at=10.0)
    receiver = notices(versions)
    rows = [ListedVersion(service_key(SERVICE), version_key(v), 200) for v in ("v1", "v2")]
    receiver.on_notice(10.5, VersionsNotice("d-2", tuple(rows)))
    assert versions.is_mixed(10.5, SERVICE)
    assert not versions.may_begin(10.5, record("v2"))
    assert len(list(receiver.on_timer(10.5))) == 1


def test_version_that_is_listed_no_more_is_forgotten_although_peers_repeat_it() -> None:
    """Guards against daemons that keep a version recent by echoing each other's notices."""
    one, two = listed("v1", "v2"), listed("v1", "v2")
    pair = [(notices(one), notices(two)), (notices(two), notices(one))]
    now = 0.0
    while now < MIXED_SECONDS + 2.0:
        now += REMINDER_SECONDS
        one.on_list(now, [record("v1")])
        two.on_list(now, [record("v1")])
        for sender, receiver in pair:
            for sent in sender.on_timer(now):
                assert isinstance(sent.message, VersionsNotice)
                receiver.on_notice(now + 0.1, sent.message)
    assert not one.is_mixed(now, SERVICE)
    assert not two.is_mixed(now, SERVICE)
