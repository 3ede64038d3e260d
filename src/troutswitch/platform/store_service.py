"""A stand-in for the users' store, for tests and soaks: its HTTP protocol with injected faults.

This module owns the listener and the injected faults; `KeyedStoreModel` owns the records.
"""

import json
import struct
import threading
import time
from base64 import b64encode
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qs, urlparse

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    EndMoved,
    FencedOff,
    GroupJoined,
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
    WriterStamp,
)
from troutswitch.platform.store import decode_records, encode_records
from troutswitch.standins.keyed_store import KeyedStoreModel, ReadLimits
from troutswitch.standins.loopback import LoopbackHandler, LoopbackServer

POLL_SECONDS = 0.01
"""Interval at which a long-polling read checks for records; far below any caller's wait."""
FAULTS_PATH = "/faults"
KILOBYTE = 1024


@dataclass(slots=True)
class StoreFaults:
    """Injected faults; the field names are those of the JSON that `FAULTS_PATH` accepts."""

    is_down: bool = False
    """Every call is refused with status 503."""
    slow_seconds: float = 0.0
    """Delay of each call."""
    loses_answers: bool = False
    """Calls are executed, but the connection closes without a response."""
    acts_late_seconds: float = 0.0
    """Writes are executed after this delay; the connection closes first, without a response."""
    deals_anew: bool = False
    """Partitions of all groups are reassigned, once."""
    drops_history: bool = False
    """All logs drop their history, once."""
    page_records: int = ReadLimits().page_records
    """Maximum number of records in a page of newest records."""
    read_kilobytes: int = ReadLimits().read_bytes // KILOBYTE
    """Maximum size of a read, also if its call allows more."""


class _Handler(LoopbackHandler):
    service: "StoreService"

    def do_GET(self) -> None:
        """Serves a read."""
        self._serve(self.service.get)

    def do_POST(self) -> None:
        """Serves a write, or sets the injected faults."""
        if self.path == FAULTS_PATH:
            self.service.set_faults(StoreFaults(**json.loads(self.body())))
            self.reply(200, b"{}")
            return
        self._serve(self.service.post)

    def _serve(self, handle: Any) -> None:
        body = self.body()
        faults = self.service.faults
        if faults.slow_seconds:
            time.sleep(faults.slow_seconds)
        if faults.is_down:
            self.reply(503, b"{}")
            return
        if faults.acts_late_seconds and self.command == "POST":
            timer = threading.Timer(faults.acts_late_seconds, handle, (self.path, body))
            timer.daemon = True
            timer.start()
            self.close_connection = True
            return
        status, content = handle(self.path, body)
        if faults.loses_answers:
            self.close_connection = True
            return
        self.reply(status, content)


class StoreService:
    """The store's stand-in as an HTTP server on loopback."""

    def __init__(self, address: Address = Address("127.0.0.1", 0)) -> None:  # noqa: B008
        self.model = KeyedStoreModel()
        self.lock = threading.Lock()
        self.faults = StoreFaults()
        handler = type("Handler", (_Handler,), {"service": self})
        self.server = LoopbackServer(address, handler)
        self.address = Address("127.0.0.1", self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Appends one record with a JSON value, as the platform itself does."""
        record = KeyedRecord(key, json.dumps(value).encode())
        with self.lock:
            self.model.log(Partition(topic)).append((record,))

    def call(self, call: StoreCall) -> StoreOutcome:
        """Executes a call on the model."""
        with self.lock:
            return self.model.call(steady_seconds(), call)

    def set_faults(self, faults: StoreFaults) -> None:
        """Sets the injected faults; one-time faults take effect immediately."""
        self.faults = faults
        with self.lock:
            self.model.limits = replace(
                self.model.limits,
                page_records=faults.page_records,
                read_bytes=faults.read_kilobytes * KILOBYTE,
            )
            if faults.deals_anew:
                for group in self.model.groups:
                    self.model.reassign(group)
            if faults.drops_history:
                for log in self.model.logs.values():
                    log.drop_history()

    def get(self, target: str, body: bytes) -> tuple[int, bytes]:
        """Returns status and body of a read."""
        path, query, partition = _parse_target(target)
        if path == "/log-newest":
            return self._newest(query, partition)
        return self._read(query, partition)

    def _newest(self, query: dict[str, str], partition: Partition) -> tuple[int, bytes]:
        page = self.call(ReadNewest(0, partition, query.get("afterRevision", "")))
        assert isinstance(page, NewestPage)
        rows = [
            {"tlsKey": row.key, "value": b64encode(row.value).decode(), "offset": row.offset}
            for row in page.records
        ]
        return 200, json.dumps({"requests": rows, "more": page.has_more, "end": page.end}).encode()

    def _read(self, query: dict[str, str], partition: Partition) -> tuple[int, bytes]:
        deadline = steady_seconds() + int(query.get("waitMs", "0")) / 1000
        max_bytes = int(query.get("max_kb", "1024")) * KILOBYTE
        while True:
            read = self.call(ReadRecords(0, partition, int(query["from"])))
            if isinstance(read, HistoryGone):
                return 410, json.dumps({"first": read.first_offset}).encode()
            assert isinstance(read, RecordsRead)
            if read.records or steady_seconds() >= deadline:
                first = self.model.log(partition).first_offset
                records = _encode_up_to(read.records, max_bytes)
                return 200, struct.pack(">QQ", read.end, first) + records
            time.sleep(POLL_SECONDS)

    def post(self, target: str, body: bytes) -> tuple[int, bytes]:
        """Returns status and body of a write, a join or a leave."""
        path, query, partition = _parse_target(target)
        if path == "/log-append":
            return self._append(query, partition, body)
        request = json.loads(body)
        if path == "/log-leave":
            self.call(LeaveGroup(0, request["group"], request["member"]))
            return 200, b"{}"
        return self._join(request)

    def _join(self, request: Any) -> tuple[int, bytes]:
        topics = tuple(request["topics"])
        ttl = request["ttl_ms"] / 1000
        joined = self.call(
            JoinGroup(0, request["group"], request["member"], topics, ttl, request["generation"])
        )
        assert isinstance(joined, GroupJoined)
        rows = [[p.topic, p.number, 0] for p in joined.partitions]
        return 200, json.dumps({"generation": joined.generation, "parts": rows}).encode()

    def _append(
        self, query: dict[str, str], partition: Partition, body: bytes
    ) -> tuple[int, bytes]:
        stamp = None
        if "producer" in query:
            stamp = WriterStamp(query["producer"], int(query["epoch"]), int(query["sequence"]))
        end = int(query["at"]) if "at" in query else None
        outcome = self.call(AppendRecords(0, partition, decode_records(body, 0), end, stamp))
        match outcome:
            case Appended():
                answer: dict[str, Any] = {"offset": outcome.offset, "end": outcome.end}
                return 200, json.dumps(answer).encode()
            case EndMoved():
                return 412, json.dumps({"end": outcome.end}).encode()
            case FencedOff():
                return 409, json.dumps({"why": "fenced", "epoch": outcome.epoch}).encode()
            case OutOfSequence():
                return 409, json.dumps({"why": "seq", "sequence": outcome.expected}).encode()
            case _:
                return 400, b"{}"


def _encode_up_to(records: tuple[KeyedRecord, ...], max_bytes: int) -> bytes:
    """Encodes the first records that fit a read, but at least one."""
    encoded = bytearray()
    for record in records:
        row = encode_records((record,))
        if encoded and len(encoded) + len(row) > max_bytes:
            break
        encoded += row
    return bytes(encoded)


def _parse_target(target: str) -> tuple[str, dict[str, str], Partition]:
    url = urlparse(target)
    query = {name: values[0] for name, values in parse_qs(url.query).items()}
    partition = Partition(query.get("topic", ""), int(query.get("part", "0")))
    return url.path, query, partition
