"""Messages between daemons about the slots of engines, each other, crashes and quotas.

One daemon, the coordinator, counts the slots of a group of engines. The others report to it
what they hold there, and ask it for a place before they send a request.
"""

from functools import lru_cache

import msgspec

from troutswitch.common import Address, stable_hash

PREFILL_UNIT_TOKENS = 256
"""Unit in which prompt tokens are told, rounded up."""
PREFILL_REPORTED_TOKENS = 1024
"""Least prompt tokens that are told: fewer are read in some 20 ms, about as long as it takes
to tell of them."""
ENGINE_KEY_MASK = 0xFFFFFFFF
ENGINE_KEYS_REMEMBERED = 8192
NO_ENGINE = 0
"""Stands for no engine in an answer."""


@lru_cache(maxsize=ENGINE_KEYS_REMEMBERED)
def engine_key(engine_id: str) -> int:
    """Returns the short key that names an engine in messages."""
    return stable_hash("server", engine_id) & ENGINE_KEY_MASK or 1


def prefill_units(tokens: int) -> int:
    """Returns prompt tokens in the unit in which they are told; few are not told at all."""
    return -(-tokens // PREFILL_UNIT_TOKENS) if tokens >= PREFILL_REPORTED_TOKENS else 0


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
    batch items that it could start now and that would meet their deadline, `late_items` those
    that would miss it, `open_items` all that it has to finish. `grant_seen` is the number of the
    newest grant that the report includes, of the receiver's incarnation `grant_incarnation`.
    `unusable` names engines to which the sender sends nothing for now.
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
    grant_incarnation: int = 0
    grant_seen: int = 0
    unusable: tuple[int, ...] = ()


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks for a place for one online request.

    `number` names the ask within the sender's life. `prefill_units` is what the engine will
    have to read. `wait_most_ms` is the longest wait for a slot that the sender takes; a
    negative one is no bound. `avoid` names engines that it will not send this request to.
    """

    report: HoldingsReport
    number: int
    group: str
    prefill_units: int
    wait_most_ms: int
    avoid: tuple[int, ...] = ()


class SlotReply(msgspec.Struct, frozen=True, array_like=True, tag="place"):
    """Answers an ask: a place at an engine, or none.

    `grant` numbers the coordinator's words to one peer that change what it holds; 0 where no
    place is granted. `wait_ms` is the wait expected for a slot, `queued` and `slots` what it
    was worked out from. `is_coordinator` is false if the sender does not count this group.
    """

    sender: str
    incarnation: int
    number: int
    group: str
    grant: int
    engine_key: int
    wait_ms: int
    queued: int
    slots: int
    is_coordinator: bool = True


class BatchSlotGrant(msgspec.Struct, frozen=True, array_like=True, tag="batch"):
    """Grants a peer places for batch items at an engine, or takes some back.

    A negative `count` asks the peer to stop so many items there: online requests need them.
    """

    sender: str
    incarnation: int
    group: str
    grant: int
    engine_key: int
    count: int


class EngineCounts(msgspec.Struct, frozen=True, array_like=True):
    """All requests on one engine, of all daemons."""

    engine_key: int
    online: int
    batch: int


class GroupDigest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """What a coordinator tells now and then to peers that have work at its engines.

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
    """One claim of a group as the sender knows it; `offset` is its place in the store."""

    group: str
    daemon: str
    address: Address
    offset: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Tells a few daemons drawn at random that the sender lives, and what it acts on."""

    sender: str
    zone: str
    address: Address
    incarnation: int
    configuration_version: int
    claims: tuple[KnownClaim, ...] = ()


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """One engine's life that ended under a request, or is said not to have (`stands` False).

    `content` names the request by its content, `at` is in seconds since the epoch.
    """

    content: str
    engine_id: str
    at: int
    stands: bool


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="crashes"):
    """Tells what the sender has just learnt of engines that ended under requests."""

    sender: str
    crashes: tuple[ReportedCrash, ...]


class EngineDrainNotice(msgspec.Struct, frozen=True, array_like=True, tag="leaving"):
    """Tells which engines drain, and which left the list, as the sender has just learnt."""

    sender: str
    draining: tuple[str, ...]
    left: tuple[str, ...]


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="quota"):
    """Asks whether a tenant may send one more request; its key is not told.

    `number` names the ask within the sender's life. `rate` (requests a second), `burst` and
    `version` are the limit as the sender's configuration has it. `count` is how many requests
    the sender takes, all but the first in advance; `spent` how many of the tenant's went from the
    sender while nobody counted.
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
    spent: int = 0


class QuotaDecision(msgspec.Struct, frozen=True, array_like=True, tag="quotaed"):
    """Answers an ask: how many requests may go, or after which time there is room for one.

    `is_coordinator` is false if the sender does not count for this group's tenants.
    """

    sender: str
    number: int
    group: str
    granted: int
    wait_ms: int
    is_coordinator: bool = True


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
