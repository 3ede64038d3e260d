"""Records of which version began a stream, and searches for the origins of resumed streams."""

from troutswitch.common import Address
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import OriginQuery, OriginReply, StreamOrigins
from troutswitch.decisions.forwarding.types import EngineRecord
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.streams.origin_records import (
    MAX_ORIGINS,
    ORIGIN_SECONDS,
    Located,
    OriginRecords,
    StreamOrigin,
)
from troutswitch.decisions.streams.origins import (
    CONFIRMATION_SECONDS,
    HOLDERS,
    REPLY_SECONDS,
    STORE_SECONDS,
    UNKNOWN_ATTEMPT,
    OriginSearches,
)
from troutswitch.decisions.streams.store_knowledge import OUT_OF_TOUCH_SECONDS
from troutswitch.decisions.streams.versions import EngineVersions, service_key, version_key

SERVICE = "s"
NAMES = tuple(f"d-{number}" for number in range(8))
ADDRESSES = {name: Address("10.0.0.1", port) for port, name in enumerate(NAMES, 1)}


class Daemon:
    """The searches of one daemon, and what it sent."""

    def __init__(self, name: str, *versions: str, peers: tuple[str, ...] = NAMES) -> None:
        self.name = name
        self.versions = EngineVersions()
        self.list_versions(0.0, *versions)
        self.sent: list[SendToPeers] = []
        self.logged: list[tuple[str, dict[str, object]]] = []
        self.peers = {peer: ADDRESSES[peer] for peer in peers if peer != name}
        identity = DaemonIdentity(name, "z", ADDRESSES[name], 7)
        self.searches = OriginSearches(
            identity,
            self.versions,
            lambda: self.peers,
            self.sent.append,
            lambda event, **fields: self.logged.append((event, fields)),
        )

    def list_versions(self, now: float, *versions: str) -> None:
        address = Address("h", 1)
        self.versions.on_list(
            now, [EngineRecord(v, SERVICE, address, "z", 8, False, version=v) for v in versions]
        )
        self.versions.knowledge.on_list(now)


class Fleet:
    """Daemons that deliver each other's messages immediately."""

    def __init__(self, *versions: str) -> None:
        self.daemons = {name: Daemon(name, *versions) for name in NAMES}
        self.message_count = 0
        self.located: list[Located] = []

    def deliver(self, now: float) -> None:
        while any(daemon.sent for daemon in self.daemons.values()):
            for daemon in self.daemons.values():
                sent, daemon.sent[:] = list(daemon.sent), []
                for instruction in sent:
                    self.message_count += len(instruction.addresses)
                    self._receive(now, instruction)

    def _receive(self, now: float, instruction: SendToPeers) -> None:
        for receiver in self.daemons.values():
            if ADDRESSES[receiver.name] not in instruction.addresses:
                continue
            match instruction.message:
                case StreamOrigins() as origins:
                    receiver.searches.on_origins(now, origins)
                case OriginQuery() as query:
                    receiver.searches.on_query(now, query)
                case OriginReply() as reply:
                    located = receiver.searches.on_reply(now, reply)
                    self.located += [located] if located is not None else []


def origin(version: str, attempt: int = 1) -> StreamOrigin:
    return StreamOrigin(service_key(SERVICE), version_key(version), attempt)


def test_one_version_needs_no_message() -> None:
    fleet = Fleet("v1")
    fleet.daemons["d-0"].searches.on_begun(0.0, "first", SERVICE, "v1", 1)
    located = fleet.daemons["d-1"].searches.locate(0.1, 1, "first", SERVICE)
    assert located == Located(1, origin("v1", UNKNOWN_ATTEMPT))
    assert not any(daemon.sent for daemon in fleet.daemons.values())


def test_holders_know_the_origin_after_the_daemon_that_began_the_stream_is_gone() -> None:
    fleet = Fleet("v1", "v2")
    fleet.daemons["d-0"].searches.on_begun(0.0, "first", SERVICE, "v2", 1)
    fleet.deliver(0.0)
    assert fleet.message_count <= HOLDERS
    del fleet.daemons["d-0"]
    resumed = fleet.daemons["d-1"].searches.locate(0.1, 5, "first", SERVICE)
    fleet.deliver(0.1)
    assert [resumed, *fleet.located][-1] == Located(5, origin("v2"))


def test_daemon_that_knew_of_one_version_is_asked_if_no_holder_knows() -> None:
    fleet = Fleet("v1", "v2")
    beginner = fleet.daemons["d-0"] = Daemon("d-0", "v1")
    beginner.searches.on_begun(0.0, "first", SERVICE, "v1", 1)
    assert fleet.daemons["d-1"].searches.locate(0.1, 5, "first", SERVICE) is None
    fleet.deliver(0.1)
    assert fleet.located == [Located(5, origin("v1"))]


def test_recent_origins_are_published_when_the_service_becomes_mixed() -> None:
    fleet = Fleet("v1", "v2")
    beginner = fleet.daemons["d-0"] = Daemon("d-0", "v1")
    beginner.searches.on_begun(0.0, "first", SERVICE, "v1", 1)
    beginner.list_versions(1.0, "v1", "v2")
    assert not list(beginner.searches.on_timer(1.0))
    fleet.deliver(1.0)
    del fleet.daemons["d-0"]
    resumed = fleet.daemons["d-1"].searches.locate(1.1, 5, "first", SERVICE)
    fleet.deliver(1.1)
    assert [resumed, *fleet.located][-1] == Located(5, origin("v1"))


def test_unknown_origin_ends_the_search() -> None:
    fleet = Fleet("v1", "v2")
    assert fleet.daemons["d-1"].searches.locate(0.0, 5, "never", SERVICE) is None
    fleet.deliver(0.0)
    assert fleet.located == [Located(5, None)]
    unnamed = fleet.daemons["d-1"].searches.locate(0.0, 6, "", SERVICE)
    assert unnamed == Located(6, None)


def test_peers_that_do_not_reply_end_the_search_after_two_rounds() -> None:
    daemon = Daemon("d-1", "v1", "v2")
    assert daemon.searches.locate(0.0, 5, "first", SERVICE) is None
    assert not list(daemon.searches.on_timer(REPLY_SECONDS / 2))
    assert not list(daemon.searches.on_timer(REPLY_SECONDS))
    assert list(daemon.searches.on_timer(2 * REPLY_SECONDS)) == [Located(5, None)]
    asked = [address for sent in daemon.sent for address in sent.addresses]
    assert sorted(asked) == sorted(daemon.peers.values())


def test_late_reply_and_reply_to_an_earlier_process_have_no_effect() -> None:
    daemon = Daemon("d-1", "v1", "v2")
    daemon.searches.locate(0.0, 5, "first", SERVICE)
    assert daemon.searches.on_reply(0.1, OriginReply("d-2", 6, 1)) is None
    daemon.searches.withdraw(5)
    assert daemon.searches.on_reply(0.1, OriginReply("d-2", 7, 1)) is None
    assert daemon.searches.next_due() == float("inf")


def test_unconfirmed_daemon_waits_for_the_store_before_it_asks_peers() -> None:
    daemon = Daemon("d-1", "v1")
    assert daemon.searches.locate(9.0, 5, "first", SERVICE) is None
    assert daemon.versions.knowledge.wanted_at == 9.0
    assert not list(daemon.searches.on_timer(9.05))
    daemon.versions.knowledge.on_list(9.0)
    assert list(daemon.searches.on_timer(9.05)) == [Located(5, origin("v1", UNKNOWN_ATTEMPT))]
    assert not daemon.sent


def test_answer_to_a_request_before_a_suspension_confirms_nothing() -> None:
    """Guards against a list that lay in a queue while the process stood still."""
    daemon = Daemon("d-1", "v1")
    assert daemon.searches.locate(9.0, 5, "first", SERVICE) is None
    daemon.versions.on_list(9.01, [])
    daemon.versions.knowledge.on_list(3.0)
    assert not list(daemon.searches.on_timer(9.01))


def test_unconfirmed_daemon_refuses_if_neither_the_store_nor_a_peer_tells() -> None:
    """Guards against a daemon without contact that continues a stream at the version it knows."""
    daemon = Daemon("d-1", "v1")
    assert daemon.searches.locate(20.0, 6, "first", SERVICE) is None
    due = 20.0
    while not (ended := list(daemon.searches.on_timer(due))):
        assert due < 20.0 + CONFIRMATION_SECONDS
        due = daemon.searches.next_due()
    assert ended == [Located(6, None)]
    assert due == 20.0 + CONFIRMATION_SECONDS
    ((event, fields), *_) = daemon.logged
    assert event == "versions not confirmed"
    assert fields["state"] == "list not read lately"
    assert fields["known_ms"] == round(1000 * due)
    asked = [address for sent in daemon.sent for address in sent.addresses]
    assert sorted(asked) == sorted(daemon.peers.values())


def test_unconfirmed_daemon_continues_a_stream_that_a_peer_began() -> None:
    """Guards against refusals of all resumptions while the store is away for all."""
    fleet = Fleet("v1")
    fleet.daemons["d-0"].searches.on_begun(8.0, "first", SERVICE, "v1", 1)
    searches = fleet.daemons["d-1"].searches
    assert searches.locate(9.0, 5, "first", SERVICE) is None
    assert not list(searches.on_timer(9.0 + STORE_SECONDS))
    fleet.deliver(9.0 + STORE_SECONDS)
    assert fleet.located == [Located(5, origin("v1"))]


def test_stream_of_a_killed_daemon_continues_while_the_store_is_away_for_all() -> None:
    """Guards against streams that end because their version can't be confirmed."""
    fleet = Fleet("v1")
    beginner = fleet.daemons["d-0"]
    beginner.searches.on_begun(8.0, "first", SERVICE, "v1", 1)
    beginner.versions.knowledge.failing_since = 8.2
    assert not list(beginner.searches.on_timer(8.2))
    assert not beginner.sent
    assert not list(beginner.searches.on_timer(8.2 + OUT_OF_TOUCH_SECONDS))
    beginner.searches.on_begun(8.7, "second", SERVICE, "v1", 1)
    assert not list(beginner.searches.on_timer(8.7))
    fleet.deliver(8.7)
    assert fleet.message_count <= 2 * HOLDERS
    del fleet.daemons["d-0"]
    searches = fleet.daemons["d-1"].searches
    for token, stream in enumerate(("first", "second")):
        located = searches.locate(9.0, token, stream, SERVICE)
        fleet.located += [located] if located is not None else []
    assert not list(searches.on_timer(9.0 + STORE_SECONDS))
    fleet.deliver(9.0 + STORE_SECONDS)
    assert sorted(found.token for found in fleet.located) == [0, 1]
    assert {found.location for found in fleet.located} == {origin("v1")}


def test_unconfirmed_daemon_asks_once_it_learns_of_a_second_version() -> None:
    daemon = Daemon("d-1", "v1")
    assert daemon.searches.locate(9.0, 5, "first", SERVICE) is None
    daemon.list_versions(9.05, "v1", "v2")
    assert not list(daemon.searches.on_timer(9.05))
    assert daemon.sent


def test_resumed_stream_is_bound_to_the_only_version() -> None:
    """Guards against a stream that waits for an engine and gets one of a version listed later."""
    daemon = Daemon("d-1", "v1")
    bound = Located(5, origin("v1", UNKNOWN_ATTEMPT))
    assert daemon.searches.locate(0.1, 5, "first", SERVICE) == bound
    assert daemon.searches.locate(0.1, 5, "", SERVICE) == bound


def test_service_without_a_known_version_has_no_origin() -> None:
    """Guards against a stream that goes to the first engine which is listed."""
    daemon = Daemon("d-1")
    assert daemon.searches.locate(0.1, 5, "first", SERVICE) == Located(5, None)


def test_single_daemon_continues_the_streams_that_it_began_without_confirmation() -> None:
    daemon = Daemon("d-1", "v1", peers=())
    daemon.searches.on_begun(0.0, "first", SERVICE, "v1", 1)
    assert daemon.searches.locate(9.0, 5, "first", SERVICE) == Located(5, origin("v1"))
    daemon.list_versions(9.0, "v1")
    bound = Located(6, origin("v1", UNKNOWN_ATTEMPT))
    assert daemon.searches.locate(9.0, 6, "of another process", SERVICE) == bound


def test_daemon_that_knows_no_peer_does_not_vouch_for_an_old_list() -> None:
    """Guards against a cut-off daemon that takes itself for the only one."""
    daemon = Daemon("d-1", "v1", peers=())
    assert daemon.searches.locate(9.0, 5, "first", SERVICE) is None
    assert not list(daemon.searches.on_timer(9.0 + STORE_SECONDS))
    end = 9.0 + CONFIRMATION_SECONDS
    assert list(daemon.searches.on_timer(end)) == [Located(5, None)]


def test_origin_is_searched_if_the_route_has_several_services() -> None:
    """Guards against a stream that goes on at another service than the one that began it."""
    fleet = Fleet("v1")
    begun, resumed = fleet.daemons["d-0"].searches, fleet.daemons["d-1"].searches
    assert resumed.locate(0.0, 4, "unknown", "other", is_only_service=False) is None
    fleet.deliver(0.0)
    assert fleet.located == [Located(4, None)]
    begun.on_begun(0.0, "first", SERVICE, "v1", 1, is_only_service=False)
    fleet.deliver(0.0)
    del fleet.daemons["d-0"]
    located = resumed.locate(0.1, 5, "first", "other", is_only_service=False)
    fleet.deliver(0.1)
    assert [located, *fleet.located][-1] == Located(5, origin("v1"))


def test_later_attempt_of_a_request_replaces_its_origin() -> None:
    records = OriginRecords()
    records.add(0.0, 1, origin("v1", 1), is_own=True)
    records.add(0.1, 1, origin("v2", 2), is_own=True)
    records.add(0.2, 1, origin("v1", 1), is_own=False)
    assert records.find(0.2, 1) == origin("v2", 2)


def test_records_are_bounded_in_time_and_number() -> None:
    records = OriginRecords()
    records.add(0.0, 0, origin("v1"), is_own=True)
    assert records.find(ORIGIN_SECONDS, 0) is None
    for stream in range(1, MAX_ORIGINS + 10):
        records.add(1.0, stream, origin("v1"), is_own=True)
    assert len(records) == MAX_ORIGINS
