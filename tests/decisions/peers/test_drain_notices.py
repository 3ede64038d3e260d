"""Notices of engines that leave, from whoever reads it first to all daemons."""

import random

from tests.decisions.forwarding.worlds import engine
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

FLEET = 300
PACKET_BYTES = 1400


def notices(number: int = 0, fleet: int = FLEET, is_needed: bool = True) -> DrainNotices:
    peers = [Address("10.0.0.1", other) for other in range(fleet) if other != number]
    return DrainNotices(f"d{number}", lambda: peers, lambda: is_needed, random.Random(number))


def notice(sent: list[SendToPeers]) -> EngineDrainNotice:
    message = datagram.decode(datagram.encode(sent[0].message))
    assert isinstance(message, EngineDrainNotice)
    return message


def test_what_one_daemon_reads_reaches_all_in_a_few_steps() -> None:
    """Seen at 300 daemons: a request reached an engine 3,377 ms after it began to drain."""
    fleet = [notices(number) for number in range(FLEET)]
    fleet[0].on_list_read(0.0, ["s1"], ["s2"])
    reached = {0}
    now = 0.0
    for _ in range(5):
        now += NOTICE_DELAY_SECONDS
        for sent in [one for held in fleet for one in held.on_timer(now)]:
            message = notice([sent])
            for address in sent.addresses:
                draining, left = fleet[address.port].on_notice(now, message)
                if draining or left:
                    reached.add(address.port)
    assert len(reached) >= FLEET - 2


def test_each_daemon_notifies_once() -> None:
    held = notices()
    held.on_list_read(0.0, ["s1"], [])
    assert notice(held.on_timer(NOTICE_DELAY_SECONDS)).draining == ("s1",)
    assert held.on_notice(0.1, EngineDrainNotice("other", ("s1",), ())) == ([], [])
    held.on_list_read(0.2, ["s1"], [])
    assert held.on_timer(1.0) == []


def test_an_engine_that_is_listed_again_may_leave_again() -> None:
    held = notices()
    held.on_list_read(0.0, [], ["s1"])
    held.on_timer(NOTICE_DELAY_SECONDS)
    held.on_listed_again(["s1"])
    assert held.on_notice(1.0, EngineDrainNotice("other", (), ("s1",))) == ([], ["s1"])


def test_where_all_read_often_nobody_is_notified() -> None:
    held = notices(is_needed=False)
    held.on_list_read(0.0, ["s1"], ["s2"])
    assert held.next_due() == float("inf")


def test_a_full_message_fits_into_a_packet() -> None:
    held = notices()
    held.on_list_read(0.0, [f"i-{number:010x}" for number in range(100)], [])
    sent = held.on_timer(NOTICE_DELAY_SECONDS)
    assert len(notice(sent).draining) == MAX_ENGINES_PER_NOTICE
    assert len(datagram.encode(sent[0].message)) <= PACKET_BYTES
    assert held.next_due() < float("inf")


def test_an_engine_that_peers_say_left_gets_no_work_until_a_later_list_has_it() -> None:
    registry = EngineRegistry()
    records = [engine("s0"), engine("s1")]
    registry.on_list(0.0, records)
    registry.on_drain_notice(1.0, ["s1", "unknown"])
    assert [held.record.engine_id for held in registry.of_service("s")] == ["s0"]
    registry.on_list(1.0 + DRAIN_NOTICE_SECONDS / 2, records)  # began before it left
    assert [held.record.engine_id for held in registry.of_service("s")] == ["s0"]
    registry.on_list(1.1 + DRAIN_NOTICE_SECONDS, records)
    assert len(registry.of_service("s")) == 2
