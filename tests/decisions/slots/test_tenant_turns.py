"""Free slots for items are fair between tenants of a paced service.

The load: engines of 8 slots whose items end one at a time, and tenants of which one has many more
items waiting than the others, at the same daemon or at several.
"""

from collections.abc import Callable

import pytest

from tests.decisions.slots.harness import GROUP, ZONE, SlotsDaemon, address_of, deliver, record
from troutswitch.daemons import datagram
from troutswitch.daemons.messages import (
    MAX_PACES,
    MAX_TENANT_NAME_BYTES,
    OTHER_TENANTS,
    BatchSlotGrant,
    EngineShare,
    HoldingsReport,
    PacedReport,
    PaceReading,
    QueuedSlotRequest,
    SlotRequest,
    TenantItems,
)
from troutswitch.decisions.jobs.waiting_tenants import rows_by_tenant
from troutswitch.decisions.slots.batch_slots import ASSIGN_SECONDS
from troutswitch.decisions.slots.coordinator import GRACE_SECONDS
from troutswitch.decisions.slots.reports import REFRESH_SECONDS, REPORT_SECONDS
from troutswitch.decisions.slots.tenant_turns import MAX_DEFICIT_SLOTS, TenantTurns
from troutswitch.gateway.daemons.peer_socket import MAX_DATAGRAM_BYTES

NOW = 5.0


def fleet(*names: str, paced: bool = True, engines: int = 1) -> list[SlotsDaemon]:
    """Returns daemons of which the first coordinates the engines, after its grace period."""
    records = [record(f"s{n}") for n in range(engines)]
    daemons = [SlotsDaemon(name, records) for name in names]
    daemons[0].coordinate(NOW, *daemons[1:])
    for daemon in daemons:
        if paced:
            daemon.make_paced(NOW)
            daemon.fleet.queueing.on_message(daemons[0].name, 0, queues=True)
        daemon.messages()
    return daemons


def play(
    daemons: list[SlotsDaemon],
    steps: int,
    keep: Callable[[object], bool] = lambda message: True,
    start: float = NOW + GRACE_SECONDS,
) -> float:
    """Lets the oldest item of one daemon end in each step of 20 ms; returns the time at the end."""
    now = start
    for step in range(steps):
        now = start + step * ASSIGN_SECONDS
        for daemon in daemons:
            daemon.tick(now)
        deliver(now, *daemons, keep=keep)
        running = [daemon for daemon in daemons if daemon.items]
        if running:
            daemon = running[step % len(running)]
            daemon.end_item(now, daemon.items[0])
    return now


def started(daemons: list[SlotsDaemon]) -> list[str]:
    return [tenant for daemon in daemons for tenant in daemon.started_tenants]


@pytest.mark.parametrize("small_daemon", [1, 2])
def test_tenant_with_40_items_gets_half_of_the_slots_beside_one_with_400(small_daemon: int) -> None:
    """Guards against shares by the number of items: the small tenant would get 1 slot of 11."""
    daemons = fleet("first", "second", "third")
    daemons[1].add_items("large", 400)
    daemons[small_daemon].add_items("small", 40)
    play(daemons, 60)
    counts = {tenant: started(daemons).count(tenant) for tenant in ("large", "small")}
    assert sum(counts.values()) >= 50
    assert abs(counts["large"] - counts["small"]) <= 4
    play(daemons, 400, start=NOW + 10.0)
    assert started(daemons).count("small") == 40


def test_single_item_behind_a_backlog_starts_with_the_next_slots() -> None:
    """Guards against an item that waits until the backlog of another tenant is done."""
    daemons = fleet("first", "second")
    daemons[1].add_items("large", 400)
    now = play(daemons, 20)
    before = len(daemons[1].started_tenants)
    daemons[1].add_items("small", 1)
    play(daemons, 8, start=now + ASSIGN_SECONDS)
    assert "small" in daemons[1].started_tenants[before : before + 4]


def test_items_of_daemons_that_report_no_tenants_count_as_one_tenant() -> None:
    """Guards against a daemon of an earlier version that gets no slots, or more than a tenant."""
    coordinator, old, new = daemons = fleet("first", "old", "new")
    old.waiting = 400
    new.add_items("small", 40)
    play(daemons, 50)
    old_started = 400 - old.waiting
    new_started = len(new.started_tenants)
    assert old_started + new_started >= 40
    assert abs(old_started - new_started) <= 4
    assert coordinator.fleet.ledger.holders["old"].tenants == ()


def test_coordinators_own_items_are_granted_by_tenant() -> None:
    (only,) = daemons = fleet("first")
    only.add_items("large", 400)
    only.add_items("small", 40)
    play(daemons, 40)
    assert abs(only.started_tenants.count("small") - only.started_tenants.count("large")) <= 2
    assert "batch slots granted" in only.log_events


def test_lost_and_doubled_messages_give_no_tenant_more_than_its_share() -> None:
    """Guards against turns that are lost with a datagram, or granted twice with a doubled one."""
    daemons = fleet("first", "second", "third")
    daemons[1].add_items("large", 400)
    daemons[2].add_items("small", 100)
    holders = {"large": daemons[1], "small": daemons[2]}
    seen = 0
    received: list[BatchSlotGrant] = []

    def keep(message: object) -> bool:
        nonlocal seen
        seen += 1
        for grant in received:
            assert grant.tenant is not None
            holders[grant.tenant].receive(NOW + GRACE_SECONDS, grant)
        received.clear()
        is_kept = seen % 7 != 0
        if is_kept and isinstance(message, BatchSlotGrant) and message.count > 0:
            received.append(message)
        return is_kept

    play(daemons, 150, keep)
    large, small = (started(daemons).count(tenant) for tenant in ("large", "small"))
    assert large + small >= 80
    assert min(large, small) >= 0.4 * (large + small)


def test_unpaced_service_keeps_its_messages_and_draws() -> None:
    """Guards against a change of decisions for engines that report no pace."""
    daemons = fleet("first", "second", paced=False)
    daemons[1].add_items("large", 400)
    daemons[1].add_items("small", 40)
    sent: list[object] = []

    def keep(message: object) -> bool:
        sent.append(message)
        return True

    play(daemons, 30, keep)
    assert not any(isinstance(message, PacedReport) for message in sent)
    grants = [message for message in sent if isinstance(message, BatchSlotGrant)]
    assert grants
    assert all(grant.tenant is None for grant in grants)
    assert set(started(daemons)) == {"large"}
    assert "batch slots granted" not in daemons[0].log_events


def test_coordinator_of_an_earlier_version_is_sent_plain_reports() -> None:
    """It ignores reports with a tag that it does not know, and would lose the holdings."""
    _, peer = fleet("first", "second")
    peer.fleet.queueing.forget("first")
    peer.add_items("small", 3)
    peer.tick(NOW)
    assert [type(message) for message in peer.messages()] == [HoldingsReport]


def test_daemon_that_learns_that_a_coordinator_reads_tenants_reports_them_at_once() -> None:
    _, peer = fleet("first", "second")
    peer.fleet.queueing.forget("first")
    peer.add_items("small", 3)
    peer.tick(NOW)
    peer.messages()
    peer.fleet.queueing.on_message("first", 0, queues=True)
    peer.tick(NOW + REPORT_SECONDS)
    (message,) = peer.messages()
    assert isinstance(message, PacedReport)
    assert message.tenants == (TenantItems("small", 3, 0),)


def test_report_in_a_queued_request_divides_the_items_too() -> None:
    """Guards against rows that stay old because frequent requests delay the periodic report."""
    coordinator, peer = fleet("first", "second")
    peer.add_items("small", 3)
    peer.queue_slot(NOW, 1)
    (message,) = peer.messages()
    assert isinstance(message, QueuedSlotRequest)
    coordinator.receive(NOW, message)
    assert coordinator.fleet.ledger.holders["second"].tenants == (TenantItems("small", 3, 0),)
    peer.tick(NOW + REPORT_SECONDS)
    assert not any(isinstance(message, PacedReport) for message in peer.messages())


def test_report_without_room_for_tenants_keeps_the_division_of_the_one_before() -> None:
    coordinator, peer = fleet("first", "second")
    peer.add_items("small", 3)
    peer.tick(NOW)
    deliver(NOW, coordinator, peer)
    rows = coordinator.fleet.ledger.holders["second"].tenants
    assert list(rows) == [TenantItems("small", 3, 0)]
    report = HoldingsReport("second", ZONE, address_of("second"), peer_incarnation(peer), 99)
    coordinator.receive(NOW, SlotRequest(report, 1, GROUP, 0, 10))
    assert list(coordinator.fleet.ledger.holders["second"].tenants) == list(rows)
    plain = HoldingsReport("second", ZONE, address_of("second"), peer_incarnation(peer), 100)
    coordinator.receive(NOW + REFRESH_SECONDS, plain)
    assert not coordinator.fleet.ledger.holders["second"].tenants


def peer_incarnation(daemon: SlotsDaemon) -> int:
    return daemon.fleet.coordinator._identity.incarnation


def test_daemons_of_an_earlier_version_read_the_messages_without_the_new_fields() -> None:
    """They ignore trailing fields; a message without tenants has the bytes that it had before."""
    grant = BatchSlotGrant("first", 1, GROUP, 2, 3, 4)
    named = datagram.encode(BatchSlotGrant("first", 1, GROUP, 2, 3, 4, "small"))
    assert datagram.decode(datagram.encode(grant)) == grant
    assert len(datagram.encode(grant)) + len("small") + 1 == len(named)


def test_tenant_makes_up_for_slots_that_its_items_could_not_use() -> None:
    turns = TenantTurns()
    turns.update({"anywhere", "limited"})
    for _ in range(2 * MAX_DEFICIT_SLOTS):
        assert turns.take(lambda tenant: tenant == "anywhere") == "anywhere"
    taken = [turns.take(lambda tenant: True) for _ in range(2 * MAX_DEFICIT_SLOTS)]
    assert taken[: MAX_DEFICIT_SLOTS + 1].count("limited") >= MAX_DEFICIT_SLOTS - 1
    assert taken[MAX_DEFICIT_SLOTS + 2 :].count("anywhere") >= MAX_DEFICIT_SLOTS // 2 - 1


def test_tenant_without_waiting_items_keeps_no_deficit() -> None:
    """Guards against a tenant that saves slots while it has nothing to run."""
    turns = TenantTurns()
    turns.update({"anywhere", "limited"})
    for _ in range(MAX_DEFICIT_SLOTS):
        turns.take(lambda tenant: tenant == "anywhere")
    turns.update({"anywhere"})
    turns.update({"anywhere", "limited"})
    taken = [turns.take(lambda tenant: True) for _ in range(6)]
    assert taken.count("limited") == 3


def test_slot_that_no_tenant_can_use_changes_no_turn() -> None:
    turns = TenantTurns()
    turns.update({"a", "b"})
    assert turns.take(lambda tenant: False) is None
    assert [turns.take(lambda tenant: True) for _ in range(4)] == ["a", "b", "a", "b"]
    assert turns.share("a").slots_of_all == 4


def test_tenants_without_a_row_share_one_turn() -> None:
    """The load: 40 tenants with one item each at one daemon, which reports 16 of them by name."""
    daemons = fleet("first", "second")
    for number in range(40):
        daemons[1].add_items(f"tenant-{number:02}", 1)
    daemons[1].tick(NOW)
    (message,) = daemons[1].messages()
    assert isinstance(message, PacedReport)
    assert len(message.tenants) == 17
    assert message.tenants[-1] == TenantItems(OTHER_TENANTS, 24, 0)
    daemons[0].receive(NOW, message)
    play(daemons, 120)
    assert len(started(daemons)) == 40


def grants_after_reports(*rows: tuple[str, TenantItems]) -> dict[tuple[str, str | None], int]:
    """Returns the slots granted at 64 free ones, by daemon and tenant, after one report each."""
    (coordinator,) = fleet("first", engines=8)
    now = NOW + GRACE_SECONDS + ASSIGN_SECONDS
    for name, row in rows:
        report = HoldingsReport(
            name, ZONE, address_of(name), 1, 1, (), row.in_time, row.late, row.in_time + row.late
        )
        coordinator.receive(now, PacedReport(report, (), (row,)))
    coordinator.tick(now)
    names = {address_of(name): name for name, _ in rows}
    granted: dict[tuple[str, str | None], int] = {}
    for sent in coordinator.outbox:
        if isinstance(sent.message, BatchSlotGrant):
            key = names[sent.addresses[0]], sent.message.tenant
            granted[key] = granted.get(key, 0) + sent.message.count
    return granted


def test_late_items_get_each_eighth_slot_of_their_own_tenant() -> None:
    """Guards against a count of slots over all tenants: with two, each eighth is the same one's."""
    assert grants_after_reports(
        ("punctual", TenantItems("a", 100, 0)),
        ("behind", TenantItems("a", 0, 100)),
        ("other", TenantItems("b", 100, 0)),
    ) == {("punctual", "a"): 28, ("behind", "a"): 4, ("other", "b"): 32}


def test_tenant_with_few_items_leaves_the_other_slots_to_the_others() -> None:
    """Guards against slots that stay free because a tenant can't use its turn."""
    assert grants_after_reports(
        ("one", TenantItems("a", 3, 0)),
        ("two", TenantItems("", 0, 5)),
        ("three", TenantItems("b", 100, 0)),
    ) == {("one", "a"): 3, ("two", ""): 5, ("three", "b"): 56}


def test_longest_rows_fit_in_a_datagram_with_paces_and_200_engines() -> None:
    """Guards against reports that are cut off when received, and then lost with their holdings."""
    shares = tuple(EngineShare(2**32 - n, 8, 8, 9_999) for n in range(1, 201))
    report = HoldingsReport(
        "d" * 64, ZONE, address_of("d"), 2**63, 2**31, shares, 64, 64, 400, 2**63, 2**31
    )
    paces = tuple(PaceReading(2**32 - n, 9_999, 30_000) for n in range(1, MAX_PACES + 1))
    names = [f"{n:02}".ljust(MAX_TENANT_NAME_BYTES, "x") for n in range(40)]
    rows = rows_by_tenant(names * 20, names * 20, 64)
    assert len(datagram.encode(PacedReport(report, paces, rows))) <= MAX_DATAGRAM_BYTES
