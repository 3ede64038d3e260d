"""Messages between daemons: about slots of engines, each other, crashes, drains and quotas.

One daemon, the coordinator, counts the slots of a group of engines. The others report to it what
they have in flight there, and request a slot from it before they send an online request.

Each message is encoded as an array (`datagram.py`): its tag, and then its fields in order. Names
of fields may change, their order and the tags may not. Messages may be lost, doubled, and overtake
each other.
"""

from functools import lru_cache

import msgspec

from troutswitch.common import Address, stable_hash

PREFILL_UNIT_TOKENS = 256
"""Unit in which prompt tokens are reported, rounded up."""
MIN_REPORTED_PREFILL_TOKENS = 1024
"""Least prompt tokens that are reported: an engine reads fewer in about the time that it takes to
report them."""
ENGINE_KEY_MASK = 0xFFFFFFFF
ENGINE_KEYS_REMEMBERED = 8192
NO_ENGINE = 0
"""Engine key of a reply that grants no slot."""
UNBOUNDED_WAIT_MS = -1
"""Longest wait of a request that accepts any wait."""


@lru_cache(maxsize=ENGINE_KEYS_REMEMBERED)
def engine_key(engine_id: str) -> int:
    """Returns the short key, of 32 bits and never 0, that names an engine in messages."""
    return stable_hash("server", engine_id) & ENGINE_KEY_MASK or 1


def prefill_units(tokens: int) -> int:
    """Returns prompt tokens in the unit in which they are reported; 0 if they are few."""
    return -(-tokens // PREFILL_UNIT_TOKENS) if tokens >= MIN_REPORTED_PREFILL_TOKENS else 0


class EngineShare(msgspec.Struct, frozen=True, array_like=True):
    """One daemon's requests in flight on one engine.

    `prefill_units` counts the prompt tokens that the engine has still to read for them.
    """

    engine_key: int
    online: int
    batch: int
    prefill_units: int


class HoldingsReport(msgspec.Struct, frozen=True, array_like=True, tag="holds"):
    """What one daemon has in flight on the engines of the receiver's groups.

    `sequence` rises with each report of one incarnation of the sender. `waiting_items` counts the
    batch items that it could start now and that can meet their job's objective, `late_items` those
    that it could start and that will miss it, `open_items` all that it has to finish.
    `last_grant_seen` is the highest number of the receiver's grants to the sender that the report
    includes, as counted by the receiver's incarnation `coordinator_incarnation`. `unusable` has the
    keys of engines to which the sender sends nothing at present.
    """

    sender: str
    zone: str
    address: Address
    incarnation: int
    sequence: int
    shares: tuple[EngineShare, ...] = ()
    waiting_items: int = 0
    late_items: int = 0
    open_items: int = 0
    coordinator_incarnation: int = 0
    last_grant_seen: int = 0
    unusable: tuple[int, ...] = ()


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Requests a slot for one online request from the coordinator of a group.

    `number` names the request within the sender's incarnation. `prefill_units` is what the engine
    will have to read. `max_wait_ms` is the longest wait for a slot that is accepted; a
    negative one is no bound. `excluded` has the keys of engines that can't get the request.
    """

    report: HoldingsReport
    number: int
    group: str
    prefill_units: int
    max_wait_ms: int
    excluded: tuple[int, ...] = ()


class SlotReply(msgspec.Struct, frozen=True, array_like=True, tag="place"):
    """Replies to a slot request: a slot at an engine, or none.

    `incarnation` is the sender's. `grant_number` numbers the grants of the sender to the receiver;
    it is 0 if no slot is granted. `wait_ms` is the wait that is expected for a slot, `queued` and
    `slots` are the counts it follows from. `is_coordinator` is false if the sender does not
    coordinate the group.
    """

    sender: str
    incarnation: int
    number: int
    group: str
    grant_number: int
    engine_key: int
    wait_ms: int
    queued: int
    slots: int
    is_coordinator: bool = True


class BatchSlotGrant(msgspec.Struct, frozen=True, array_like=True, tag="batch"):
    """Grants a peer slots for batch items at an engine, or retracts some.

    With a negative `count` the peer is to stop so many items there, as online requests need their
    slots. `grant_number` is as in `SlotReply`.
    """

    sender: str
    incarnation: int
    group: str
    grant_number: int
    engine_key: int
    count: int


class EngineCounts(msgspec.Struct, frozen=True, array_like=True):
    """All requests on one engine, of all daemons."""

    engine_key: int
    online: int
    batch: int


class GroupDigest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """What a coordinator sends at intervals to peers that have work at its engines.

    `free_slots_hundredths` is the mean number of slots that online requests leave at all
    engines of the group, in hundredths; `open_items` the items that all daemons have to finish.
    """

    sender: str
    incarnation: int
    group: str
    counts: tuple[EngineCounts, ...]
    free_slots_hundredths: int
    open_items: int


class KnownClaim(msgspec.Struct, frozen=True, array_like=True):
    """One claim of a group as the sender knows it; `offset` is its place in the store's topic."""

    group: str
    daemon: str
    address: Address
    offset: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """States to a few daemons drawn at random that the sender runs, and what it acts on."""

    sender: str
    zone: str
    address: Address
    incarnation: int
    configuration_version: int
    claims: tuple[KnownClaim, ...] = ()


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an engine that ended while it ran a request.

    `content` identifies the request by its content. `crashed_at` is in seconds since the epoch.
    `is_valid` is false if the message retracts an earlier report of the crash.
    """

    content: str
    engine_id: str
    crashed_at: int
    is_valid: bool


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="crashes"):
    """Reports what the sender has just learnt of engines that ended while they ran requests."""

    sender: str
    crashes: tuple[ReportedCrash, ...]


class EngineDrainNotice(msgspec.Struct, frozen=True, array_like=True, tag="leaving"):
    """Reports which engines drain, and which left the list, as the sender has just learnt."""

    sender: str
    draining: tuple[str, ...]
    removed: tuple[str, ...]


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="quota"):
    """Requests that a tenant's requests may be sent, from the coordinator that counts them.

    `number` identifies the message within the sender's incarnation. `rate` (requests per second),
    `burst` (requests) and `version` are the limit in the sender's configuration. `count` is the
    number of requests that the sender wants to admit, all but the first in advance. `unreported`
    is the number of requests that the sender admitted for the tenant without a coordinator and has
    not reported yet.
    """

    sender: str
    address: Address
    number: int
    group: str
    tenant: str
    rate: float
    burst: float
    version: int
    count: int
    unreported: int = 0


class QuotaDecision(msgspec.Struct, frozen=True, array_like=True, tag="quotaed"):
    """Replies to a quota request: how many requests are admitted, or when one would be.

    `wait_ms` is the time until there is quota for one. `is_coordinator` is false if the sender
    does not count for this group's tenants.
    """

    sender: str
    number: int
    group: str
    granted: int
    wait_ms: int
    is_coordinator: bool = True


SlotMessage = HoldingsReport | SlotRequest | SlotReply | BatchSlotGrant | GroupDigest
"""Messages about slots."""
PeerMessage = (
    HoldingsReport
    | SlotRequest
    | SlotReply
    | BatchSlotGrant
    | GroupDigest
    | Heartbeat
    | CrashReport
    | EngineDrainNotice
    | QuotaRequest
    | QuotaDecision
)
"""All messages between daemons."""
