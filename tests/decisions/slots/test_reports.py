"""Coordinators get reports of changes soon; a daemon without work sends none."""

from tests.decisions.slots.worlds import SlotsOf, deliver, record
from troutswitch.daemons.messages import HoldingsReport
from troutswitch.decisions.forwarding.engine import NO_SIZE
from troutswitch.decisions.slots.reports import ACKNOWLEDGE_SECONDS, REFRESH_SECONDS, REPORT_SECONDS

NOW = 5.0


def fleet() -> tuple[SlotsOf, SlotsOf]:
    records = [record(f"s{n}") for n in range(2)]
    first, second = SlotsOf("first", records), SlotsOf("second", records)
    first.coordinate(NOW, second)
    first.messages()
    second.messages()
    return first, second


def reports(daemon: SlotsOf, now: float) -> list[HoldingsReport]:
    daemon.tick(now)
    return [made for made in daemon.messages() if isinstance(made, HoldingsReport)]


def test_a_daemon_without_work_reports_nothing() -> None:
    _, second = fleet()
    assert [reports(second, NOW + tick) for tick in range(10)] == [[]] * 10


def test_a_change_is_reported_at_once_and_repeated_while_something_is_in_flight() -> None:
    _, second = fleet()
    second.engines.on_sent(NOW, "s0", True, NO_SIZE)
    (told,) = reports(second, NOW)
    assert [share.batch for share in told.shares] == [1]
    assert reports(second, NOW + REFRESH_SECONDS / 2) == []
    assert len(reports(second, NOW + REFRESH_SECONDS)) == 1
    second.engines.on_stopped(NOW, "s0", NO_SIZE, begun=True)
    (last,) = reports(second, NOW + REFRESH_SECONDS + REPORT_SECONDS)
    assert last.shares == ()
    assert reports(second, NOW + 9.0) == []


def test_changes_that_come_together_are_reported_together() -> None:
    _, second = fleet()
    second.engines.on_sent(NOW, "s0", True, NO_SIZE)
    assert len(reports(second, NOW)) == 1
    for _ in range(5):
        second.engines.on_sent(NOW, "s1", True, NO_SIZE)
        assert reports(second, NOW + REPORT_SECONDS / 2) == []
    (told,) = reports(second, NOW + REPORT_SECONDS)
    assert sorted(share.batch for share in told.shares) == [1, 5]


def test_what_was_granted_is_reported_later_with_the_number_of_the_grant() -> None:
    first, second = fleet()
    second.want(NOW, 1)
    known = second.fleet.claims.claim_of("service||0")
    assert known is not None
    deliver(NOW, first, second)
    second.fleet.reports.mark_reported(known)
    assert reports(second, NOW + REPORT_SECONDS) == []
    (told,) = reports(second, NOW + ACKNOWLEDGE_SECONDS)
    assert told.last_grant_seen == 1
    assert [share.online for share in told.shares] == [1]


def test_a_slot_granted_to_a_caller_that_left_is_given_back_at_once() -> None:
    """A caller left while a slot request was on its way. The slot was granted, nobody used
    it, and the coordinator counted it as taken for `ACKNOWLEDGE_SECONDS`, 20 times as long."""
    first, second = fleet()
    second.want(NOW, 1)
    second.fleet.requests.withdraw(NOW, 1)
    deliver(NOW, first, second)
    (told,) = reports(second, NOW + REPORT_SECONDS)
    assert (told.last_grant_seen, told.shares) == (1, ())


def test_items_that_wait_are_reported_to_every_coordinator() -> None:
    records = [record(f"a{n}", zone="a") for n in range(9)]
    records += [record(f"b{n}", zone="b") for n in range(9)]
    daemon = SlotsOf("daemon", records, "a")
    SlotsOf("here", records).coordinate(NOW, daemon, group="service|a|0", offset=1)
    SlotsOf("there", records).coordinate(NOW, daemon, group="service|b|0", offset=2)
    daemon.messages()
    daemon.waiting = 3
    told = reports(daemon, NOW + 0.1)
    assert [report.waiting_items for report in told] == [3, 3]


def test_engines_that_cannot_be_used_are_reported() -> None:
    _, second = fleet()
    second.engine("s0").ejected_until = NOW + 1.0
    second.engines.on_sent(NOW, "s1", True, NO_SIZE)
    (told,) = reports(second, NOW)
    assert len(told.unusable) == 1
