"""Typed messages between daemons and their sealed form on the wire.

A datagram is `HMAC-SHA256 (16 bytes) + CBOR [sent_at, tag, fields...]`, keyed with
the fleet's key. `sent_at` is in seconds since the epoch. Datagrams that are too old are dropped,
which prevents the replay of recorded ones.
"""

import hashlib
import hmac
from dataclasses import dataclass, field
from typing import Any

import cbor2
import msgspec

from troutswitch.cbor_values import decode_cbor
from troutswitch.standalone.constants import MAX_DATAGRAM_BYTES, REPLAY_WINDOW_SECONDS

DIGEST_BYTES = 16


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Reported state of one member: "alive", "suspect", "leaving" or "dead".

    `address` is its peer address, `host:port`.
    """

    name: str
    incarnation: int
    state: str
    address: str
    zone: str


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Requests an `Ack`. `configuration_offset` is the sender's next offset."""

    sequence: int
    sender: str
    configuration_offset: int
    updates: list[MemberUpdate]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """Answers a `Ping`; `subject` is the member that is alive."""

    sequence: int
    subject: str
    configuration_offset: int
    updates: list[MemberUpdate]


class IndirectPing(msgspec.Struct, frozen=True, array_like=True, tag="iping"):
    """Requests the receiver to ping `subject` and forward its `Ack`."""

    sequence: int
    sender: str
    subject: str
    subject_address: str


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag="sync"):
    """Requests the receiver's members in buckets whose digests differ from the sender's."""

    sender: str
    digests: list[int]
    members: list[MemberUpdate]


class SyncReply(msgspec.Struct, frozen=True, array_like=True, tag="syncr"):
    """Part of the sender's member table."""

    sender: str
    members: list[MemberUpdate]


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag="creq"):
    """Requests configuration entries starting at `offset`."""

    sender: str
    offset: int


class ConfigurationEntries(msgspec.Struct, frozen=True, array_like=True, tag="centries"):
    """Entries of the configuration stream starting at `offset`, unchanged from the log."""

    sender: str
    offset: int
    entries: list[bytes]


class BatchSlotRequest(msgspec.Struct, frozen=True, array_like=True, tag="sask"):
    """Requests batch slots of an engine from its steward.

    `running` counts the sender's running items on the engine, `requested` further slots.
    """

    sender: str
    engine: str
    running: int
    requested: int


class SlotGrant(msgspec.Struct, frozen=True, array_like=True, tag="sgrant"):
    """The receiver may keep `slots` batch items on the engine for `seconds`.

    At most `non_preemptible` of them may run items that must not be repeated: such items are
    never cancelled for online work. A receiver that runs more items than granted cancels the
    excess immediately.
    """

    sender: str
    engine: str
    incarnation: str
    slots: int
    non_preemptible: int
    seconds: float
    priority: int


class OnlineNotice(msgspec.Struct, frozen=True, array_like=True, tag="online"):
    """Reports that `count` online requests were just sent to the engine."""

    sender: str
    engine: str
    count: int


class EngineLeaving(msgspec.Struct, frozen=True, array_like=True, tag="eleave"):
    """Reports that an incarnation of an engine is leaving."""

    sender: str
    engine: str
    incarnation: str


class ShardStreamGrown(msgspec.Struct, frozen=True, array_like=True, tag="touch"):
    """Reports that the shard stream has grown, so that the owner reads it immediately."""

    sender: str
    shard: int


class ShardHandoverRequest(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """Requests the shard from its owner; the sender has read the stream up to its tail."""

    sender: str
    shard: int


Message = (
    Ping
    | Ack
    | IndirectPing
    | SyncRequest
    | SyncReply
    | ConfigurationRequest
    | ConfigurationEntries
    | BatchSlotRequest
    | SlotGrant
    | OnlineNotice
    | EngineLeaving
    | ShardStreamGrown
    | ShardHandoverRequest
)


@dataclass
class DropCounts:
    """Number of dropped datagrams by cause."""

    oversized: int = 0
    wrong_key: int = 0
    malformed: int = 0
    stale: int = 0
    replayed: int = 0


@dataclass
class Sealer:
    """Signs and verifies datagrams with the fleet's key.

    Digests within the replay window are remembered, so a datagram is accepted only once.
    """

    key: bytes
    dropped: DropCounts = field(default_factory=DropCounts)
    _current_digests: set[bytes] = field(default_factory=set)
    _previous_digests: set[bytes] = field(default_factory=set)
    _rotated_at: float = 0.0

    def seal(self, now: float, message: Message) -> bytes:
        """Returns the datagram for a message sent at `now` (seconds since the epoch)."""
        body = cbor2.dumps([now, msgspec.to_builtins(message, builtin_types=(bytes,))])
        return self._digest(body) + body

    def open(self, now: float, datagram: bytes) -> Message | None:
        """Returns the message, or None if the datagram was dropped and counted."""
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self.dropped.oversized += 1
            return None
        digest, body = datagram[:DIGEST_BYTES], datagram[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(body)):
            self.dropped.wrong_key += 1
            return None
        try:
            sent_at, plain = decode_cbor(body, tuple[float, list[Any]], allows_infinity=True)
            message: Message = msgspec.convert(plain, Message)
        except ValueError:
            self.dropped.malformed += 1
            return None
        return message if self._is_new(now, sent_at, digest) else None

    def _is_new(self, now: float, sent_at: float, digest: bytes) -> bool:
        if abs(now - sent_at) > REPLAY_WINDOW_SECONDS:
            self.dropped.stale += 1
            return False
        if now - self._rotated_at > 2 * REPLAY_WINDOW_SECONDS:
            self._previous_digests = self._current_digests
            self._current_digests = set()
            self._rotated_at = now
        if digest in self._current_digests or digest in self._previous_digests:
            self.dropped.replayed += 1
            return False
        self._current_digests.add(digest)
        return True

    def _digest(self, body: bytes) -> bytes:
        return hmac.digest(self.key, body, hashlib.sha256)[:DIGEST_BYTES]
