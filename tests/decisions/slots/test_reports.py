"""Changes are reported to coordinators soon; a daemon without work sends no reports."""

from dataclasses import replace

from tests.decisions.slots.harness import SlotsDaemon, deliver, record
from troutswitch.daemons.datagram import encode
from troutswitch.daemons.messages import HoldingsReport, engine_key
from troutswitch.decisions.forwarding.engine import NO_SIZE
from troutswitch.decisions.slots.reports import ACKNOWLEDGE_SECONDS, REFRESH_SECONDS, REPORT_SECONDS
from troutswitch.gateway.daemons.peer_socket import MAX_DATAGRAM_BYTES

NOW = 5.0


def pair() -> tuple[SlotsDaemon, SlotsDaemon]:
    records = [record(f"s{n}") for n in range(2)]
    coordinator, peer = SlotsDaemon("first", records), SlotsDaemon("second", records)
    coordinator.coordinate(NOW, peer)
    coordinator.messages()
    peer.messages()
    return coordinator, peer


def sent_reports(daemon: SlotsDaemon, now: float) -> list[HoldingsReport]:
    daemon.tick(now)
    return [message for message in daemon.messages() if isinstance(message, HoldingsReport)]


def test_a_daemon_without_work_reports_nothing() -> None:
    _, peer = pair()
    assert [sent_reports(peer, NOW + tick) for tick in range(10)] == [[]] * 10


def test_a_change_is_reported_immediately_and_repeated_while_requests_are_in_flight() -> None:
    _, peer = pair()
    peer.engines.on_sent(NOW, "s0", True, NO_SIZE)
    (report,) = sent_reports(peer, NOW)
    assert [share.batch for share in report.shares] == [1]
    assert sent_reports(peer, NOW + REFRESH_SECONDS / 2) == []
    assert len(sent_reports(peer, NOW + REFRESH_SECONDS)) == 1
    peer.engines.on_preempted(NOW, "s0", NO_SIZE, begun=True)
    (last_report,) = sent_reports(peer, NOW + REFRESH_SECONDS + REPORT_SECONDS)
    assert last_report.shares == ()
    assert sent_reports(peer, NOW + 9.0) == []


def test_changes_in_quick_succession_are_reported_together() -> None:
    _, peer = pair()
    peer.engines.on_sent(NOW, "s0", True, NO_SIZE)
    assert len(sent_reports(peer, NOW)) == 1
    for _ in range(5):
        peer.engines.on_sent(NOW, "s1", True, NO_SIZE)
        assert sent_reports(peer, NOW + REPORT_SECONDS / 2) == []
    (report,) = sent_reports(peer, NOW + REPORT_SECONDS)
    assert sorted(share.batch for share in report.shares) == [1, 5]


def test_a_granted_slot_is_reported_later_with_the_number_of_the_grant() -> None:
    coordinator, peer = pair()
    peer.request_slot(NOW, 1)
    claim = peer.fleet.claims.claim_of("service||0")
    assert claim is not None
    deliver(NOW, coordinator, peer)
    peer.fleet.reports.mark_reported(claim)
    assert sent_reports(peer, NOW + REPORT_SECONDS) == []
    (report,) = sent_reports(peer, NOW + ACKNOWLEDGE_SECONDS)
    assert report.last_grant_seen == 1
    assert [share.online for share in report.shares] == [1]


def test_a_slot_granted_after_the_caller_left_is_returned_immediately() -> None:
    """A caller disconnected while a slot request was in flight.

    The slot was granted but not used, and the coordinator counted it as used for
    `ACKNOWLEDGE_SECONDS`, 20 times as long as `REPORT_SECONDS`.
    """
    coordinator, peer = pair()
    peer.request_slot(NOW, 1)
    peer.fleet.requests.withdraw(NOW, 1)
    deliver(NOW, coordinator, peer)
    (report,) = sent_reports(peer, NOW + REPORT_SECONDS)
    assert (report.last_grant_seen, report.shares) == (1, ())


def test_waiting_items_are_reported_to_every_coordinator() -> None:
    records = [record(f"a{n}", zone="a") for n in range(9)]
    records += [record(f"b{n}", zone="b") for n in range(9)]
    daemon = SlotsDaemon("daemon", records, "a")
    SlotsDaemon("here", records).coordinate(NOW, daemon, group="service|a|0", offset=1)
    SlotsDaemon("there", records).coordinate(NOW, daemon, group="service|b|0", offset=2)
    daemon.messages()
    daemon.waiting = 3
    sent = sent_reports(daemon, NOW + 0.1)
    assert [report.waiting_items for report in sent] == [3, 3]


def test_unusable_engines_are_reported() -> None:
    _, peer = pair()
    peer.engine("s0").ejected_until = NOW + 1.0
    peer.engines.on_sent(NOW, "s1", True, NO_SIZE)
    (report,) = sent_reports(peer, NOW)
    assert len(report.unusable) == 1


def test_many_draining_entries_make_no_report_too_long_to_be_sent() -> None:
    """Guards against entries of another writer after which no coordinator gets a report."""
    used = [record("s0"), record("s1"), record("s2")]
    odd = [replace(record(f"odd{n}"), is_draining=True) for n in range(3000)]
    coordinator, peer = SlotsDaemon("first", used), SlotsDaemon("second", [*odd, *used])
    coordinator.coordinate(NOW, peer)
    peer.messages()
    peer.engine("s0").ejected_until = NOW + 1.0
    peer.engine("s1").is_draining = True
    peer.engine("s1").last_seen_at = NOW - 1.0
    peer.engines.on_sent(NOW, "s2", True, NO_SIZE)
    (report,) = sent_reports(peer, NOW)
    assert len(encode(report)) <= MAX_DATAGRAM_BYTES
    assert {engine_key("s0"), engine_key("s1")} <= set(report.unusable)
