"""The samples: one or more values of everything that leaves the process.

This is the only module here that names classes and functions of the code under test. A sample is
named by its meaning, so that its name stays when names in the code change.

Of each type whose fields are encoded by position, one value is built with keyword arguments: if
all were built with positional ones, fields that swapped places would not be detected.
"""

import random
from collections.abc import Callable, Iterable, Iterator
from itertools import chain
from pathlib import Path
from tempfile import NamedTemporaryFile
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import MagicMock

from tests.forms.forms import Sample, plain
from tests.forms.http_server import sent_to_server
from troutswitch.common import Address, rendezvous_order, stable_hash
from troutswitch.daemons import datagram, peer_state
from troutswitch.daemons import messages as peer_messages
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.decisions import active_configuration
from troutswitch.decisions.crashes import shared as shared_crashes
from troutswitch.decisions.crashes.content import content_key
from troutswitch.decisions.crashes.messages import Crash
from troutswitch.decisions.crashes.shared import SharedCrashes
from troutswitch.decisions.forwarding import engine_list
from troutswitch.decisions.forwarding.learned_times import BatchRunTimes, LearnedTimes
from troutswitch.decisions.forwarding.long_prompts import homes_of
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.types import EngineRecord
from troutswitch.decisions.jobs import records
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.messages import (
    ItemBody,
    JobAccepted,
    JobEnded,
    JobRefused,
    JobResults,
)
from troutswitch.decisions.jobs.ownership import ShardOwnership
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.retention import content_keys
from troutswitch.decisions.jobs.shard import JobContent
from troutswitch.decisions.peers import peer_registry
from troutswitch.decisions.peers.peer_registry import PeerRegistryEntry, decode_entry, encode_entry
from troutswitch.decisions.slots import coordinator_claims
from troutswitch.decisions.slots.coordinator_claims import CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups, assign_groups
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    GroupJoined,
    JoinGroup,
    KeyedRecord,
    LeaveGroup,
    NewestPage,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    StoreCall,
    WriterStamp,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.tenants.quota_groups import QUOTA_GROUPS
from troutswitch.decisions.tenants.tenant_keys import TenantKeys
from troutswitch.decisions.tenants.types import key_digest
from troutswitch.gateway.callers.application import CallerApplication, error_response
from troutswitch.gateway.daemons.peer_state import PEER_STATE_PATH
from troutswitch.gateway.metrics import GatewayMetrics
from troutswitch.gateway.policies import read_policies
from troutswitch.gateway.process import METRICS_PATH
from troutswitch.outcomes import AttemptOutcome, Cut, MayHaveRun, NotRun, Step
from troutswitch.platform import names
from troutswitch.platform.configuration import decode_configuration, decode_engine
from troutswitch.platform.jobs import decode_submission, encode_answer
from troutswitch.platform.requests import IncomingRequest, read_prompt
from troutswitch.platform.settings import load_gateway_settings
from troutswitch.platform.store import StoreClient, decode_records, encode_records, topic_name
from troutswitch.runtime.http import Response, send
from troutswitch.standalone.daemons import messages
from troutswitch.standalone.decisions.batch.jobs import ItemState
from troutswitch.standalone.decisions.batch.placement import weight_of
from troutswitch.standalone.decisions.members import bucket_of
from troutswitch.standalone.log_service import records as entries

HOST = Address("10.0.0.7", 7400)
LARGE = 2**40 + 5

# Messages between daemons of the gateway.

_SHORT_REPORT = peer_messages.HoldingsReport("d-1", "z1", HOST, 3, 4)
_FULL_REPORT = peer_messages.HoldingsReport(
    sender="d-1",
    zone="zone é",
    address=HOST,
    incarnation=LARGE,
    sequence=5,
    shares=(
        peer_messages.EngineShare(engine_key=11, online=1, batch=2, prefill_units=3),
        peer_messages.EngineShare(4294967295, 4, 5, 6),
    ),
    waiting_items=7,
    late_items=8,
    open_items=9,
    coordinator_incarnation=LARGE + 1,
    last_grant_seen=12,
    unusable=(21, 22, 23),
)

_SERVICES_REPORT = peer_messages.HoldingsReport(
    "d-1",
    "z1",
    HOST,
    3,
    4,
    waiting_items=3,
    services=(
        peer_messages.ServiceItems(service=4294967295, in_time=2, late=0),
        peer_messages.ServiceItems(peer_messages.OTHER_SERVICES, 1, 64),
    ),
)


def _peer_message_sample(message: peer_messages.PeerMessage) -> Sample:
    return Sample(
        lambda: datagram.encode(message), lambda data: datagram.encode(datagram.decode(data))
    )


PEER_MESSAGES = {
    "report of holdings, defaults": _peer_message_sample(_SHORT_REPORT),
    "report of holdings, all fields": _peer_message_sample(_FULL_REPORT),
    "ask for a place, defaults": _peer_message_sample(
        peer_messages.SlotRequest(_SHORT_REPORT, 31, "s|z|0", 4, -1)
    ),
    "ask for a place, all fields": _peer_message_sample(
        peer_messages.SlotRequest(
            report=_FULL_REPORT,
            number=31,
            group="s|z|0",
            prefill_units=4,
            max_wait_ms=1500,
            excluded=(41, 42),
        )
    ),
    "answer with a place, defaults": _peer_message_sample(
        peer_messages.SlotReply("d-2", LARGE, 31, "s|z|0", 51, 4294967295, 52, 53, 54)
    ),
    "answer of one that counts not": _peer_message_sample(
        peer_messages.SlotReply(
            sender="d-2",
            incarnation=6,
            number=31,
            group="s|z|0",
            grant_number=0,
            engine_key=0,
            wait_ms=0,
            queued=0,
            slots=0,
            is_coordinator=False,
        )
    ),
    "answer of one that queues": _peer_message_sample(
        peer_messages.SlotReply("d-2", 6, 31, "s|z|0", 51, 61, 52, 53, 54, queues=True)
    ),
    "queue for a place, defaults": _peer_message_sample(
        peer_messages.QueuedSlotRequest(
            _SHORT_REPORT, (), 31, "s|z|0", 4, -1, 1500, "tenant", 2, False
        )
    ),
    "queue for a place, all fields": _peer_message_sample(
        peer_messages.QueuedSlotRequest(
            report=_FULL_REPORT,
            paces=(
                peer_messages.PaceReading(engine_key=11, percent=137, age_ms=3),
                peer_messages.PaceReading(4294967295, 55, 250),
            ),
            number=31,
            group="s|z|0",
            prefill_units=4,
            max_wait_ms=250,
            expires_ms=1500,
            share="tenant é",
            priority=1,
            may_queue=True,
            excluded=(41, 42),
            is_returned=True,
        )
    ),
    "queue for a place, connected": _peer_message_sample(
        peer_messages.QueuedSlotRequest(
            _SHORT_REPORT, (), 31, "s|z|0", 4, -1, 1500, "tenant", 2, False, connected=(41, 42)
        )
    ),
    "place in a queue": _peer_message_sample(
        peer_messages.SlotQueued(
            sender="d-2", incarnation=LARGE, number=31, group="s|z|0", position=43, wait_ms=44
        )
    ),
    "no place": _peer_message_sample(
        peer_messages.SlotDenied(
            sender="d-2",
            incarnation=LARGE,
            number=31,
            group="s|z|0",
            wait_ms=45,
            queued=46,
            slots=47,
            retry_after_ms=48,
            is_final=True,
        )
    ),
    "no place now": _peer_message_sample(
        peer_messages.SlotDenied("d-2", 6, 31, "s|z|0", 45, 46, 47, 0, False)
    ),
    "place no longer wanted": _peer_message_sample(
        peer_messages.SlotRequestWithdrawn(
            sender="d-1", incarnation=LARGE, number=31, group="s|z|0"
        )
    ),
    "places for batch items, granted": _peer_message_sample(
        peer_messages.BatchSlotGrant("d-2", 6, "s|z|0", 61, 62, 63)
    ),
    "places for batch items, taken back": _peer_message_sample(
        peer_messages.BatchSlotGrant(
            sender="d-2", incarnation=6, group="s|z|0", grant_number=61, engine_key=62, count=-3
        )
    ),
    "places for batch items of a tenant": _peer_message_sample(
        peer_messages.BatchSlotGrant("d-2", 6, "s|z|0", 61, 62, 63, "tenant é")
    ),
    "places for batch items of jobs without a tenant": _peer_message_sample(
        peer_messages.BatchSlotGrant("d-2", 6, "s|z|0", 61, 62, 63, "")
    ),
    "report with tenants": _peer_message_sample(
        peer_messages.PacedReport(
            report=_SHORT_REPORT,
            paces=(),
            tenants=(
                peer_messages.TenantItems(tenant="", in_time=2, late=0),
                peer_messages.TenantItems("tenant é", 64, 3),
                peer_messages.TenantItems(peer_messages.OTHER_TENANTS, 1, 64),
            ),
        )
    ),
    "report of holdings by service": _peer_message_sample(_SERVICES_REPORT),
    "report of holdings with a reservation": _peer_message_sample(
        peer_messages.HoldingsReport("d-1", "z1", HOST, 3, 4, reserved=4294967295)
    ),
    "ask for a place, with services": _peer_message_sample(
        peer_messages.SlotRequest(_SERVICES_REPORT, 31, "s|z|0", 4, -1)
    ),
    "queue for a place, with tenants": _peer_message_sample(
        peer_messages.QueuedSlotRequest(
            _SHORT_REPORT,
            (),
            31,
            "s|z|0",
            4,
            -1,
            1500,
            "tenant",
            2,
            False,
            tenants=(peer_messages.TenantItems("tenant", 1, 0),),
        )
    ),
    "report with paces": _peer_message_sample(
        peer_messages.PacedReport(
            report=_FULL_REPORT,
            paces=(
                peer_messages.PaceReading(engine_key=4294967295, percent=120, age_ms=30000),
                peer_messages.PaceReading(11, 55, 0),
            ),
        )
    ),
    "digest with paces": _peer_message_sample(
        peer_messages.PacedDigest(
            digest=peer_messages.GroupDigest("d-2", 6, "s|z|0", (), 0, 0),
            paces=(peer_messages.PaceReading(11, 300, 251),),
        )
    ),
    "digest of a group, empty": _peer_message_sample(
        peer_messages.GroupDigest("d-2", 6, "s|z|0", (), 0, 0)
    ),
    "digest of a group, filled": _peer_message_sample(
        peer_messages.GroupDigest(
            sender="d-2",
            incarnation=6,
            group="s|z|0",
            counts=(
                peer_messages.EngineCounts(engine_key=71, online=72, batch=73),
                peer_messages.EngineCounts(74, 75, 76),
            ),
            free_slots_hundredths=777,
            open_items=78,
        )
    ),
    "sign of life, defaults": _peer_message_sample(
        peer_messages.Heartbeat("d-1", "z1", HOST, 81, -1)
    ),
    "sign of life, reads numbered content": _peer_message_sample(
        peer_messages.Heartbeat("d-1", "z1", HOST, 81, -1, reads_numbered_content=True)
    ),
    "sign of life, claims": _peer_message_sample(
        peer_messages.Heartbeat(
            sender="d-1",
            zone="z1",
            address=HOST,
            incarnation=LARGE,
            configuration_version=82,
            claims=(
                peer_messages.KnownClaim("s|z|0", "d-2", Address("10.0.0.8", 1), 83),
                peer_messages.KnownClaim(group="s|z|1", daemon="d-3", address=HOST, offset=LARGE),
            ),
        )
    ),
    "news of crashes, empty": _peer_message_sample(peer_messages.CrashReport("d-1", ())),
    "news of crashes, filled": _peer_message_sample(
        peer_messages.CrashReport(
            sender="d-1",
            crashes=(
                peer_messages.ReportedCrash("0123456789abcdef", "i-1", 1_700_000_000, True),
                peer_messages.ReportedCrash(
                    content="fedcba9876543210",
                    engine_id="i-2",
                    crashed_at=1_700_000_001,
                    is_valid=False,
                ),
            ),
        )
    ),
    "servers that leave, empty": _peer_message_sample(
        peer_messages.EngineDrainNotice("d-1", (), ())
    ),
    "servers that leave, filled": _peer_message_sample(
        peer_messages.EngineDrainNotice(
            sender="d-1", draining=("i-1", "i-2"), removed=("i-3", "i-4", "i-5")
        )
    ),
    "versions of engines": _peer_message_sample(
        peer_messages.VersionsNotice(
            sender="d-1",
            rows=(
                peer_messages.ListedVersion(service=1, version=2, age_ms=3),
                peer_messages.ListedVersion(0xFFFFFFFF, 0xFFFFFFFE, 30_000),
            ),
        )
    ),
    "origins of streams": _peer_message_sample(
        peer_messages.StreamOrigins(
            sender="d-1",
            rows=(
                peer_messages.OriginRow(stream=LARGE, service=1, version=2, attempt=3),
                peer_messages.OriginRow(5, 6, 7, 1),
            ),
        )
    ),
    "ask for the origin of a stream": _peer_message_sample(
        peer_messages.OriginQuery(
            sender="d-1", address=HOST, incarnation=LARGE, number=93, stream=LARGE
        )
    ),
    "origin of a stream, unknown": _peer_message_sample(
        peer_messages.OriginReply("d-1", LARGE, 93)
    ),
    "origin of a stream, known": _peer_message_sample(
        peer_messages.OriginReply(
            sender="d-1",
            incarnation=LARGE,
            number=93,
            rows=(peer_messages.OriginRow(LARGE, 1, 2, 3),),
        )
    ),
    "ask for a quota": _peer_message_sample(
        peer_messages.QuotaRequest(
            sender="d-1",
            address=HOST,
            number=91,
            group="s|z|0",
            tenant="tenant",
            rate=0.1,
            burst=6.5,
            version=92,
            incarnation=LARGE,
        )
    ),
    "answer on a quota, defaults": _peer_message_sample(
        peer_messages.QuotaDecision("d-2", 91, "s|z|0", 101, 102)
    ),
    "answer on a quota of one that may not be alone": _peer_message_sample(
        peer_messages.QuotaDecision("d-2", 91, "s|z|0", 0, 0, is_confirmed=False)
    ),
    "answer on a quota of one that reads no store": _peer_message_sample(
        peer_messages.QuotaDecision("d-2", 91, "s|z|0", 101, 102, reads_store=False)
    ),
    "claim of a quota group": _peer_message_sample(
        peer_messages.QuotaHandoverRequest(
            sender="d-1",
            address=HOST,
            predecessor="d-2",
            claim=peer_messages.KnownClaim(
                group="#quota||0",
                daemon="d-1",
                address=HOST,
                offset=111,
                incarnation=LARGE,
                predecessors=(
                    peer_messages.ClaimHolder("d-2", Address("10.0.0.8", 1)),
                    peer_messages.ClaimHolder("d-3", HOST),
                ),
            ),
        )
    ),
    "accounts handed over, none": _peer_message_sample(
        peer_messages.QuotaHandover("d-2", "#quota||0", 111)
    ),
    "accounts handed over": _peer_message_sample(
        peer_messages.QuotaHandover(
            sender="d-2",
            group="#quota||0",
            offset=111,
            opened_ms=112,
            balances=(
                peer_messages.QuotaBalance(tenant="one", hundredths=113),
                peer_messages.QuotaBalance("two", 0),
            ),
        )
    ),
    "answer on a quota of one that counts not": _peer_message_sample(
        peer_messages.QuotaDecision(
            sender="d-2", number=91, group="s|z|0", granted=0, wait_ms=102, is_coordinator=False
        )
    ),
}

# The store's state, sent to a daemon that cannot read the store.


def _peer_state_sample(
    state: peer_state.PeerState, version: int = peer_state.FIRST_VERSION
) -> Sample:
    return Sample(
        lambda: peer_state.encode_state(state, version),
        lambda data: peer_state.encode_state(peer_state.decode_state(data), version),
    )


PEER_STATES = {
    "nothing known": _peer_state_sample(peer_state.PeerState(None, (), None)),
    "configuration and servers": _peer_state_sample(
        peer_state.PeerState(
            peer_state.StoredRecord("config", b'{"version": 7}'),
            (peer_state.StoredRecord("i-1", b"{}"), peer_state.StoredRecord("i-2", b"\x00\xff")),
            1.25,
        )
    ),
    "with the configuration's age": _peer_state_sample(
        peer_state.PeerState(
            peer_state.StoredRecord("config", b'{"version": 7}'),
            (peer_state.StoredRecord("i-1", b"{}"),),
            1.25,
            0.75,
        ),
        peer_state.VERSION,
    ),
}

# Messages between standalone daemons.

SEAL_KEY = b"key-1234"
SENT_AT = 1_700_000_000.25
_MEMBERS = [
    messages.MemberUpdate("m-1", 2, "alive", "10.0.0.1:7400", "z1"),
    messages.MemberUpdate(
        name="m-2", incarnation=LARGE, state="suspect", address="10.0.0.2:7400", zone="é"
    ),
]


def _sealed_sample(message: messages.Message) -> Sample:
    def reencode(data: bytes) -> bytes:
        opened = messages.Sealer(SEAL_KEY).open(SENT_AT, data)
        assert opened is not None
        return messages.Sealer(SEAL_KEY).seal(SENT_AT, opened)

    return Sample(lambda: messages.Sealer(SEAL_KEY).seal(SENT_AT, message), reencode)


SEALED_MESSAGES = {
    "ping, no updates": _sealed_sample(messages.Ping(1, "m-1", 3, [])),
    "ping, updates": _sealed_sample(
        messages.Ping(sequence=LARGE, sender="m-1", configuration_offset=3, updates=_MEMBERS)
    ),
    "answer to a ping, no updates": _sealed_sample(messages.Ack(1, "m-2", 4, [])),
    "answer to a ping, updates": _sealed_sample(
        messages.Ack(sequence=1, subject="m-2", configuration_offset=4, updates=_MEMBERS)
    ),
    "indirect ping": _sealed_sample(
        messages.IndirectPing(
            sequence=5, sender="m-1", subject="m-2", subject_address="10.0.0.2:7400"
        )
    ),
    "ask for members, empty": _sealed_sample(messages.SyncRequest("m-1", [], [])),
    "ask for members, filled": _sealed_sample(
        messages.SyncRequest(sender="m-1", digests=[6, 2**63 - 1, 7], members=_MEMBERS)
    ),
    "members, empty": _sealed_sample(messages.SyncReply("m-1", [])),
    "members, filled": _sealed_sample(messages.SyncReply(sender="m-1", members=_MEMBERS)),
    "ask for configuration": _sealed_sample(messages.ConfigurationRequest(sender="m-1", offset=8)),
    "configuration, empty": _sealed_sample(messages.ConfigurationEntries("m-1", 8, [])),
    "configuration, filled": _sealed_sample(
        messages.ConfigurationEntries(sender="m-1", offset=8, entries=[b"\x00\xff", b""])
    ),
    "ask for slots": _sealed_sample(
        messages.BatchSlotRequest(sender="m-1", engine="e-1", running=9, requested=10)
    ),
    "grant of slots": _sealed_sample(
        messages.SlotGrant(
            sender="m-1",
            engine="e-1",
            incarnation="inc",
            slots=11,
            non_preemptible=12,
            seconds=1.5,
            priority=13,
        )
    ),
    "online requests were sent": _sealed_sample(
        messages.OnlineNotice(sender="m-1", engine="e-1", count=14)
    ),
    "an engine leaves": _sealed_sample(
        messages.EngineLeaving(sender="m-1", engine="e-1", incarnation="inc")
    ),
    "a shard has grown": _sealed_sample(messages.ShardStreamGrown(sender="m-1", shard=15)),
    "a shard is asked for": _sealed_sample(messages.ShardHandoverRequest(sender="m-1", shard=16)),
}

# Records of the gateway in its store: keys and values as encoded in store calls.

_MANIFEST = records.Manifest(
    "job:1", "route", "h.example", 3, 400, "digest", 5, 1_700_000_000.5, "tenant"
)
_ITEMS = (
    records.JobItem("item-1", "/p?q=1", (), b"", 1),
    records.JobItem("item-2", "/p", (("A", "b"), ("Content-Type", "x")), b"\x00body\xff", 300),
    records.JobItem("item-3", "/p", (("Z", "y"), ("A", "b")), b"0123456789" * 4, 99),
)
_OUTPUT = records.OutputPart("4", "9", "text é\n")
RECORD_BYTES = records.RECORD_OVERHEAD_BYTES + 90


def _records_sample(
    build: Callable[[], Iterable[KeyedRecord]],
    rebuild: Callable[[KeyedRecord], Iterable[KeyedRecord]] | None = None,
) -> Sample:
    """Returns a sample of records in a store call; `rebuild` decodes and reencodes one record."""

    def reencode(data: bytes) -> bytes:
        assert rebuild is not None
        decoded = decode_records(data, 0)
        return encode_records(tuple(chain.from_iterable(rebuild(record) for record in decoded)))

    return Sample(lambda: encode_records(tuple(build())), reencode if rebuild is not None else None)


def _reencode_manifest(stored: KeyedRecord) -> Iterator[KeyedRecord]:
    kind, job_id, _ = records.split_key(stored.key)
    assert kind == "j"
    yield records.manifest_record(records.read_manifest(job_id, stored.value))


def _reencode_content(stored: KeyedRecord) -> Iterator[KeyedRecord]:
    kind, job_id, _ = records.split_key(stored.key)
    assert kind == "d"
    digest = records.read_content(stored.value)
    yield records.content_record(records.Manifest(job_id, "", "", 0, 0, digest, 0))


def _reencode_progress(stored: KeyedRecord) -> Iterator[KeyedRecord]:
    yield records.progress_record(
        records.split_key(stored.key)[1], records.read_progress(stored.value)
    )


def _reencode_end(stored: KeyedRecord) -> Iterator[KeyedRecord]:
    """Applies the end record to an index; the result is empty unless the job counts as ended."""
    index = JobIndex()
    index.apply(0.0, records.manifest_record(_MANIFEST))
    index.apply(0.0, stored)
    assert index.malformed == 0
    ((job_id, entry),) = index.jobs.items()
    if entry.is_ended:
        yield records.end_record(job_id)


def _reencode_chunk(stored: KeyedRecord) -> Iterator[KeyedRecord]:
    """Reencodes a chunk alone, which gives it number 0, and restores the original key."""
    _, job_id, number = records.split_key(stored.key)
    (packed,) = records.chunk_records(job_id, records.read_chunk(stored.value), RECORD_BYTES)
    assert number >= 0
    yield KeyedRecord(stored.key, packed.value)


def _reencode_failures(stored: KeyedRecord) -> Iterator[KeyedRecord]:
    _, job_id, item = records.split_key(stored.key)
    yield records.failures_record(job_id, item, records.read_failures(stored.value))


def _reencode_part(stored: KeyedRecord) -> Iterator[KeyedRecord]:
    job_id, item, part = records.split_part_key(stored.key)
    yield records.checkpoint_record(job_id, item, part, records.read_checkpoint(stored.value))


def _reencode_result(data: bytes) -> bytes:
    *rests, head = decode_records(data, 0)
    pieces = {
        records.split_part_key(rest.key)[2]: records.read_continuation(rest.value) for rest in rests
    }
    whole = records.read_result_head(head.value).assemble(pieces)
    assert whole is not None
    _, job_id, position = records.split_key(head.key)
    return encode_records(records.result_records(job_id, position, whole, RECORD_BYTES))


def _result_sample(position: int, *fields: str) -> Sample:
    built = records.ItemResult(*fields)
    return Sample(
        lambda: encode_records(records.result_records("job:1", position, built, RECORD_BYTES)),
        _reencode_result,
    )


def _discard_log(event: str, **fields: object) -> None:
    """Discards a log line."""


def crash_records(*, is_valid: bool) -> tuple[KeyedRecord, ...]:
    """Returns the records that are written for a crash, or for a retracted one."""
    shared = SharedCrashes(
        "d-1", CallNumbers(), random.Random(1), list, lambda *args: False, _discard_log
    )
    shared.publish(1.0, Crash("0123456789abcdef", "i-1"), 1_700_000_000.75, is_valid)
    due = shared.on_timer(60.0, True)
    (write,) = (call for call in due if isinstance(call, AppendRecords))
    return write.records


def decoded_crashes(stored: Iterable[KeyedRecord]) -> Iterator[tuple[str, str, float, bool]]:
    """Yields content, engine, time and validity of the crashes in records that are read."""
    decoded: list[tuple[str, str, float, bool]] = []

    def add(now: float, crash: Crash, at: float, is_valid: bool) -> bool:
        decoded.append((crash.content, crash.engine_id, at, is_valid))
        return False

    shared = SharedCrashes("d-2", CallNumbers(), random.Random(1), list, add, _discard_log)
    (read,) = (call for call in shared.on_timer(0.0, True) if isinstance(call, ReadNewest))
    shared.on_store(0.1, read.call, NewestPage(tuple(stored), False, 1))
    yield from decoded


def _reencode_crash(stored: KeyedRecord) -> Iterator[KeyedRecord]:
    for content, engine_id, at, is_valid in decoded_crashes([stored]):
        shared = SharedCrashes(
            "d-1", CallNumbers(), random.Random(1), list, lambda *args: False, _discard_log
        )
        shared.publish(1.0, Crash(content, engine_id), at, is_valid)
        for call in shared.on_timer(60.0, True):
            if isinstance(call, AppendRecords):
                yield from call.records


def _claims(daemon: str, address: Address, service: str) -> CoordinatorClaims:
    groups = EngineGroups()
    groups.update([EngineRecord("i-1", service, HOST, "z1", 4, False)])
    return CoordinatorClaims(
        DaemonIdentity(daemon, "z1", address, 1),
        groups,
        CallNumbers(),
        random.Random(1),
        _discard_log,
    )


def claim_records(
    daemon: str = "d-1", address: Address = HOST, service: str = "service"
) -> tuple[KeyedRecord, ...]:
    """Returns the records with which a daemon claims the group of a service."""
    claims = _claims(daemon, address, service)
    for tenth in range(300):
        now = tenth / 10
        for call in claims.on_timer(now):
            if isinstance(call, ReadNewest):
                claims.on_answer(now, call.call, NewestPage((), False, 0))
            elif isinstance(call, ReadRecords):
                claims.on_answer(now, call.call, RecordsRead((), 0, 0))
            elif isinstance(call, AppendRecords):
                return call.records
    raise AssertionError("no claim was made")


def _reencode_claim(stored: KeyedRecord) -> Iterable[KeyedRecord]:
    """Reads a claim from the store, and claims its group with the values reported to peers."""
    claims = _claims("d-2", HOST, stored.key.partition("|")[0])
    (read,) = (call for call in claims.on_timer(0.0) if isinstance(call, ReadNewest))
    page = NewestPage((KeyedRecord(stored.key, stored.value, 7),), False, 8)
    claims.on_answer(0.1, read.call, page)
    (claim,) = claims.known_claims()
    assert claim.offset == 7
    assert claim.predecessors == ()
    return claim_records(claim.daemon, claim.address, claim.group.partition("|")[0])


def _exclusive_claims(daemon: str, incarnation: int) -> CoordinatorClaims:
    """Returns the claims of a daemon that knows no engine: it claims a quota group alone."""
    return CoordinatorClaims(
        DaemonIdentity(daemon, "z1", HOST, incarnation),
        EngineGroups(),
        CallNumbers(),
        random.Random(1),
        _discard_log,
        QUOTA_GROUPS[:1],
    )


def exclusive_claim_records(
    daemon: str = "d-1", incarnation: int = 7, earlier: KeyedRecord | None = None
) -> tuple[KeyedRecord, ...]:
    """Returns the record with which a daemon claims a quota group, after an earlier claim."""
    claims = _exclusive_claims(daemon, incarnation)
    known = () if earlier is None else (earlier,)
    for tenth in range(300):
        now = tenth / 10
        for call in claims.on_timer(now):
            if isinstance(call, ReadNewest):
                claims.on_answer(now, call.call, NewestPage(known, False, 9))
            elif isinstance(call, ReadRecords):
                claims.on_answer(now, call.call, RecordsRead((), 9, 9))
            elif isinstance(call, AppendRecords):
                return call.records
        if earlier is not None:
            claims.on_not_coordinator(now, earlier.key)
    raise AssertionError("no claim was made")


def _reencode_exclusive_claim(stored: KeyedRecord) -> Iterable[KeyedRecord]:
    """Reads a claim of a quota group, and makes the claim that succeeded its predecessor."""
    claims = _exclusive_claims("d-9", 1)
    (read,) = (call for call in claims.on_timer(0.0) if isinstance(call, ReadNewest))
    page = NewestPage((KeyedRecord(stored.key, stored.value, 7),), False, 8)
    claims.on_answer(0.1, read.call, page)
    (claim,) = claims.known_claims()
    if not claim.predecessors:
        return exclusive_claim_records(claim.daemon, claim.incarnation)
    (predecessor,) = claim.predecessors
    (first,) = exclusive_claim_records(predecessor.daemon, 3)
    earlier = KeyedRecord(first.key, first.value, 8)
    return exclusive_claim_records(claim.daemon, claim.incarnation, earlier)


def removed_content() -> list[KeyedRecord]:
    """Returns the records that remove a job's content, which has records of each kind."""
    content = JobContent()
    content.heads[2] = records.ResultHead("item-1", records.DONE, b"", 0)
    content.continuations[2] = {0: b"a", 1: b"b"}
    content.failures[3] = 1
    content.parts[4] = {0: _OUTPUT, 5: _OUTPUT}
    content.chunks[6] = ()
    return [KeyedRecord(key, b"") for key in content_keys("job:1", content)]


STORED_RECORDS = {
    "manifest of a job, defaults": _records_sample(
        lambda: [records.manifest_record(records.Manifest("j", "r", "h", 1, 2, "d", 0))],
        _reencode_manifest,
    ),
    "manifest of a job, all fields": _records_sample(
        lambda: [records.manifest_record(_MANIFEST)], _reencode_manifest
    ),
    "mark that a job was ended": _records_sample(
        lambda: [records.end_record("job:1")], _reencode_end
    ),
    "content of a job that is numbered by its digest": _records_sample(
        lambda: [records.content_record(_MANIFEST)], _reencode_content
    ),
    "tokens left of a job": _records_sample(
        lambda: [records.progress_record("job:1", 0), records.progress_record("job:1", LARGE)],
        _reencode_progress,
    ),
    "items of a job in several records": _records_sample(
        lambda: records.chunk_records("job:1", _ITEMS, RECORD_BYTES), _reencode_chunk
    ),
    "result, empty": _result_sample(0, "item-1", "done", ""),
    "result, dead": _result_sample(1, "item-2", "dead", "reason"),
    "result in several records": _result_sample(12345, "item-3", "done", "é0123456789" * 20),
    "part of an item's output": _records_sample(
        lambda: [
            records.checkpoint_record("job:1", 3, 0, records.OutputPart("", "4", "")),
            records.checkpoint_record("job:1", 3, 12, _OUTPUT),
        ],
        _reencode_part,
    ),
    "part of an item's output, with its version": _records_sample(
        lambda: [
            records.checkpoint_record(
                "job:1", 3, 12, records.OutputPart("4", "9", "text", records.OutputId("v1"))
            )
        ],
        _reencode_part,
    ),
    "part of a stated output": _records_sample(
        lambda: [
            records.checkpoint_record(
                "job:1",
                3,
                12,
                records.OutputPart("4", "9", "text", records.OutputId("v1", "0000000a0000000b")),
            )
        ],
        _reencode_part,
    ),
    "failed runs of an item": _records_sample(
        lambda: [records.failures_record("job:1", 7, 2)], _reencode_failures
    ),
    "removal of a job's content": _records_sample(removed_content),
    "crash that stands": _records_sample(lambda: crash_records(is_valid=True), _reencode_crash),
    "crash taken back": _records_sample(lambda: crash_records(is_valid=False), _reencode_crash),
    "claim of a group": _records_sample(claim_records, _reencode_claim),
    "claim of a quota group": _records_sample(exclusive_claim_records, _reencode_exclusive_claim),
    "claim of a quota group after another": _records_sample(
        lambda: exclusive_claim_records(
            "d-2", 8, KeyedRecord(QUOTA_GROUPS[0].name, exclusive_claim_records()[0].value, 8)
        ),
        _reencode_exclusive_claim,
    ),
}

# Learned times of daemons in the peer registry in the store.

_ALL_LEARNED_TIMES = LearnedTimes(
    {"s1": (120, 900), "s2": (3, LARGE)}, {"r1": 5000, "r2": 1}, BatchRunTimes(1, 2, 3)
)


def _registry_sample(learned_times: LearnedTimes) -> Sample:
    entry = PeerRegistryEntry("d-1", HOST, "z1", learned_times)
    return Sample(
        lambda: encode_entry(entry),
        lambda data: encode_entry(decode_entry(KeyedRecord("d-1", data))),
    )


LEARNED_TIMES = {
    "nothing learnt": _registry_sample(LearnedTimes()),
    "times alone": _registry_sample(LearnedTimes({"s1": (120, 900)})),
    "patience alone": _registry_sample(LearnedTimes({}, {"r1": 5000})),
    "everything learnt": _registry_sample(_ALL_LEARNED_TIMES),
    "more names than are kept": _registry_sample(
        LearnedTimes(
            {f"s{n}": (n, n + 1) for n in range(70)}, {f"r{n}": n for n in range(70)}, None
        )
    ),
}

# Entries of the standalone daemon's log.


def _log_entry_sample(*log_records: entries.Record) -> Sample:
    def reencode(data: bytes) -> bytes:
        entry = entries.decode_entry(data)
        return entries.encode_entry(entry.writer, entry.sequence, entry.records)

    return Sample(lambda: entries.encode_entry("writer", 7, list(log_records)), reencode)


LOG_ENTRIES = {
    "no record": _log_entry_sample(),
    "items of a job, empty": _log_entry_sample(entries.ChunkSubmitted("job", 1, [])),
    "items of a job, filled": _log_entry_sample(
        entries.ChunkSubmitted(
            job_id="job",
            chunk_index=1,
            items=[
                entries.BatchItem(custom_id="c-1", prompt="prompt é", max_tokens=5),
                entries.BatchItem("c-2", "", 6),
            ],
        )
    ),
    "job committed": _log_entry_sample(
        entries.JobCommitted(
            job_id="job",
            identity="identity",
            content_digest="digest",
            tenant="tenant",
            service="s",
            item_count=2,
            repeatable=True,
            committed_at=1.5,
            deadline=2.5,
            identity_window=3.5,
        )
    ),
    "job cancelled": _log_entry_sample(entries.JobCancelled("job")),
    "shard claimed": _log_entry_sample(entries.EpochClaimed("owner", 8)),
    "shard released": _log_entry_sample(entries.EpochReleased(9)),
    "shard renewed": _log_entry_sample(entries.EpochRenewed(10)),
    "attempt started": _log_entry_sample(
        entries.AttemptStarted(epoch=11, job_id="job", item_index=12)
    ),
    "item finished": _log_entry_sample(
        entries.ItemFinished(
            epoch=13, job_id="job", item_index=14, outcome="completed", body="body"
        )
    ),
    "job closed": _log_entry_sample(
        entries.JobClosed(epoch=15, job_id="job", result_offsets=b"\x00\xff")
    ),
    "request claimed once": _log_entry_sample(
        entries.OnceClaimed(key="key", request_id="id", claimed_at=16.5, window=17.5)
    ),
    "configuration published, empty": _log_entry_sample(
        entries.ConfigurationPublished("p", "author", "message", 18, 19.5, [])
    ),
    "configuration published, a value of each type": _log_entry_sample(
        entries.ConfigurationPublished(
            publication_id="p",
            author="author",
            message="message",
            base_version=18,
            published_at=19.5,
            changes=[
                entries.ConfigurationChange("a/b", "bool", True),
                entries.ConfigurationChange("a/b", "int", 1),
                entries.ConfigurationChange("a/b", "float", 1.0),
                entries.ConfigurationChange("a/b", "str", "1"),
                entries.ConfigurationChange(path="a/b", key="none", value=None),
            ],
        )
    ),
    "several records": _log_entry_sample(
        entries.EpochClaimed(owner="owner", previous_epoch=8), entries.JobCancelled("job")
    ),
}

# Calls to the store, as sent over its connection.

_KEYED = (KeyedRecord("key é", b"\x00\xff"), KeyedRecord("removed", b""))


def sent_request(call: StoreCall) -> bytes:
    """Returns the bytes that the store client sends for a call, without the port of its host."""
    return sent_to_server(lambda address: StoreClient(address).call(call))


def _store_call_sample(call: StoreCall) -> Sample:
    return Sample(lambda: sent_request(call))


def ownership_calls() -> list[StoreCall]:
    """Returns the calls with which a daemon joins, claims its assigned shards, and leaves."""
    numbers, rng = CallNumbers(), random.Random(1)
    ownership = ShardOwnership("d-1", 1.0, JobReplicas(numbers, rng), numbers, rng, _discard_log)
    (join,) = ownership.on_timer(0.0)
    dealt = GroupJoined(3, (records.shard_partition(2), records.shard_partition(5)))
    ownership.on_answer(0.1, join.call, dealt)
    rejoin, *claims = ownership.on_timer(0.2)
    return [join, rejoin, *claims, *ownership.leave()]


_INDEX, _SHARD = records.INDEX, records.shard_partition(3)
STORE_CALLS = {
    "newest records": _store_call_sample(ReadNewest(1, _SHARD)),
    "newest records after a key": _store_call_sample(ReadNewest(1, _INDEX, "b:j é:&")),
    "records": _store_call_sample(ReadRecords(1, _SHARD, 7)),
    "records, waiting": _store_call_sample(ReadRecords(1, _INDEX, 7, 1.25)),
    "append": _store_call_sample(AppendRecords(1, _SHARD, _KEYED)),
    "append at an expected end": _store_call_sample(AppendRecords(1, _SHARD, _KEYED, 9)),
    "append with a fence": _store_call_sample(
        AppendRecords(1, _SHARD, _KEYED, None, WriterStamp("writer", LARGE, 4))
    ),
    "append at an end with a fence": _store_call_sample(
        AppendRecords(1, _SHARD, (), 0, WriterStamp("writer", 2, 0))
    ),
    "join a group": _store_call_sample(JoinGroup(1, "group", "d-1", ("items", "servers"), 2.5, 6)),
    "leave a group": _store_call_sample(LeaveGroup(1, "group", "d-1")),
    **{
        f"ownership of shards, call {number}": _store_call_sample(call)
        for number, call in enumerate(ownership_calls())
    },
}

# Refusals and other answers to callers.


def _response_sample(response: Response) -> Sample:
    def encode() -> bytes:
        heads: list[bytes] = []

        def start(status: str, headers: list[tuple[str, str]]) -> None:
            rows = [status, *(f"{name}: {value}" for name, value in headers)]
            heads.append("".join(f"{row}\r\n" for row in rows).encode())

        body = b"".join(send(response, start))
        return heads[0] + b"\r\n" + body

    return Sample(encode)


def _outcome_sample(outcome: NotRun | MayHaveRun | Cut, request_id: str = "id-1") -> Sample:
    return _response_sample(error_response(outcome, request_id))


def _without_request_id() -> Response:
    """Returns the application's answer to a request without an id."""
    start_args: list[Any] = []
    application = CallerApplication(
        MagicMock(), MagicMock(), MagicMock(), MagicMock(), lambda request, body: None
    )
    body = application(
        {"REQUEST_METHOD": "GET", "PATH_INFO": "/"}, lambda *args: start_args.extend(args)
    )
    status, headers = start_args
    rows = dict(headers)
    return Response(int(status[:3]), b"".join(body), rows["Content-Type"])


def _key_refusal(key: str, *, may_be_outdated: bool) -> NotRun:
    """Returns the refusal of a caller's API key."""
    routes = MagicMock()
    routes.configuration = decode_configuration(CONFIGURATION_OF_TENANTS)
    tenant_keys = TenantKeys(routes)
    routes.may_be_outdated = may_be_outdated
    refusal = tenant_keys.owner_of(key)
    assert isinstance(refusal, NotRun)
    return refusal


CONFIGURATION_OF_TENANTS = b'{"version": 1, "tenants": [{"name": "t", "apiKeys": ["k"]}]}'
REFUSALS = {
    "not run": _outcome_sample(NotRun("reason", Step.ADMIT)),
    "not run, to be asked again": _outcome_sample(NotRun("reason", Step.DISPATCH, "peer", 0.25)),
    "not run, to be asked again at once": _outcome_sample(
        NotRun("reason", Step.RELAY, "peer", 0.0)
    ),
    "not run, another status": _outcome_sample(NotRun("reason", Step.ROUTE, "", None, 404)),
    "not run, no request id": _outcome_sample(NotRun("reason", Step.ADMIT, "", 12.3456), ""),
    "may have run": _outcome_sample(MayHaveRun("reason", Step.DISPATCH, "peer", 1.5)),
    "may have run, another status": _outcome_sample(
        MayHaveRun("reason", Step.RELAY, "", None, 502)
    ),
    "cut": _outcome_sample(Cut("reason", 5, Step.RELAY, "peer")),
    **{f"step {step}": _outcome_sample(NotRun("reason", step)) for step in Step},
    "request without an id": _response_sample(_without_request_id()),
    "no key": _outcome_sample(_key_refusal("", may_be_outdated=False)),
    "unknown key": _outcome_sample(_key_refusal("x", may_be_outdated=False)),
    "unknown key, configuration may be old": _outcome_sample(
        _key_refusal("x", may_be_outdated=True)
    ),
    "job accepted": _response_sample(encode_answer(JobAccepted())),
    "job ended": _response_sample(encode_answer(JobEnded())),
    "item's body": _response_sample(encode_answer(ItemBody(b"\x00\xff"))),
    "results, none": _response_sample(encode_answer(JobResults(3, 0, ()))),
    "results": _response_sample(
        encode_answer(
            JobResults(
                9,
                4,
                (
                    records.ItemResult("a", records.DONE, "one\ntwo é"),
                    records.ItemResult("b", records.DEAD, ""),
                ),
            )
        )
    ),
    "job refused": _response_sample(encode_answer(JobRefused(409, "reason"))),
    "job refused, to be asked again": _response_sample(
        encode_answer(JobRefused(429, "reason", 0.5))
    ),
}

# Metrics exported at the metrics address.


def metric_rows() -> dict[str, Any]:
    """Returns type, label names and buckets of each metric by its name."""
    metrics = GatewayMetrics(MagicMock())
    rows: dict[str, Any] = {}
    for collector in metrics.registry._collector_to_names:
        (family,) = collector.collect()
        buckets = [row.labels["le"] for row in family.samples if "le" in row.labels]
        rows[family.name] = [family.type, list(getattr(collector, "_labelnames")), buckets]  # noqa: B009
    return rows


def metrics_after_log_lines() -> list[str]:
    """Returns the metrics text after the log lines, without help texts and creation times."""
    metrics = GatewayMetrics(MagicMock())
    for event, fields in LOG_LINES:
        metrics.on_log_line(LogLine(event, fields))
    rows = metrics.render().decode().splitlines()
    return [row for row in rows if not row.startswith("# HELP") and "_created" not in row]


LOG_LINES: list[tuple[str, dict[str, object]]] = [
    *(
        ("attempt ended", {"kind": kind, "first_ms": 30 * number})
        for number, kind in enumerate(AttemptOutcome)
    ),
    ("item run ended", {"kind": AttemptOutcome.CUT}),
    ("attempt ended", {}),
    ("caller gone", {"close_to_abort_ms": 20}),
    ("request refused", {"status": 429}),
    ("request refused", {"status": 429, "quota_way": "counted", "quota_ms": 3}),
    ("request sent", {"attempt": 1, "quota_way": "counted", "quota_ms": 40}),
    ("request sent", {"attempt": 2, "quota_way": "counted", "quota_ms": 40}),
    ("request sent", {"attempt": 1, "quota_way": "none", "quota_ms": 0}),
    ("request refused", {}),
    ("request given up", {"outcome": "NotRun", "step": Step.ADMIT, "route": "r"}),
    ("request given up", {}),
    ("engine health answered", {"engine": "e", "result": "pace", "percent": 120}),
    ("engine health answered", {"engine": "e", "result": "failed", "percent": None}),
    ("slot request queued", {"position": 3, "wait_ms": 70}),
    ("slot granted after wait", {"waited_ms": 60}),
    ("slot granted after wait", {}),
    ("slot request denied", {"waited_ms": 300}),
    ("queue not confirmed", {"waited_ms": 30}),
    ("queued request denied", {"reason": "the queue is beyond its bound"}),
    ("batch slots granted", {"tenant": "a", "count": 3, "tenants_waiting": 2}),
    ("batch slots granted", {"tenant": "a", "count": 2, "tenants_waiting": 1}),
    ("batch slots granted", {}),
    ("item chosen to stop", {"stage": "reading", "lost_ms": 50}),
    ("item chosen to stop", {}),
]

# Settings, configuration and engine records: text that operators and the platform write.


def read_settings(text: str) -> Any:
    """Returns the settings in a file with the given text."""
    with NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        return plain(load_gateway_settings(Path(file.name)))


SETTINGS: dict[str, Callable[[str], Any]] = {
    "settings file": read_settings,
    "configuration": lambda text: plain(decode_configuration(text.encode())),
    "server": lambda text: plain(decode_engine("i-1", text.encode())),
    "policies": lambda text: plain(read_policies(text)),
    "hand-in of a job": lambda text: plain(
        decode_submission(
            1,
            IncomingRequest("j", "POST", "/p", "h", "/p", "", [], 4.0, "", read_prompt("", ""), ""),
            text.encode(),
        )
    ),
}

# Names on the wire, and hashes on which all daemons must agree.

_ENGINES = [
    EngineRecord(f"i-{number}", service, HOST, f"z{number % 2}", 4, False)
    for service, count in (("small", 16), ("large", 80))
    for number in range(count)
]


PACKED_OFFSETS = "789c636480005610c1c8c00000004b0008"
"""Offsets compressed on one machine; another compression library may give other bytes."""


def names_and_hashes() -> dict[str, Any]:
    """Returns names on the wire and hashes as plain values."""
    groups = assign_groups(_ENGINES[:16]) | assign_groups(_ENGINES[16:])
    prompt = read_prompt("9000,10", "a:4000,session:4000,own:1000")
    engines = [SimpleNamespace(record=record) for record in _ENGINES[16:]]
    constants = (value for name, value in vars(names).items() if name.isupper())
    return {
        "hash of parts": [stable_hash("a"), stable_hash("a", "é", ""), stable_hash()],
        "order of candidates": rendezvous_order("key", [f"c-{n}" for n in range(9)]),
        "shards of jobs": [records.shard_of(f"job-{n}", 64) for n in range(20)],
        "keys of servers": [peer_messages.engine_key(f"i-{n}") for n in range(9)],
        "units of prompts": [peer_messages.prefill_units(n) for n in (0, 1023, 1024, 1025, 9999)],
        "groups of servers": {engine: group.name for engine, group in groups.items()},
        "servers for a long prompt": [
            home.record.engine_id for home in homes_of(prompt, cast(Any, engines))
        ],
        "content of requests": [
            content_key("h.example", "POST", "/p?q=1", b"\x00body"),
            content_key("", "", "", b""),
        ],
        "digests of keys": [key_digest("secret é"), key_digest("")],
        "digest of a hand-in": submission_digest(b'{"requests": [{"id": "a", "path": "/p"}]}'),
        "topics": [
            topic_name(topic)
            for topic in (
                active_configuration.CONFIGURATION_TOPIC,
                engine_list.ENGINES_TOPIC,
                peer_registry.PEERS_TOPIC,
                coordinator_claims.CLAIMS_TOPIC,
                shared_crashes.CRASHES_TOPIC,
                records.INDEX_TOPIC,
                records.SHARD_TOPIC,
            )
        ],
        "paths between daemons": [PEER_STATE_PATH, METRICS_PATH],
        "texts of the platform": sorted(
            plain(value) if isinstance(value, str) else ",".join(sorted(value))
            for value in constants
        ),
        "kinds of attempts": [str(kind) for kind in AttemptOutcome],
        "outcomes of items on the log": [state.name.lower() for state in ItemState],
        "buckets of members": [bucket_of(f"m-{n}") for n in range(20)],
        "weights of daemons for shards": [weight_of(n, "m-1")[0] for n in range(5)],
        "digest of a submission": entries.content_digest(
            "s", True, (entries.BatchItem("c", "prompt é", 5),)
        ),
        "offsets unpacked": list(entries.unpack_offsets(bytes.fromhex(PACKED_OFFSETS))),
    }


def submission_digest(body: bytes) -> str:
    """Returns the digest by which a repeated job submission is recognised."""
    request = IncomingRequest("j", "POST", "/p", "h", "/p", "", [], 4.0, "", read_prompt("", ""))
    return decode_submission(1, request, body).digest
