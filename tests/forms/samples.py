"""Builds one value of each form, by position or by the shortest path.

The only module here that names classes and functions of the code under test. A sample is named by
what its form is, so its name stays when the code's own names change.
"""

import random
from collections.abc import Callable, Iterable, Iterator
from itertools import chain

from tests.forms.forms import Form, plain
from troutswitch.common import Address
from troutswitch.daemons import datagram, messages, peerstate, slotmessages
from troutswitch.decisions.crashes.messages import Crash
from troutswitch.decisions.crashes.shared import SharedCrashes
from troutswitch.decisions.forwarding.experience import BatchPace, Experience
from troutswitch.decisions.forwarding.types import ServerRecord
from troutswitch.decisions.jobs import records
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.retention import content_keys
from troutswitch.decisions.jobs.shard import JobContent
from troutswitch.decisions.peers.directory import DirectoryEntry, decode_entry, encode_entry
from troutswitch.decisions.slots.claims import CoordinatorClaims
from troutswitch.decisions.slots.groups import ServerGroups
from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    KeyedRecord,
    NewestPage,
    ReadNewest,
    ReadRecords,
    RecordsRead,
)
from troutswitch.logservice import records as entries
from troutswitch.platform.store import decode_records, encode_records

HOST = Address("10.0.0.7", 7400)
LARGE = 2**40 + 5

# Messages between daemons of the gateway.

_REPORT_SHORT = slotmessages.HoldingsReport("d-1", "z1", HOST, 3, 4)
_REPORT_FULL = slotmessages.HoldingsReport(
    "d-1",
    "zone é",
    HOST,
    LARGE,
    5,
    (slotmessages.ServerShare(11, 1, 2, 3), slotmessages.ServerShare(4294967295, 4, 5, 6)),
    7,
    8,
    9,
    LARGE + 1,
    12,
    (21, 22, 23),
)


def _peer_message(message: slotmessages.SlotMessage) -> Form:
    return Form(
        lambda: datagram.encode(message), lambda data: datagram.encode(datagram.decode(data))
    )


PEER_MESSAGES = {
    "report of holdings, defaults": _peer_message(_REPORT_SHORT),
    "report of holdings, all fields": _peer_message(_REPORT_FULL),
    "ask for a place, defaults": _peer_message(
        slotmessages.PlaceAsk(_REPORT_SHORT, 31, "s|z|0", 4, -1)
    ),
    "ask for a place, all fields": _peer_message(
        slotmessages.PlaceAsk(_REPORT_FULL, 31, "s|z|0", 4, 1500, (41, 42))
    ),
    "answer with a place, defaults": _peer_message(
        slotmessages.PlaceAnswer("d-2", LARGE, 31, "s|z|0", 51, 4294967295, 52, 53, 54)
    ),
    "answer of one that counts not": _peer_message(
        slotmessages.PlaceAnswer("d-2", 6, 31, "s|z|0", 0, 0, 0, 0, 0, False)
    ),
    "places for batch items, granted": _peer_message(
        slotmessages.BatchPlaces("d-2", 6, "s|z|0", 61, 62, 63)
    ),
    "places for batch items, taken back": _peer_message(
        slotmessages.BatchPlaces("d-2", 6, "s|z|0", 61, 62, -3)
    ),
    "digest of a group, empty": _peer_message(
        slotmessages.GroupDigest("d-2", 6, "s|z|0", (), 0, 0)
    ),
    "digest of a group, filled": _peer_message(
        slotmessages.GroupDigest(
            "d-2",
            6,
            "s|z|0",
            (slotmessages.ServerCounts(71, 72, 73), slotmessages.ServerCounts(74, 75, 76)),
            777,
            78,
        )
    ),
    "sign of life, defaults": _peer_message(slotmessages.Hello("d-1", "z1", HOST, 81, -1)),
    "sign of life, claims": _peer_message(
        slotmessages.Hello(
            "d-1",
            "z1",
            HOST,
            LARGE,
            82,
            (
                slotmessages.ClaimTold("s|z|0", "d-2", Address("10.0.0.8", 1), 83),
                slotmessages.ClaimTold("s|z|1", "d-3", HOST, LARGE),
            ),
        )
    ),
    "news of crashes, empty": _peer_message(slotmessages.CrashNews("d-1", ())),
    "news of crashes, filled": _peer_message(
        slotmessages.CrashNews(
            "d-1",
            (
                slotmessages.CrashTold("0123456789abcdef", "i-1", 1_700_000_000, True),
                slotmessages.CrashTold("fedcba9876543210", "i-2", 1_700_000_001, False),
            ),
        )
    ),
    "servers that leave, empty": _peer_message(slotmessages.ServersLeaving("d-1", (), ())),
    "servers that leave, filled": _peer_message(
        slotmessages.ServersLeaving("d-1", ("i-1", "i-2"), ("i-3", "i-4", "i-5"))
    ),
    "ask for a quota, defaults": _peer_message(
        slotmessages.QuotaAsk("d-1", HOST, 91, "s|z|0", "tenant", 65.0, 6.5, 92, 93)
    ),
    "ask for a quota, all fields": _peer_message(
        slotmessages.QuotaAsk("d-1", HOST, 91, "s|z|0", "tenant", 0.1, 6.5, 92, 93, 94)
    ),
    "answer on a quota, defaults": _peer_message(
        slotmessages.QuotaAnswer("d-2", 91, "s|z|0", 101, 102)
    ),
    "answer on a quota of one that counts not": _peer_message(
        slotmessages.QuotaAnswer("d-2", 91, "s|z|0", 0, 102, False)
    ),
}

# The store's state, told to a daemon that cannot read the store.


def _peer_state(state: peerstate.PeerState) -> Form:
    return Form(
        lambda: peerstate.encode_state(state),
        lambda data: peerstate.encode_state(peerstate.decode_state(data)),
    )


PEER_STATES = {
    "nothing known": _peer_state(peerstate.PeerState(None, (), None)),
    "configuration and servers": _peer_state(
        peerstate.PeerState(
            peerstate.StoredRecord("config", b'{"version": 7}'),
            (peerstate.StoredRecord("i-1", b"{}"), peerstate.StoredRecord("i-2", b"\x00\xff")),
            1.25,
        )
    ),
}

# Messages between daemons of the other product.

SEAL_KEY = b"key-1234"
SENT_AT = 1_700_000_000.25
_MEMBERS = [
    messages.MemberUpdate("m-1", 2, "alive", "10.0.0.1:7400", "z1"),
    messages.MemberUpdate("m-2", LARGE, "suspect", "10.0.0.2:7400", "é"),
]


def _sealed(message: messages.Message) -> Form:
    def again(data: bytes) -> bytes:
        opened = messages.Sealer(SEAL_KEY).open(SENT_AT, data)
        assert opened is not None
        return messages.Sealer(SEAL_KEY).seal(SENT_AT, opened)

    return Form(lambda: messages.Sealer(SEAL_KEY).seal(SENT_AT, message), again)


SEALED_MESSAGES = {
    "ping, no updates": _sealed(messages.Ping(1, "m-1", 3, [])),
    "ping, updates": _sealed(messages.Ping(LARGE, "m-1", 3, _MEMBERS)),
    "answer to a ping, no updates": _sealed(messages.Ack(1, "m-2", 4, [])),
    "answer to a ping, updates": _sealed(messages.Ack(1, "m-2", 4, _MEMBERS)),
    "indirect ping": _sealed(messages.IndirectPing(5, "m-1", "m-2", "10.0.0.2:7400")),
    "ask for members, empty": _sealed(messages.SyncRequest("m-1", [], [])),
    "ask for members, filled": _sealed(messages.SyncRequest("m-1", [6, 2**63 - 1, 7], _MEMBERS)),
    "members, empty": _sealed(messages.SyncReply("m-1", [])),
    "members, filled": _sealed(messages.SyncReply("m-1", _MEMBERS)),
    "ask for configuration": _sealed(messages.ConfigurationRequest("m-1", 8)),
    "configuration, empty": _sealed(messages.ConfigurationEntries("m-1", 8, [])),
    "configuration, filled": _sealed(messages.ConfigurationEntries("m-1", 8, [b"\x00\xff", b""])),
    "ask for slots": _sealed(messages.SlotAsk("m-1", "e-1", 9, 10)),
    "grant of slots": _sealed(messages.SlotGrant("m-1", "e-1", "inc", 11, 12, 1.5, 13)),
    "online requests were sent": _sealed(messages.OnlineNotice("m-1", "e-1", 14)),
    "an engine leaves": _sealed(messages.EngineLeaving("m-1", "e-1", "inc")),
    "a shard has grown": _sealed(messages.ShardTouched("m-1", 15)),
    "a shard is asked for": _sealed(messages.ShardWanted("m-1", 16)),
}

# Records of the gateway in its store: keys and values as the store's calls carry them.

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


def _records(
    build: Callable[[], Iterable[KeyedRecord]],
    rebuild: Callable[[KeyedRecord], Iterable[KeyedRecord]] | None = None,
) -> Form:
    """A form of records in a store's call; `rebuild` decodes one record and encodes it again."""

    def again(data: bytes) -> bytes:
        assert rebuild is not None
        held = decode_records(data, 0)
        return encode_records(tuple(chain.from_iterable(rebuild(record) for record in held)))

    return Form(lambda: encode_records(tuple(build())), again if rebuild is not None else None)


def _manifest_again(held: KeyedRecord) -> Iterator[KeyedRecord]:
    kind, job_id, _ = records.split_key(held.key)
    assert kind == "j"
    yield records.manifest_record(records.read_manifest(job_id, held.value))


def _progress_again(held: KeyedRecord) -> Iterator[KeyedRecord]:
    yield records.progress_record(records.split_key(held.key)[1], records.read_progress(held.value))


def _end_again(held: KeyedRecord) -> Iterator[KeyedRecord]:
    """The mark is taken by the index, in which its job then counts as ended."""
    index = JobIndex()
    index.take(0.0, records.manifest_record(_MANIFEST))
    index.take(0.0, held)
    assert index.malformed == 0
    ((job_id, entry),) = index.jobs.items()
    if entry.is_ended:
        yield records.end_record(job_id)


def _chunk_again(held: KeyedRecord) -> Iterator[KeyedRecord]:
    """A chunk packed alone has number 0; its own number comes back by its key."""
    _, job_id, number = records.split_key(held.key)
    (packed,) = records.chunk_records(job_id, records.read_chunk(held.value), RECORD_BYTES)
    assert number >= 0
    yield KeyedRecord(held.key, packed.value)


def _failures_again(held: KeyedRecord) -> Iterator[KeyedRecord]:
    _, job_id, item = records.split_key(held.key)
    yield records.failures_record(job_id, item, records.read_failures(held.value))


def _part_again(held: KeyedRecord) -> Iterator[KeyedRecord]:
    job_id, item, part = records.split_part_key(held.key)
    yield records.checkpoint_record(job_id, item, part, records.read_checkpoint(held.value))


def _result_again(data: bytes) -> bytes:
    *rests, head = decode_records(data, 0)
    pieces = {records.split_part_key(rest.key)[2]: records.read_rest(rest.value) for rest in rests}
    whole = records.read_result_head(head.value).whole(pieces)
    assert whole is not None
    _, job_id, position = records.split_key(head.key)
    return encode_records(records.result_records(job_id, position, whole, RECORD_BYTES))


def _result(position: int, *fields: str) -> Form:
    built = records.ItemResult(*fields)
    return Form(
        lambda: encode_records(records.result_records("job:1", position, built, RECORD_BYTES)),
        _result_again,
    )


def _no_log(event: str, **fields: object) -> None:
    """Writes no log line."""


def crash_records(*, stands: bool) -> tuple[KeyedRecord, ...]:
    """Returns what is written to the store of a crash, or of one that is taken back."""
    shared = SharedCrashes(
        "d-1", CallNumbers(), random.Random(1), list, lambda *told: False, _no_log
    )
    shared.publish(1.0, Crash("0123456789abcdef", "i-1"), 1_700_000_000.75, stands)
    due = shared.on_timer(60.0, True)
    (write,) = (call for call in due if isinstance(call, AppendRecords))
    return write.records


def crashes_taken(held: Iterable[KeyedRecord]) -> Iterator[tuple[str, str, float, bool]]:
    """Yields content, server, time and whether it stands, of crashes that are read."""
    told: list[tuple[str, str, float, bool]] = []

    def take(now: float, crash: Crash, at: float, stands: bool) -> bool:
        told.append((crash.content, crash.server_id, at, stands))
        return False

    shared = SharedCrashes("d-2", CallNumbers(), random.Random(1), list, take, _no_log)
    (read,) = (call for call in shared.on_timer(0.0, True) if isinstance(call, ReadNewest))
    shared.on_store(0.1, read.call, NewestPage(tuple(held), False, 1))
    yield from told


def _crash_again(held: KeyedRecord) -> Iterator[KeyedRecord]:
    for content, server_id, at, stands in crashes_taken([held]):
        shared = SharedCrashes(
            "d-1", CallNumbers(), random.Random(1), list, lambda *told: False, _no_log
        )
        shared.publish(1.0, Crash(content, server_id), at, stands)
        for call in shared.on_timer(60.0, True):
            if isinstance(call, AppendRecords):
                yield from call.records


def _claims(daemon: str, address: Address, service: str) -> CoordinatorClaims:
    groups = ServerGroups()
    groups.update([ServerRecord("i-1", service, HOST, "z1", 4, False)])
    return CoordinatorClaims(
        daemon, "z1", address, groups, CallNumbers(), random.Random(1), _no_log
    )


def claim_records(
    daemon: str = "d-1", address: Address = HOST, service: str = "service"
) -> tuple[KeyedRecord, ...]:
    """Returns what a daemon writes to the store that claims the group of a service."""
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


def _claim_again(held: KeyedRecord) -> Iterable[KeyedRecord]:
    """The claim is read from the store, told to a peer, and claimed as it was told."""
    claims = _claims("d-2", HOST, held.key.partition("|")[0])
    (read,) = (call for call in claims.on_timer(0.0) if isinstance(call, ReadNewest))
    page = NewestPage((KeyedRecord(held.key, held.value, 7),), False, 8)
    claims.on_answer(0.1, read.call, page)
    ((group, daemon, address, offset),) = (plain(told) for told in claims.told())
    assert offset == 7
    return claim_records(daemon, Address(*address), group.partition("|")[0])


def removed_keys() -> list[KeyedRecord]:
    """Returns the removal of a job's content, which has something of each kind."""
    content = JobContent()
    content.heads[2] = records.ResultHead("item-1", records.DONE, b"", 0)
    content.rests[2] = {0: b"a", 1: b"b"}
    content.failures[3] = 1
    content.parts[4] = {0: _OUTPUT, 5: _OUTPUT}
    content.chunks[6] = ()
    return [KeyedRecord(key, b"") for key in content_keys("job:1", content)]


STORED_RECORDS = {
    "manifest of a job, defaults": _records(
        lambda: [records.manifest_record(records.Manifest("j", "r", "h", 1, 2, "d", 0))],
        _manifest_again,
    ),
    "manifest of a job, all fields": _records(
        lambda: [records.manifest_record(_MANIFEST)], _manifest_again
    ),
    "mark that a job was ended": _records(lambda: [records.end_record("job:1")], _end_again),
    "tokens left of a job": _records(
        lambda: [records.progress_record("job:1", 0), records.progress_record("job:1", LARGE)],
        _progress_again,
    ),
    "items of a job in several records": _records(
        lambda: records.chunk_records("job:1", _ITEMS, RECORD_BYTES), _chunk_again
    ),
    "result, empty": _result(0, "item-1", "done", ""),
    "result, dead": _result(1, "item-2", "dead", "reason"),
    "result in several records": _result(12345, "item-3", "done", "é0123456789" * 20),
    "result of other bytes than text": _result(2, "item-4", "done", "\udcff\udc80x"),
    "part of an item's output": _records(
        lambda: [
            records.checkpoint_record("job:1", 3, 0, records.OutputPart("", "4", "")),
            records.checkpoint_record("job:1", 3, 12, _OUTPUT),
        ],
        _part_again,
    ),
    "failed runs of an item": _records(
        lambda: [records.failures_record("job:1", 7, 2)], _failures_again
    ),
    "removal of a job's content": _records(removed_keys),
    "crash that stands": _records(lambda: crash_records(stands=True), _crash_again),
    "crash taken back": _records(lambda: crash_records(stands=False), _crash_again),
    "claim of a group": _records(claim_records, _claim_again),
}

# What daemons have learnt, in their directory in the store.

_LEARNT = Experience(
    {"s1": (120, 900), "s2": (3, LARGE)}, {"r1": 5000, "r2": 1}, BatchPace(1, 2, 3)
)


def _directory(experience: Experience) -> Form:
    entry = DirectoryEntry("d-1", HOST, "z1", experience)
    return Form(
        lambda: encode_entry(entry),
        lambda data: encode_entry(decode_entry(KeyedRecord("d-1", data))),
    )


EXPERIENCES = {
    "nothing learnt": _directory(Experience()),
    "times alone": _directory(Experience({"s1": (120, 900)})),
    "patience alone": _directory(Experience({}, {"r1": 5000})),
    "everything learnt": _directory(_LEARNT),
    "more names than are kept": _directory(
        Experience({f"s{n}": (n, n + 1) for n in range(70)}, {f"r{n}": n for n in range(70)}, None)
    ),
}

# Entries of the other product's log.


def _entry(*held: entries.Record) -> Form:
    def again(data: bytes) -> bytes:
        entry = entries.decode_entry(data)
        return entries.encode_entry(entry.writer, entry.sequence, entry.records)

    return Form(lambda: entries.encode_entry("writer", 7, list(held)), again)


LOG_ENTRIES = {
    "no record": _entry(),
    "items of a job, empty": _entry(entries.ChunkSubmitted("job", 1, [])),
    "items of a job, filled": _entry(
        entries.ChunkSubmitted(
            "job", 1, [entries.BatchItem("c-1", "prompt é", 5), entries.BatchItem("c-2", "", 6)]
        )
    ),
    "job committed": _entry(
        entries.JobCommitted("job", "identity", "digest", "tenant", "s", 2, True, 1.5, 2.5, 3.5)
    ),
    "job cancelled": _entry(entries.JobCancelled("job")),
    "shard claimed": _entry(entries.EpochClaimed("owner", 8)),
    "shard released": _entry(entries.EpochReleased(9)),
    "shard renewed": _entry(entries.EpochRenewed(10)),
    "attempt started": _entry(entries.AttemptStarted(11, "job", 12)),
    "item finished": _entry(entries.ItemFinished(13, "job", 14, "completed", "body")),
    "job closed": _entry(entries.JobClosed(15, "job", b"\x00\xff")),
    "request claimed once": _entry(entries.OnceClaimed("key", "id", 16.5, 17.5)),
    "configuration published, empty": _entry(
        entries.ConfigurationPublished("p", "author", "message", 18, 19.5, [])
    ),
    "configuration published, a value of each type": _entry(
        entries.ConfigurationPublished(
            "p",
            "author",
            "message",
            18,
            19.5,
            [
                entries.ConfigurationChange("a/b", "bool", True),
                entries.ConfigurationChange("a/b", "int", 1),
                entries.ConfigurationChange("a/b", "float", 1.0),
                entries.ConfigurationChange("a/b", "str", "1"),
                entries.ConfigurationChange("a/b", "none", None),
            ],
        )
    ),
    "several records": _entry(entries.EpochClaimed("owner", 8), entries.JobCancelled("job")),
}
