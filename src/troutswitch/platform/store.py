"""Blocking client of the platform's store, with typed calls and outcomes.

It owns the connections to the store, and translates between the product's types and the platform's
HTTP interface. It never retries: a failed call is an outcome, and the caller decides whether to
repeat it.

An outcome has only what the answer states. An answer without the values of its status, or with
values that can't be those of the call, leaves the outcome unknown. A body may end with its
connection: JSON shows where it ends, and a read that is cut between two records is a shorter read.
"""

import http.client
import struct
from base64 import b64decode
from collections.abc import Callable
from typing import Annotated
from urllib.parse import quote, urlencode

import msgspec

from troutswitch.common import Address
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    EndMoved,
    FencedOff,
    GroupJoined,
    GroupLeft,
    HistoryGone,
    JoinGroup,
    KeyedRecord,
    LeaveGroup,
    NewestPage,
    OutOfSequence,
    Partition,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import MISSING_OUTCOME_SECONDS
from troutswitch.json_values import MalformedJson, decode_json
from troutswitch.platform.names import CONFIGURATION_TOPIC, SERVERS_TOPIC, TOPIC_PREFIX
from troutswitch.runtime.connection_pool import ConnectionPool

NOT_DONE_STATUSES = frozenset({400, 403, 404, 429, 503, 507})
"""Statuses which guarantee that the store has not executed the call."""
MAX_READ_KILOBYTES = 1024
"""Maximum size of the records that one read returns, in kilobytes."""
NO_ANSWER = 0
"""Pseudo status of a call that was sent but not answered; the store may have executed it."""
NOT_SENT = -1
"""Pseudo status of a call that was not sent."""

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Largest body of an answer: a read or a page has about 1 MiB, or one record that is larger."""
TRANSFER_SECONDS = MISSING_OUTCOME_SECONDS
"""Time for an answer beyond its time-out, which bounds each wait for bytes: a slow store shares its
rate among all reads. A read without an outcome counts as failed by then."""

TOPICS = {"configuration": CONFIGURATION_TOPIC, "servers": SERVERS_TOPIC}
"""Names of the platform's own topics, by the product's names."""


MAX_OFFSET = 2**63 - 1
READ_HEADER = struct.Struct(">QQ")
"""The end and the first offset kept, before the records of a read."""

_Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET)]


class _NewestRow(msgspec.Struct, rename={"key": "tlsKey"}):
    key: str  # on the wire "tlsKey", for records of any kind
    value: str = ""
    offset: Annotated[int, msgspec.Meta(ge=-1, le=MAX_OFFSET)] = -1


class _RowKey(msgspec.Struct, rename={"key": "tlsKey"}):
    key: str


class _Newest(msgspec.Struct, rename={"rows": "requests"}):
    rows: list[msgspec.Raw]  # on the wire "requests", although they are records
    more: bool
    end: _Offset


class _Appended(msgspec.Struct):
    offset: _Offset
    end: _Offset


class _Refused(msgspec.Struct):
    end: _Offset | None = None
    why: str = ""
    epoch: _Offset | None = None
    sequence: _Offset | None = None
    first: _Offset | None = None


class _Joined(msgspec.Struct):
    generation: _Offset
    parts: list[tuple[str, _Offset, _Offset]]


def topic_name(topic: str) -> str:
    """Returns the platform's name of a topic."""
    return TOPICS.get(topic, TOPIC_PREFIX + topic)


def encode_records(records: tuple[KeyedRecord, ...]) -> bytes:
    """Encodes keyed records; each has a length, the length of its key, the key and the value."""
    parts: list[bytes] = []
    for record in records:
        key = record.key.encode()
        parts.append(struct.pack(">IB", 1 + len(key) + len(record.value), len(key)))
        parts.append(key)
        parts.append(record.value)
    return b"".join(parts)


def decode_records(data: bytes, offset: int) -> tuple[KeyedRecord, ...]:
    """Decodes keyed records, the first of which has `offset`; drops a truncated last record.

    A record whose key is longer than the record has no key and no value, which nobody reads. It
    keeps its place, as the offsets of the records after it depend on that.
    """
    records: list[KeyedRecord] = []
    position = 0
    while position + 5 <= len(data):
        length, key_length = struct.unpack_from(">IB", data, position)
        end = position + 4 + max(length, 1)
        if end > len(data):
            break
        key_end = position + 5 + key_length
        is_sound = key_end <= end
        key = data[position + 5 : key_end].decode(errors="replace") if is_sound else ""
        value = data[key_end:end] if is_sound else b""
        records.append(KeyedRecord(key, value, offset + len(records)))
        position = end
    return tuple(records)


def _ignore(closed: int) -> None:
    """Ignores closed connections."""


class StoreClient:
    """A thread-safe client that makes calls to the store over a pool of connections.

    Args:
        address: address of the store.
        on_suspects_closed: called with the number of connections that were closed because another
            one timed out.
    """

    def __init__(
        self, address: Address, on_suspects_closed: Callable[[int], None] = _ignore
    ) -> None:
        self.connections = ConnectionPool(
            address, on_suspects_closed, max_body_bytes=MAX_RESPONSE_BYTES
        )

    def call(self, call: StoreCall) -> StoreOutcome:
        """Makes a call and returns its outcome; a failure is an outcome, not an exception."""
        match call:
            case ReadNewest():
                return self._newest(call)
            case ReadRecords():
                return self._read(call)
            case AppendRecords():
                return self._append(call)
            case JoinGroup():
                return self._join(call)
            case LeaveGroup():
                return self._leave(call)

    def _newest(self, call: ReadNewest) -> StoreOutcome:
        query = _partition_query(call.partition)
        if call.after_key:
            query["afterRevision"] = call.after_key  # a key, despite the parameter's name
        status, body = self._exchange(
            "GET",
            "/log-newest",
            query,
            timeout=call.timeout,
            on_new_connection=call.on_new_connection,
        )
        if status != 200:
            return _failed(status, body)
        try:
            decoded = decode_json(body, _Newest)
        except MalformedJson as error:
            return CallFailed(f"malformed answer: {error}", True)
        rows = (_newest_record(row) for row in decoded.rows)
        records = tuple(record for record in rows if record is not None)
        page = NewestPage(records, decoded.more, decoded.end, _last_key(decoded.rows))
        if not page.leads_on({call.after_key}):
            return CallFailed("malformed answer: no key behind which the next page begins", True)
        return page

    def _read(self, call: ReadRecords) -> StoreOutcome:
        query = _partition_query(call.partition) | {
            "from": call.offset,
            "max_kb": MAX_READ_KILOBYTES,
        }
        if call.wait > 0:
            query["waitMs"] = round(call.wait * 1000)
        status, body = self._exchange(
            "GET",
            "/log-read",
            query,
            timeout=call.timeout + call.wait,
            is_long_poll=call.wait > 0,
            on_new_connection=call.on_new_connection,
        )
        first_kept = _refusal(body).first if status == 410 else None
        if first_kept is not None and first_kept > call.offset:
            return HistoryGone(first_kept)
        return _records_read(call.offset, body) if status == 200 else _failed(status, body)

    def _append(self, call: AppendRecords) -> StoreOutcome:
        query = _partition_query(call.partition)
        if call.expected_end is not None:
            query["at"] = call.expected_end
        if call.stamp is not None:
            query["producer"] = call.stamp.writer
            query["epoch"] = call.stamp.epoch
            query["sequence"] = call.stamp.sequence
        status, body = self._exchange(
            "POST", "/log-append", query, encode_records(call.records), timeout=call.timeout
        )
        if status == 200:
            return self._appended(call, body)
        return _append_refused(call, status, body) or _failed(status, body)

    @staticmethod
    def _appended(call: AppendRecords, body: bytes) -> StoreOutcome:
        try:
            decoded = decode_json(body, _Appended)
        except MalformedJson as error:
            return CallFailed(f"malformed answer: {error}", True)
        is_elsewhere = call.expected_end not in (None, decoded.offset)
        if is_elsewhere or decoded.end < decoded.offset + len(call.records):
            return CallFailed("malformed answer: not of this append", True)
        return Appended(decoded.offset, decoded.end)

    def _join(self, call: JoinGroup) -> StoreOutcome:
        topics = {topic_name(topic): topic for topic in call.topics}
        body = {
            "group": call.group,
            "member": call.member,
            "topics": list(topics),
            "ttl_ms": round(call.ttl * 1000),
            "generation": call.generation,
        }
        status, content = self._exchange(
            "POST", "/log-join", {}, msgspec.json.encode(body), timeout=call.timeout
        )
        if status != 200:
            return _failed(status, content)
        try:
            decoded = decode_json(content, _Joined)
        except MalformedJson as error:
            return CallFailed(f"malformed answer: {error}", True)
        rows = tuple(
            Partition(topics[name], number) for name, number, _ in decoded.parts if name in topics
        )
        return GroupJoined(decoded.generation, rows)

    def _leave(self, call: LeaveGroup) -> StoreOutcome:
        body = msgspec.json.encode({"group": call.group, "member": call.member})
        status, content = self._exchange("POST", "/log-leave", {}, body, timeout=call.timeout)
        return GroupLeft() if status == 200 else _failed(status, content)

    # Connections.

    def _exchange(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes | None = None,
        *,
        timeout: float,
        is_long_poll: bool = False,
        on_new_connection: bool = False,
    ) -> tuple[int, bytes]:
        """Performs one HTTP exchange and returns the status and the body of the response.

        If it fails, the status is `NO_ANSWER` or `NOT_SENT` and the body is the error's text.
        """
        pooled = self.connections.acquire(is_long_poll, on_new_connection)
        connection = pooled.connection
        url = f"{path}?{urlencode(query, quote_via=quote)}" if query else path
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            pooled.connect()
        except (OSError, ValueError) as error:
            self.connections.discard(pooled, error)
            return NOT_SENT, str(error).encode()
        try:
            connection.limit_call(timeout, timeout + TRANSFER_SECONDS)
            connection.request(method, url, body, headers)
            response = connection.getresponse()
            content = connection.read_body(response)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.connections.discard(pooled, error)
            return NO_ANSWER, f"{type(error).__name__}: {error}".encode()
        self.connections.release(pooled)
        return response.status, content


def _newest_record(row: msgspec.Raw) -> KeyedRecord | None:
    """Decodes one row of a page; returns None if the row is malformed or has no key.

    A malformed row must not make the other rows of its page unreadable. A value that is not valid
    base64 is replaced by an empty one, which readers reject or take for a deleted record.
    """
    try:
        decoded = decode_json(row, _NewestRow)
    except MalformedJson:
        return None
    try:
        value = b64decode(decoded.value, validate=True)
    except ValueError:
        value = b""
    return KeyedRecord(decoded.key, value, decoded.offset)


def _last_key(rows: list[msgspec.Raw]) -> str:
    """Returns the key of the last row that has a readable one, empty without any.

    The next page begins behind it, so a row that is otherwise unreadable does not end a reading.
    """
    for row in reversed(rows):
        try:
            return decode_json(row, _RowKey).key
        except MalformedJson:
            continue
    return ""


def _records_read(offset: int, body: bytes) -> StoreOutcome:
    """Decodes a read from `offset` on: the end, the first offset kept, and records.

    The store answers as soon as a record exists, so a read that states a later end has records.
    """
    if len(body) < READ_HEADER.size:
        return CallFailed("malformed answer: a read without its header", True)
    end, first_kept = READ_HEADER.unpack_from(body)
    records = decode_records(body[READ_HEADER.size :], offset)
    next_offset = offset + len(records)
    is_stuck = end > offset and not records
    if is_stuck or not first_kept <= offset <= next_offset <= end <= MAX_OFFSET:
        return CallFailed(f"malformed answer: not a read from {offset}", True)
    return RecordsRead(records, next_offset, end)


def _append_refused(call: AppendRecords, status: int, body: bytes) -> StoreOutcome | None:
    """Returns what a refusal of an append states; None if it states nothing."""
    refusal = _refusal(body)
    match status, refusal.why:
        case 412, _ if refusal.end not in (None, call.expected_end):
            return EndMoved(refusal.end)
        case 409, "fenced":
            return FencedOff(refusal.epoch)
        case 409, "seq":
            return OutOfSequence(refusal.sequence)
        case _:
            return None


def _partition_query(partition: Partition) -> dict[str, str | int]:
    return {"topic": topic_name(partition.topic), "part": partition.number}


def _refusal(body: bytes) -> _Refused:
    """Decodes the values of a refusal; a malformed one has none."""
    try:
        return decode_json(body, _Refused)
    except MalformedJson:
        return _Refused()


def _failed(status: int, body: bytes) -> CallFailed:
    text = body[:120].decode(errors="replace")
    return CallFailed(
        f"status {status}: {text}", status != NOT_SENT and status not in NOT_DONE_STATUSES
    )
