"""Grants to batch items where engines of several services have free slots."""

import pytest

from tests.decisions.slots.harness import SlotsDaemon, address_of, deliver
from troutswitch.common import Address
from troutswitch.daemons.messages import (
    MAX_SERVICE_ROWS,
    OTHER_SERVICES,
    HoldingsReport,
    ServiceItems,
)
from troutswitch.decisions.forwarding.types import EngineRecord
from troutswitch.decisions.jobs.waiting_services import (
    items_at,
    rows_by_service,
    rows_without_started,
)
from troutswitch.decisions.slots.messages import StartItems
from troutswitch.decisions.streams.versions import service_key

SETTLED = 10.0
USED, IDLE = "used", "idle"


class ServiceDaemon(SlotsDaemon):
    """A daemon whose items can start at one service only."""

    def _start_items(self, grant: StartItems) -> None:
        if self.engines.engines[grant.engine_id].record.service != USED:
            return
        super()._start_items(grant)
        self.report_used()

    def report_used(self) -> None:
        self.waiting_by_service = rows_by_service(
            [{USED}] * self.waiting, [{USED}] * self.late, {USED, IDLE}, 64
        )


def engines(idle_engines: int = 3) -> list[EngineRecord]:
    idle = [EngineRecord(f"i{n}", IDLE, address(n), "z", 8, False) for n in range(idle_engines)]
    used = [EngineRecord(f"u{n}", USED, address(9), "z", 8, False) for n in range(2)]
    return [*idle, *used]


def address(number: int) -> Address:
    return Address(f"10.9.1.{number + 1}", 1)


def coordinate_both(coordinator: SlotsDaemon, *others: SlotsDaemon) -> None:
    """Has a daemon take over both groups, that of the idle service first."""
    for group in (f"{IDLE}||0", f"{USED}||0"):
        coordinator.coordinate(0.0, *others, group=group)


def test_items_of_the_coordinator_start_beside_an_idle_service_that_comes_first() -> None:
    """Guards against a count of waiting items that the slots of an idle service use up."""
    daemon = ServiceDaemon("first", engines())
    coordinate_both(daemon)
    daemon.waiting = 8
    daemon.report_used()
    for tick in range(3):
        daemon.tick(SETTLED + tick * 0.02)
    assert len(daemon.items) == 8


@pytest.mark.parametrize("reports_by_service", [True, False])
def test_items_of_a_peer_start_beside_an_idle_service_that_comes_first(
    reports_by_service: bool,
) -> None:
    """A daemon of an earlier version does not report by service."""
    coordinator, peer = ServiceDaemon("first", engines()), ServiceDaemon("second", engines())
    coordinate_both(coordinator, peer)
    for daemon in (coordinator, peer):
        daemon.messages()
    peer.waiting = 8
    if reports_by_service:
        peer.report_used()
    for tick in range(20):
        now = SETTLED + tick * 0.02
        for daemon in (peer, coordinator):
            daemon.tick(now)
            deliver(now, coordinator, peer)
        if not reports_by_service:
            peer.waiting_by_service = ()
    assert len(peer.items) == 8


def test_a_peer_is_granted_no_slot_of_a_service_that_its_items_cannot_use() -> None:
    coordinator = SlotsDaemon("first", engines())
    coordinate_both(coordinator)
    rows = rows_by_service([{USED}] * 4, [], {USED, IDLE}, 64)
    report = HoldingsReport("peer", "z", address_of("peer"), 1, 1, (), 4, 0, 4, services=rows)
    coordinator.receive(SETTLED, report)
    coordinator.tick(SETTLED + 1.0)
    granted = {grant.service for grant in coordinator.fleet.ledger.holders["peer"].grants}
    assert granted == {USED}


def test_rows_divide_items_by_service_unless_all_services_can_run_all() -> None:
    assert rows_by_service([{"a", "b"}], [{"a", "b"}], {"a", "b"}, 64) == ()
    rows = rows_by_service([{"a"}, {"a", "b"}], [{"b"}], {"a", "b"}, 64)
    assert items_at(rows, "a") == ServiceItems(service_key("a"), 2, 0)
    assert items_at(rows, "b") == ServiceItems(service_key("b"), 1, 1)
    assert items_at(rows, "c") == ServiceItems(OTHER_SERVICES, 0, 0)
    left = rows_without_started(rows, "b", 2)
    assert items_at(left, "b") == ServiceItems(service_key("b"), 0, 0)
    assert items_at(left, "a") == items_at(rows, "a")


def test_services_without_a_row_of_their_own_share_the_last_one() -> None:
    services = [{f"service-{n:03d}"} for n in range(MAX_SERVICE_ROWS + 5)]
    rows = rows_by_service(services, [], {"service-000", "idle"}, 64)
    assert len(rows) == MAX_SERVICE_ROWS + 1
    assert all(items_at(rows, name).in_time == 1 for service in services for name in service)
