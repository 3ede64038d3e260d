import random

from tests.decisions.forwarding.worlds import server
from troutswitch.common import Address
from troutswitch.daemons.loadreport import LoadReport, ServerShare, server_key
from troutswitch.decisions.forwarding.servers import NO_SIZE, ServerRegistry
from troutswitch.decisions.peers.loads import PEERS_A_REPORT, PeerLoads, ReportReceived, SendReport
from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import AppendRecords, KeyedRecord, NewestPage

PEER = Address("10.0.0.2", 7)


class Fleet:
    """One daemon's view of its peers, with two servers."""

    def __init__(self) -> None:
        self.registry = ServerRegistry()
        self.registry.on_list(0.0, [server("a"), server("b")])
        self.loads = PeerLoads(
            "me",
            Address("10.0.0.1", 7),
            self.registry,
            lambda: 4,
            CallNumbers(),
            random.Random(1),
            lambda event, **fields: None,
        )

    def hear(
        self, now: float, sequence: int, life: int = 1, sender: str = "peer", **shares: int
    ) -> None:
        rows = tuple(ServerShare(server_key(n), count, 0, 2) for n, count in shares.items())
        report = LoadReport(sender, life, sequence, rows)
        self.loads.on_report(now, ReportReceived(PEER, report))

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
    fleet.hear(0.0, 1, a=3)
    assert fleet.loads.live_count(0.1) == 1
    fleet.reports(5.0)
    assert fleet.online("a") == 0
    assert fleet.loads.live_count(5.0) == 0


def test_own_requests_are_told_when_they_change_and_now_and_then() -> None:
    fleet = Fleet()
    fleet.hear(0.0, 1)
    assert len(fleet.reports(0.0)) == 1
    assert fleet.reports(0.2) == []
    fleet.registry.on_sent("a", False, NO_SIZE)
    (told,) = fleet.reports(0.4)
    assert told.report.shares == (ServerShare(server_key("a"), 1, 0, 0),)
    assert told.report.configuration_version == 4
    assert fleet.reports(0.6) == []
    assert len(fleet.reports(1.1)) == 1


def test_a_report_goes_to_a_bounded_number_of_peers() -> None:
    fleet = Fleet()
    for number in range(100):
        fleet.hear(0.0, 1, sender=f"peer-{number}")
    (told,) = fleet.reports(0.0)
    assert len(told.addresses) == PEERS_A_REPORT


def test_peers_are_found_in_the_store_and_own_address_is_put_there() -> None:
    fleet = Fleet()
    calls = fleet.loads.on_timer(0.0)
    (written,) = [call for call in calls if isinstance(call, AppendRecords)]
    (record,) = written.records
    assert record.key == "me"
    read = next(i.call for i in calls if not isinstance(i, AppendRecords | SendReport))
    rows = (record, KeyedRecord("other", record.value), KeyedRecord("bad", b"\xff"))
    fleet.loads.on_answer(0.1, read, NewestPage(rows, False, 3))
    assert set(fleet.loads.peers) == {"other"}
