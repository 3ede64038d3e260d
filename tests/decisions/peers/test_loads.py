import random

from tests.decisions.forwarding.worlds import server
from troutswitch.common import Address
from troutswitch.daemons.loadreport import LoadReport, ServerShare, server_key
from troutswitch.decisions.forwarding.experience import Experience
from troutswitch.decisions.forwarding.servers import NO_SIZE, ServerRegistry
from troutswitch.decisions.peers.directory import DirectoryEntry
from troutswitch.decisions.peers.loads import PeerLoads, ReportReceived, SendReport, WaitingItems
from troutswitch.decisions.peers.spread import (
    REPORT_SECONDS,
    REPORTS_AT_ONCE,
    REPORTS_TAKEN_A_SECOND,
    ReportPace,
    quiet_interval,
    report_interval,
    silence_limit,
)

PEER = Address("10.0.0.2", 7)


class Fleet:
    """One daemon's view of its peers, with two servers."""

    def __init__(self) -> None:
        self.registry = ServerRegistry()
        self.registry.on_list(0.0, [server("a"), server("b")])
        self.waiting = 0
        self.loads = PeerLoads(
            "me",
            "here",
            Address("10.0.0.1", 7),
            self.registry,
            lambda: 4,
            lambda: WaitingItems(self.waiting, 0),
            lambda: self.waiting,
            random.Random(1),
        )

    def hear(
        self,
        now: float,
        sequence: int,
        life: int = 1,
        sender: str = "peer",
        zone: str = "here",
        address: Address = PEER,
        spreads: bool = False,
        waiting: int = 0,
        **shares: int,
    ) -> list[SendReport]:
        rows = tuple(ServerShare(server_key(n), count, 0, 2) for n, count in shares.items())
        report = LoadReport(
            sender, zone, address, life, sequence, rows, waiting_items=waiting, spreads=spreads
        )
        return self.loads.on_report(now, ReportReceived(report))

    def online(self, name: str) -> int:
        return self.registry.servers[name].peers_online

    def reports(self, now: float) -> list[SendReport]:
        return [i for i in self.loads.on_timer(now) if isinstance(i, SendReport)]


def test_a_newer_report_takes_the_place_of_the_older() -> None:
    fleet = Fleet()
    fleet.hear(0.0, 1, a=3)
    fleet.hear(0.1, 2, b=2)
    assert (fleet.online("a"), fleet.online("b")) == (0, 2)
    assert fleet.registry.servers["b"].peers_prefill_tokens == 512


def test_a_late_report_changes_nothing() -> None:
    fleet = Fleet()
    fleet.hear(0.0, 2, a=3)
    fleet.hear(0.1, 1, a=9)
    assert fleet.online("a") == 3


def test_a_new_life_begins_its_sequence_anew() -> None:
    fleet = Fleet()
    fleet.hear(0.0, 50, a=3)
    fleet.hear(0.1, 1, life=2, a=1)
    assert fleet.online("a") == 1


def test_a_peer_that_falls_silent_no_longer_counts() -> None:
    fleet = Fleet()
    fleet.hear(0.0, 1, a=3, waiting=2)
    assert fleet.loads.waiting_items().in_time == 2
    fleet.reports(5.0)
    assert fleet.online("a") == 0
    assert fleet.loads.waiting_items().in_time == 0


def test_own_requests_are_told_when_they_change_and_now_and_then() -> None:
    fleet = Fleet()
    fleet.hear(0.0, 1)
    assert len(fleet.reports(0.0)) == 1
    assert fleet.reports(0.2) == []
    fleet.registry.on_sent(0.0, "a", False, NO_SIZE)
    (told,) = fleet.reports(0.4)
    assert told.report.shares == (ServerShare(server_key("a"), 1, 0, 0),)
    assert told.report.configuration_version == 4
    assert fleet.reports(0.6) == []
    assert len(fleet.reports(1.1)) == 1


def test_a_report_crosses_to_each_other_zone_once() -> None:
    fleet = Fleet()
    near = [Address("10.0.0.2", port) for port in range(4)]
    far = [Address("10.0.1.2", port) for port in range(5)]
    for address in near:
        fleet.hear(0.0, 1, sender=f"near-{address.port}", address=address)
    for address in far:
        fleet.hear(0.0, 1, sender=f"far-{address.port}", address=address, zone="there")
    direct, relayed = fleet.reports(0.0)
    assert sorted(a.port for a in direct.addresses) == [0, 1, 2, 3]
    assert not direct.report.spreads
    assert len(relayed.addresses) == 1
    assert relayed.addresses[0] in far
    assert relayed.report.spreads


def test_a_report_that_spreads_is_passed_on_in_this_zone_once() -> None:
    fleet = Fleet()
    near = Address("10.0.0.2", 1)
    far = Address("10.0.1.2", 2)
    fleet.hear(0.0, 1, sender="near", address=near)
    (passed,) = fleet.hear(0.0, 1, sender="far", address=far, zone="there", spreads=True, a=2)
    assert passed.addresses == (near,)
    assert not passed.report.spreads
    assert passed.report.address == far
    assert fleet.online("a") == 2
    again = fleet.hear(0.0, 1, sender="far", address=far, zone="there", spreads=True, a=2)
    assert again == []


def test_a_relay_that_fell_silent_is_not_drawn_while_another_lives() -> None:
    fleet = Fleet()
    fleet.hear(0.0, 1, sender="silent", address=Address("10.0.1.2", 1), zone="there")
    live = Address("10.0.1.2", 2)
    for number in range(30):
        now = 3.0 + number
        fleet.hear(now, number, sender="live", address=live, zone="there")
        relayed = [told for told in fleet.reports(now) if told.report.spreads]
        assert [told.addresses for told in relayed] == [(live,)]


def test_the_reports_that_a_daemon_takes_do_not_grow_with_the_fleet() -> None:
    for peers in (10, 100, 700):
        assert peers / report_interval(peers) <= REPORTS_TAKEN_A_SECOND
        assert silence_limit(peers) > 2 * quiet_interval(peers)


def test_the_items_that_wait_are_told() -> None:
    fleet = Fleet()
    fleet.hear(0.0, 1)
    fleet.waiting = 7
    (told,) = fleet.reports(0.0)
    assert told.report.waiting_items == 7


def test_peers_are_met_through_the_directory_once() -> None:
    fleet = Fleet()
    for name in ("other", "other", "me"):
        fleet.loads.meet(0.0, DirectoryEntry(name, PEER, "there", Experience()))
    assert set(fleet.loads.peers) == {"other"}
    assert fleet.loads.peers["other"].address == PEER


def test_a_change_is_told_at_once_and_many_at_the_fleet_s_pace() -> None:
    pace = ReportPace()
    peers = 80
    sent = []
    now = 100.0
    while now < 110.0:
        if now >= pace.next_at(peers):
            pace.on_sent(now, peers)
            sent.append(now)
        now += REPORT_SECONDS / 2
    first = [at for at in sent if at < 100.2]
    assert len(first) == REPORTS_AT_ONCE
    assert len(sent) * peers <= 10.0 * REPORTS_TAKEN_A_SECOND + REPORTS_AT_ONCE * peers
