"""Messages between daemons: engine slots, coordinators, crashes, drains, versions and quotas.

One daemon, the coordinator, counts the slots of a group of engines. The other daemons report their
requests in flight at these engines to it, and request a slot from it before they send an online
request.

Each message is encoded as an array: its tag, then its fields in order (`datagram.py`). The names of
fields may change, but their order and the tags may not. Messages can be lost, duplicated and
reordered.
"""

from functools import lru_cache

import msgspec

from troutswitch.common import Address, stable_hash

PREFILL_UNIT_TOKENS = 256
"""Unit in which prompt tokens are reported, rounded up."""
MIN_REPORTED_PREFILL_TOKENS = 1024
"""Minimum number of prompt tokens that is reported. An engine processes fewer tokens in about the
time that a report takes."""
ENGINE_KEY_MASK = 0xFFFFFFFF
ENGINE_KEYS_REMEMBERED = 8192
NO_ENGINE = 0
"""Engine key in a reply that grants no slot."""
MAX_PACES = 64
"""Maximum number of pace readings in a message. They take at most 14 bytes each, and a datagram
with a report of some hundred engines must stay below 8,192 bytes, the longest that is received."""
MAX_TENANT_ROWS = 16
"""Maximum number of tenants named in a message. Their rows take at most 80 bytes each, which leaves
room for a report of some hundred engines in a datagram of 8,192 bytes."""
MAX_TENANT_NAME_BYTES = 64
"""Maximum length of a tenant's name in a row; items of other tenants count in the last row."""
OTHER_TENANTS = "\x00others"
"""Name in the row that sums the tenants without a row. Tenants whose names are not printable have
none, so this is no tenant's name in a row."""
MAX_SERVICE_ROWS = 32
"""Maximum number of services named in a report. Their rows take at most 12 bytes each."""
OTHER_SERVICES = 0
"""Key in the row for the services without a row; no service has this key."""
UNBOUNDED_WAIT_MS = -1
"""Maximum wait of a request that accepts any wait."""


@lru_cache(maxsize=ENGINE_KEYS_REMEMBERED)
def engine_key(engine_id: str) -> int:
    """Returns the 32-bit key, never 0, that identifies an engine in messages."""
    return stable_hash("server", engine_id) & ENGINE_KEY_MASK or 1


def prefill_units(tokens: int) -> int:
    """Returns a number of prompt tokens in reporting units, 0 if there are too few to report."""
    return -(-tokens // PREFILL_UNIT_TOKENS) if tokens >= MIN_REPORTED_PREFILL_TOKENS else 0


class EngineShare(msgspec.Struct, frozen=True, array_like=True):
    """The requests of one daemon in flight on one engine.

    `prefill_units` counts the prompt tokens of these requests that the engine has not processed
    yet, in units of `PREFILL_UNIT_TOKENS`.
    """

    engine_key: int
    online: int
    batch: int
    prefill_units: int


class ServiceItems(msgspec.Struct, frozen=True, array_like=True):
    """Batch items of a daemon that could start now at the engines of one service.

    `service` is its key (`streams.versions`). `in_time` and `late` count as `waiting_items` and
    `late_items` of `HoldingsReport` do. An item that several services can run counts for each.
    """

    service: int
    in_time: int
    late: int


class HoldingsReport(msgspec.Struct, frozen=True, array_like=True, tag="holds"):
    """The requests and items of one daemon that concern the receiver as a coordinator.

    `shares` has the requests in flight on engines of the receiver's groups. `sequence` increases
    with each report of one incarnation of the sender. `waiting_items` counts the batch items that
    the sender could start now and that can still meet their job's objective. `late_items` counts
    those that it could start and that will miss it. `open_items` counts all unfinished items.

    `last_grant_seen` is the highest number of the receiver's grants to the sender that the report
    takes into account, as numbered by the receiver's incarnation `coordinator_incarnation`.
    `unusable` has the keys of engines to which the sender currently sends no requests.

    `services` divides the waiting items by service. It is encoded only if it has rows, and a daemon
    of an earlier version ignores it. Without rows each item can start at every service. `reserved`
    has the key of the engine that is to take no further items of other daemons, until a large one
    of the sender has space there (`jobs.space_reservation`); it is encoded only if there is one.
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
    services: tuple[ServiceItems, ...] = ()
    reserved: int = NO_ENGINE


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Requests a slot for one online request from the coordinator of a group.

    `number` identifies the slot request within the sender's incarnation. `prefill_units` is the
    number of prompt tokens that the engine will have to process, in units of `PREFILL_UNIT_TOKENS`.
    `max_wait_ms` is the maximum wait for a slot that the request accepts; a negative value means no
    limit. `excluded` has the keys of engines to which the request can't be sent.
    """

    report: HoldingsReport
    number: int
    group: str
    prefill_units: int
    max_wait_ms: int
    excluded: tuple[int, ...] = ()


class SlotReply(msgspec.Struct, frozen=True, array_like=True, tag="place"):
    """Replies to a slot request, with a slot at an engine or without one.

    `incarnation` is the sender's. `grant_number` numbers the sender's grants to the receiver; it is
    0 if no slot is granted. `wait_ms` is the expected wait for a slot, computed from the counts
    `queued` and `slots`. `is_coordinator` is false if the sender does not coordinate the group.
    `queues` is set if the sender keeps a queue for the group and accepts `QueuedSlotRequest`.
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
    queues: bool = False


class BatchSlotGrant(msgspec.Struct, frozen=True, array_like=True, tag="batch"):
    """Grants a peer slots for batch items at an engine, or retracts slots.

    A negative `count` tells the peer to stop that number of its items, because online requests need
    their slots. `grant_number` has the same meaning as in `SlotReply`. `tenant` names the tenant
    whose items get the slots, as in the peer's report; it is encoded only if the report named
    tenants, and a daemon of an earlier version ignores it and chooses the items itself.
    """

    sender: str
    incarnation: int
    group: str
    grant_number: int
    engine_key: int
    count: int
    tenant: str | None = None


class EngineCounts(msgspec.Struct, frozen=True, array_like=True):
    """The requests of all daemons on one engine."""

    engine_key: int
    online: int
    batch: int


class GroupDigest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """Summary that a coordinator sends periodically to peers with work at its engines.

    `free_slots_hundredths` is the mean number of slots that online requests leave free at all
    engines of the group, in hundredths. `open_items` counts the unfinished items of all daemons.
    """

    sender: str
    incarnation: int
    group: str
    counts: tuple[EngineCounts, ...]
    free_slots_hundredths: int
    open_items: int


class PaceReading(msgspec.Struct, frozen=True, array_like=True):
    """How long work takes at an engine, in percent of the usual time, as the engine reported.

    `age_ms` is the age of the reading when the message was sent.
    """

    engine_key: int
    percent: int
    age_ms: int


class TenantItems(msgspec.Struct, frozen=True, array_like=True):
    """Batch items of one tenant that a daemon could start now.

    `tenant` is empty for jobs without a tenant. `in_time` and `late` count as `waiting_items` and
    `late_items` of `HoldingsReport` do.
    """

    tenant: str
    in_time: int
    late: int


class PacedReport(msgspec.Struct, frozen=True, array_like=True, tag="paced holds"):
    """A holdings report with paces that the receiver has not been sent.

    Sent in place of a plain report by a daemon that has such readings, or items of tenants that
    wait. `tenants` divides the waiting items by tenant. It is encoded only if it has rows, and a
    daemon of an earlier version ignores it. Without rows all items count as one tenant's.
    """

    report: HoldingsReport
    paces: tuple[PaceReading, ...]
    tenants: tuple[TenantItems, ...] = ()


class PacedDigest(msgspec.Struct, frozen=True, array_like=True, tag="paced digest"):
    """A digest with the coordinator's newest reading of each engine that reported a pace."""

    digest: GroupDigest
    paces: tuple[PaceReading, ...]


class QueuedSlotRequest(msgspec.Struct, frozen=True, array_like=True, tag="queue"):
    """Requests a slot for one online request, or a place in the coordinator's queue.

    It is repeated with the same `number` while the request is queued. `max_wait_ms` is the longest
    wait with which the request meets its objective; a negative value means that it will be late
    whatever the wait. `expires_ms` is the time after which a slot is of no use to it. `share` names
    the tenant, or the route for callers without a tenant, between which slots are shared fairly.
    `priority` 0 is the highest. A request that may not queue gets a slot now or none. `is_returned`
    is set if its caller was refused before, or if it was sent before. The other fields have the
    same meaning as in `SlotRequest` and `PacedReport`. `connected` has the keys of engines to which
    the daemon has an idle connection; it is encoded only when there are some.
    """

    report: HoldingsReport
    paces: tuple[PaceReading, ...]
    number: int
    group: str
    prefill_units: int
    max_wait_ms: int
    expires_ms: int
    share: str
    priority: int
    may_queue: bool
    excluded: tuple[int, ...] = ()
    is_returned: bool = False
    tenants: tuple[TenantItems, ...] = ()
    connected: tuple[int, ...] = ()


class SlotQueued(msgspec.Struct, frozen=True, array_like=True, tag="queued"):
    """Confirms that a request is in the sender's queue, at a position from 1.

    `incarnation` is the sender's, `wait_ms` the expected wait for a slot.
    """

    sender: str
    incarnation: int
    number: int
    group: str
    position: int
    wait_ms: int


class SlotDenied(msgspec.Struct, frozen=True, array_like=True, tag="denied"):
    """States that a request gets no slot, and is not or no longer queued.

    `wait_ms`, `queued` and `slots` have the same meaning as in `SlotReply`. `retry_after_ms` is
    when the caller should send the request again. `is_final` is set if it can't be served in time,
    and false if the sender only has no slot now.
    """

    sender: str
    incarnation: int
    number: int
    group: str
    wait_ms: int
    queued: int
    slots: int
    retry_after_ms: int
    is_final: bool


class SlotRequestWithdrawn(msgspec.Struct, frozen=True, array_like=True, tag="withdraw"):
    """States that a queued request no longer needs a slot; `incarnation` is the sender's."""

    sender: str
    incarnation: int
    number: int
    group: str


class ClaimHolder(msgspec.Struct, frozen=True, array_like=True):
    """A daemon that claimed a group, and where it receives messages."""

    daemon: str
    address: Address


class KnownClaim(msgspec.Struct, frozen=True, array_like=True):
    """A claim of a group that the sender knows. `offset` is its offset in the store's topic.

    `incarnation` and `predecessors` are set for quota groups only: the process that made the claim,
    and the holders of earlier claims that may not have stopped when it was made.
    """

    group: str
    daemon: str
    address: Address
    offset: int
    incarnation: int = 0
    predecessors: tuple[ClaimHolder, ...] = ()


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Tells a few randomly chosen daemons that the sender is running.

    It states the sender's configuration version and the claims of groups that the sender knows.
    `reads_numbered_content` is set by daemons that read the content of a job by its digest
    (`decisions.jobs.records`); it is encoded only if set.
    """

    sender: str
    zone: str
    address: Address
    incarnation: int
    configuration_version: int
    claims: tuple[KnownClaim, ...] = ()
    reads_numbered_content: bool = False


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
    """Reports engines that ended while they ran a request, as the sender has just learnt."""

    sender: str
    crashes: tuple[ReportedCrash, ...]


class EngineDrainNotice(msgspec.Struct, frozen=True, array_like=True, tag="leaving"):
    """Reports engines that the sender has just learnt are draining or left the list."""

    sender: str
    draining: tuple[str, ...]
    removed: tuple[str, ...]


class ListedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A software version of a service's engines, both by their keys (`streams.versions`).

    `age_ms` is the time since the version was last listed.
    """

    service: int
    version: int
    age_ms: int


class VersionsNotice(msgspec.Struct, frozen=True, array_like=True, tag="versions"):
    """States the versions of the services that have engines of several versions."""

    sender: str
    rows: tuple[ListedVersion, ...]


class OriginRow(msgspec.Struct, frozen=True, array_like=True):
    """The service and the software version that began a stream, all by their keys.

    `attempt` is the ordinal of the attempt that began it, within its request.
    """

    stream: int
    service: int
    version: int
    attempt: int


class StreamOrigins(msgspec.Struct, frozen=True, array_like=True, tag="origins"):
    """Tells a holder of streams which versions began them."""

    sender: str
    rows: tuple[OriginRow, ...]


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag="origin?"):
    """Asks which version began a stream; `number` is unique within the sender's `incarnation`."""

    sender: str
    address: Address
    incarnation: int
    number: int
    stream: int


class OriginReply(msgspec.Struct, frozen=True, array_like=True, tag="origin"):
    """Replies to an `OriginQuery`, with one row or, if the sender does not know it, none.

    `incarnation` and `number` are those of the query.
    """

    sender: str
    incarnation: int
    number: int
    rows: tuple[OriginRow, ...] = ()


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="quota"):
    """Asks the coordinator that counts a tenant's requests to admit one.

    `number` identifies the request within the sender's `incarnation`; a repeated message has the
    same number. `rate` (requests per second), `burst` (requests) and `version` are the limit in the
    sender's configuration. `is_further` is set for a further attempt of an admitted request.
    """

    sender: str
    address: Address
    number: int
    group: str
    tenant: str
    rate: float
    burst: float
    version: int
    incarnation: int
    is_further: bool = False


class QuotaDecision(msgspec.Struct, frozen=True, array_like=True, tag="quotaed"):
    """Replies to a quota request: `granted` is 1 if the request is admitted, else 0.

    `wait_ms` is the time until there is quota for one request. `is_coordinator` is false if the
    sender does not count for the tenants of this group. `is_confirmed` is false if the sender can't
    exclude that another daemon counts too: it then grants from a reserve alone, and `granted` 0
    means that it can't decide. `reads_store` is false if the sender has not read the store for so
    long that another daemon is to take over. It is encoded only when false, so that other decisions
    keep their bytes.
    """

    sender: str
    number: int
    group: str
    granted: int
    wait_ms: int
    is_coordinator: bool = True
    is_confirmed: bool = True
    reads_store: bool = True


class QuotaHandoverRequest(msgspec.Struct, frozen=True, array_like=True, tag="handover"):
    """Asks the holder of an earlier claim of a quota group to stop counting.

    `claim` is the sender's newer claim; `predecessor` names the daemon that is asked.
    """

    sender: str
    address: Address
    predecessor: str
    claim: KnownClaim


class QuotaBalance(msgspec.Struct, frozen=True, array_like=True):
    """What is left in a tenant's account, in hundredths of a request."""

    tenant: str
    hundredths: int


class QuotaHandover(msgspec.Struct, frozen=True, array_like=True, tag="handed over"):
    """States that the sender has stopped counting for a group, with the accounts that it kept.

    `offset` is that of the newer claim. Accounts of tenants that are not listed were opened empty
    `opened_ms` milliseconds ago; 0 if the sender kept no accounts.
    """

    sender: str
    group: str
    offset: int
    opened_ms: int = 0
    balances: tuple[QuotaBalance, ...] = ()


SlotMessage = (
    HoldingsReport
    | SlotRequest
    | SlotReply
    | BatchSlotGrant
    | GroupDigest
    | PacedReport
    | PacedDigest
    | QueuedSlotRequest
    | SlotQueued
    | SlotDenied
    | SlotRequestWithdrawn
)
"""Messages about slots."""
PeerMessage = (
    HoldingsReport
    | SlotRequest
    | SlotReply
    | BatchSlotGrant
    | GroupDigest
    | PacedReport
    | PacedDigest
    | QueuedSlotRequest
    | SlotQueued
    | SlotDenied
    | SlotRequestWithdrawn
    | Heartbeat
    | CrashReport
    | EngineDrainNotice
    | QuotaRequest
    | QuotaDecision
    | QuotaHandoverRequest
    | QuotaHandover
    | VersionsNotice
    | StreamOrigins
    | OriginQuery
    | OriginReply
)
"""All messages between daemons."""
