"""Datagrams with a wrong key, malformed, oversized, stale or replayed are dropped and counted."""

import cbor2

from troutswitch.standalone.constants import MAX_DATAGRAM_BYTES
from troutswitch.standalone.daemons.messages import Ping, Sealer

PING = Ping(1, "a", 3, [])


def test_a_sealed_message_opens_once() -> None:
    sender, receiver = Sealer(b"key-1234"), Sealer(b"key-1234")
    datagram = sender.seal(100.0, PING)
    assert receiver.open(100.1, datagram) == PING
    assert receiver.open(100.2, datagram) is None
    assert receiver.dropped.replayed == 1


def test_bad_datagrams_are_dropped_and_counted() -> None:
    receiver = Sealer(b"key-1234")
    assert receiver.open(100.0, Sealer(b"other-key").seal(100.0, PING)) is None
    assert receiver.open(100.0, b"") is None
    assert receiver.open(100.0, bytes(MAX_DATAGRAM_BYTES + 1)) is None
    assert receiver.open(900.0, Sealer(b"key-1234").seal(100.0, PING)) is None
    body = cbor2.dumps([100.0, ["ping", "not a number"]])
    assert receiver.open(100.0, receiver._digest(body) + body) is None
    counts = receiver.dropped
    assert (counts.wrong_key, counts.oversized, counts.stale, counts.malformed) == (2, 1, 1, 1)
