"""Notices of draining and removed engines spread from one daemon to all others."""

import random

from tests.decisions.forwarding.harness import engine
from troutswitch.common import Address
from troutswitch.daemons import datagram
from troutswitch.daemons.messages import EngineDrainNotice
from troutswitch.decisions.forwarding.engines import DRAIN_NOTICE_SECONDS, EngineRegistry
from troutswitch.decisions.peers.drain_notices import (
    MAX_ENGINES_PER_NOTICE,
    NOTICE_DELAY_SECONDS,
    DrainNotices,
)
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.gateway.daemons.peer_socket import MAX_DATAGRAM_BYTES
from troutswitch.platform.configuration import MAX_ENGINE_ID_BYTES
from troutswitch.platform.engine_ids import incarnation_id

FLEET = 300
PACKET_BYTES = 1400


def make_drain_notices(number: int = 0, fleet: int = FLEET, is_needed: bool = True) -> DrainNotices:
    peers = [Address("10.0.0.1", other) for other in range(fleet) if other != number]
    return DrainNotices(f"d{number}", lambda: peers, lambda: is_needed, random.Random(number))


def decoded_notice(sent: list[SendToPeers]) -> EngineDrainNotice:
    message = datagram.decode(datagram.encode(sent[0].message))
    assert isinstance(message, EngineDrainNotice)
    return message


def test_notice_reaches_nearly_all_daemons_in_a_few_rounds() -> None:
    """Guards against requests to draining engines in a fleet that reads the list rarely. Without
    notices, in a fleet of 300 daemons, one reached an engine 3,377 ms after it began to drain."""
    fleet = [make_drain_notices(number) for number in range(FLEET)]
    fleet[0].on_list_read(0.0, ["s1"], ["s2"])
    reached = {0}
    now = 0.0
    for _ in range(5):
        now += NOTICE_DELAY_SECONDS
        for sent in [message for daemon in fleet for message in daemon.on_timer(now)]:
            notice = decoded_notice([sent])
            for address in sent.addresses:
                draining, left = fleet[address.port].on_notice(now, notice)
                if draining or left:
                    reached.add(address.port)
    assert len(reached) >= FLEET - 2


def test_each_daemon_sends_one_notice_of_a_change() -> None:
    drain_notices = make_drain_notices()
    drain_notices.on_list_read(0.0, ["s1"], [])
    assert decoded_notice(drain_notices.on_timer(NOTICE_DELAY_SECONDS)).draining == ("s1",)
    assert drain_notices.on_notice(0.1, EngineDrainNotice("other", ("s1",), ())) == ([], [])
    drain_notices.on_list_read(0.2, ["s1"], [])
    assert drain_notices.on_timer(1.0) == []


def test_second_removal_of_an_engine_that_was_listed_again_is_new() -> None:
    drain_notices = make_drain_notices()
    drain_notices.on_list_read(0.0, [], ["s1"])
    drain_notices.on_timer(NOTICE_DELAY_SECONDS)
    drain_notices.on_listed_again(["s1"])
    assert drain_notices.on_notice(1.0, EngineDrainNotice("other", (), ("s1",))) == ([], ["s1"])


def test_no_notice_is_sent_while_the_list_is_read_often() -> None:
    drain_notices = make_drain_notices(is_needed=False)
    drain_notices.on_list_read(0.0, ["s1"], ["s2"])
    assert drain_notices.next_due() == float("inf")


def test_notice_of_maximum_size_fits_into_a_packet() -> None:
    drain_notices = make_drain_notices()
    drain_notices.on_list_read(0.0, [f"i-{number:010x}" for number in range(100)], [])
    sent = drain_notices.on_timer(NOTICE_DELAY_SECONDS)
    assert len(decoded_notice(sent).draining) == MAX_ENGINES_PER_NOTICE
    assert len(datagram.encode(sent[0].message)) <= PACKET_BYTES
    assert drain_notices.next_due() < float("inf")


def test_engine_in_a_notice_is_unused_until_a_later_list_contains_it() -> None:
    registry = EngineRegistry()
    records = [engine("s0"), engine("s1")]
    registry.on_list(0.0, records)
    registry.on_drain_notice(1.0, ["s1", "unknown"])
    assert [listed.record.engine_id for listed in registry.of_service("s")] == ["s0"]
    # This list may have been read before the removal.
    registry.on_list(1.0 + DRAIN_NOTICE_SECONDS / 2, records)
    assert [listed.record.engine_id for listed in registry.of_service("s")] == ["s0"]
    registry.on_list(1.1 + DRAIN_NOTICE_SECONDS, records)
    assert len(registry.of_service("s")) == 2


def test_notice_of_engines_with_the_longest_ids_is_not_too_long_to_be_sent() -> None:
    """Guards against entries of another writer that keep the notice of a sound engine back."""
    odd = [incarnation_id(f"{n:05d}" + "x" * (MAX_ENGINE_ID_BYTES - 5), 2**53) for n in range(99)]
    drain_notices = make_drain_notices()
    drain_notices.on_list_read(0.0, [*odd, "sound"], [])
    noted: list[str] = []
    now = 0.0
    while drain_notices.next_due() < float("inf"):
        now += NOTICE_DELAY_SECONDS
        sent = drain_notices.on_timer(now)
        assert len(datagram.encode(sent[0].message)) <= MAX_DATAGRAM_BYTES
        noted += decoded_notice(sent).draining
    assert noted == [*odd, "sound"]
