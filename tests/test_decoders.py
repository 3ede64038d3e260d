"""Each function that decodes what another process wrote raises the error that it documents, if any.

The values are drawn: depth, size, numbers and texts, in each place of a sound sample.
"""

import ast
import json
import random
import subprocess
import sys
import threading
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from tempfile import NamedTemporaryFile, TemporaryDirectory
from typing import Any, cast
from unittest.mock import Mock

import cbor2
import click
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.cli.ctl import OperatorClient, _parse_value
from troutswitch.common import Address
from troutswitch.daemons import datagram, peer_state
from troutswitch.daemons.messages import VersionsNotice
from troutswitch.decisions.crashes.shared import SharedCrashes
from troutswitch.decisions.jobs import records as job_records
from troutswitch.decisions.peers.peer_registry import decode_entry as decode_peer
from troutswitch.decisions.slots.coordinator_claims import decode_claim
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    CallFailed,
    JoinGroup,
    KeyedRecord,
    Partition,
    ReadNewest,
    ReadRecords,
    StoreCall,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.streams.version_history import decode_record
from troutswitch.gateway.callers.listener import THREAD_STACK_BYTES
from troutswitch.gateway.settings import GatewaySettingsError
from troutswitch.hindsight.log_lines import read_lines
from troutswitch.outcomes import Step
from troutswitch.platform.configuration import FormatError, decode_configuration, decode_engine
from troutswitch.platform.jobs import JobFormatError, decode_submission
from troutswitch.platform.settings import format_settings, load_gateway_settings
from troutswitch.platform.store import StoreClient
from troutswitch.standalone.callers import parsing
from troutswitch.standalone.daemons.messages import Sealer
from troutswitch.standalone.decisions.batch.fold import ShardFold
from troutswitch.standalone.decisions.batch.snapshot import decode_snapshot, encode_snapshot
from troutswitch.standalone.decisions.configuration.declarations import (
    DeclarationError,
    read_declarations,
)
from troutswitch.standalone.decisions.effects import CallRefused
from troutswitch.standalone.engines.client import EngineClient, EngineStream, StreamFailed
from troutswitch.standalone.log_service.client import LogClient, LogUnavailable
from troutswitch.standalone.log_service.records import UnreadableEntry, decode_entry, encode_entry
from troutswitch.standalone.machine_list.client import MachineListClient
from troutswitch.standalone.operators.app import OperatorApplication
from troutswitch.standalone.runtime.settings import SettingsError, load_settings

SOURCE = Path(__file__).parent.parent / "src" / "troutswitch"
FUNCTIONS = ("decode_json", "decode_cbor", "decode_toml")
DEPTHS = (1, 60, 64, 65, 70, 300, 399, 400, 401, 500, 700, 900, 990, 1000, 1100, 30_000, 200_000)
"""Depths around the bounds of the decoders and of Python, and far beyond."""
STACK_DEPTHS = (64, 65, 400, 500, 700, 900, 990, 1100, 5000)
"""Depths in each place of each sample: about 500 overflow a thread's stack."""
ADDRESS = Address("127.0.0.1", 1)


@dataclass(frozen=True)
class Decoder:
    """A function that decodes bytes; `errors` are all that it may raise."""

    decode: Callable[[bytes], object]
    sample: Any
    errors: tuple[type[Exception], ...] = ()
    wrap: Callable[[bytes], bytes] = bytes
    """Returns what carries the encoded value."""


def store_answers(call: StoreCall, status: int = 200) -> Callable[[bytes], object]:
    """Returns what decodes the body of an answer to a call."""

    def decode(body: bytes) -> object:
        client = StoreClient(ADDRESS)
        client._exchange = lambda *_, **__: (status, body)  # type: ignore[method-assign]
        return client.call(call)

    return decode


def pool_answers(
    make: Callable[[], Any], use: Callable[[Any], object], status: int = 200
) -> Callable[[bytes], object]:
    """Returns what decodes the body of an answer that a client receives by its connections."""

    def decode(body: bytes) -> object:
        client = make()
        client._pool = Mock(call=lambda *_, **__: (status, body))
        return use(client)

    return decode


def decode_pieces(data: bytes) -> object:
    stream = EngineStream(ADDRESS, 1.0)
    lines = [b"data: " + data.replace(b"\n", b" ") + b"\n"]
    stream._response = cast(Any, Mock())
    stream._connection = cast(Any, Mock(pieces=lambda response: lines))
    return list(stream.pieces())


def decode_refusal(data: bytes) -> None:
    stream = EngineStream(ADDRESS, 1.0)
    stream._connection = cast(Any, Mock(read_body=lambda response: data))
    stream._raise_refusal(cast(Any, Mock(status=503)))


def publish(data: bytes) -> object:
    application = OperatorApplication.__new__(OperatorApplication)
    refusal = CallRefused("r", Step.PUBLISH, 503, True)
    application._context = Mock(call=lambda make: make(1, 1.0) and refusal)
    return application._publish(cast(Any, Mock(body=lambda: data)))


def apply_crash(data: bytes) -> None:
    calls = (CallNumbers(), random.Random(1))
    crashes = SharedCrashes("d", *calls, list, lambda *_: True, lambda *_, **__: None)
    crashes._apply_record(KeyedRecord("0123456789abcdef/e", data))


def in_file(load: Callable[[Path], object]) -> Callable[[bytes], object]:
    def decode(data: bytes) -> object:
        with NamedTemporaryFile(suffix=".toml") as file:
            Path(file.name).write_bytes(data)
            return load(Path(file.name))

    return decode


def declare(data: bytes) -> object:
    with TemporaryDirectory() as folder:
        (Path(folder) / "tree.toml").write_bytes(data)
        return read_declarations(Path(folder))


def open_sealed(body: bytes) -> object:
    sealer = Sealer(b"key")
    return sealer.open(1.0, sealer._digest(body) + body)


ENGINE = {
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "z",
    "version": "v",
    "slots": 1,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": 1,
}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "pathPrefix": "/",
            "routeType": "streaming",
            "backends": [{"service": "s", "weight": 1}],
            "timeoutMs": 1,
            "priority": 1,
        }
    ],
    "services": [{"name": "s", "healthPath": "/h", "engine": {"slots": 1}}],
    "limits": {"maxHeaderBytes": 1000},
    "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1, "ratePerS": 1, "burst": 1}],
}
NEWEST_ROW = {"tlsKey": "k", "value": "QQ==", "offset": 1}
NEWEST = {"requests": [NEWEST_ROW], "more": False, "end": 2}
REFUSED = {"end": 1, "why": "fenced", "epoch": 1, "sequence": 1, "first": 1}
ITEM = {"id": "1", "path": "/a", "headers": {"a": "b"}, "body": "QQ==", "tokens": 1}
MACHINE = {"name": "m", "kind": "k", "address": "127.0.0.1:1", "zone": "z", "leaving": False}
CHANGE = {"path": "/", "key": "k", "value": 1}
PUBLICATION = {
    "publication_id": "p",
    "author": "a",
    "message": "m",
    "base_version": 1,
    "changes": [CHANGE],
}
LOAD = {
    "incarnation": "i",
    "slots": 1,
    "running_online": 0,
    "running_batch": 0,
    "waiting_online": 0,
    "waiting_batch": 0,
}
COMPLETION = {"model": "m", "prompt": "p", "messages": [{"role": "r", "content": "c"}]}
PIECE = {"stream_id": "s", "position": 1, "text": "t", "done": True, "length": 1, "error": ""}
PARTITION = Partition("t")
APPEND = AppendRecords(1, PARTITION, ())

JSON = {
    "platform.configuration.decode_configuration": Decoder(
        decode_configuration, CONFIGURATION, (FormatError,)
    ),
    "platform.configuration.decode_engine": Decoder(
        lambda data: decode_engine("i", data), ENGINE, (FormatError,)
    ),
    "platform.jobs.decode_submission": Decoder(
        lambda data: decode_submission(1, Mock(request_id="j"), data),
        {"requests": [ITEM]},
        (JobFormatError,),
    ),
    "platform.store.StoreClient._newest": Decoder(store_answers(ReadNewest(1, PARTITION)), NEWEST),
    "platform.store._newest_record": Decoder(
        store_answers(ReadNewest(1, PARTITION)),
        NEWEST_ROW,
        wrap=lambda row: b'{"requests":[' + row + b'],"more":false,"end":2}',
    ),
    "platform.store._last_key": Decoder(
        store_answers(ReadNewest(1, PARTITION)),
        NEWEST_ROW,
        wrap=lambda row: b'{"requests":[' + row + b'],"more":true,"end":2}',
    ),
    "platform.store.StoreClient._appended": Decoder(store_answers(APPEND), {"offset": 1, "end": 2}),
    "platform.store.StoreClient._join": Decoder(
        store_answers(JoinGroup(1, "g", "m", ("t",), 1.0, 0)),
        {"generation": 1, "parts": [["keyed.t", 0, 1]]},
    ),
    "platform.store._refusal": Decoder(store_answers(APPEND, 409), REFUSED),
    "hindsight.log_lines.read_lines": Decoder(
        lambda data: read_lines([data.decode(errors="replace")]), {"event": "e", "daemon": "d"}
    ),
    "cli.ctl.OperatorClient.call": Decoder(
        pool_answers(lambda: OperatorClient(ADDRESS), lambda client: client.call("GET", "/")),
        {"version": 1},
        (click.ClickException,),
    ),
    "standalone.callers.parsing.parse_completion": Decoder(
        lambda data: parsing.parse_completion(data, False), COMPLETION, (parsing.BadInput,)
    ),
    "standalone.callers.parsing._parse_line": Decoder(
        lambda data: parsing._parse_line(1, data),
        {"custom_id": "c", "body": COMPLETION},
        (parsing.BadInput,),
    ),
    "standalone.engines.client.EngineStream._raise_refusal": Decoder(
        decode_refusal, {"not_run": True, "reason": "r", "retry_after": 1}, (StreamFailed,)
    ),
    "standalone.engines.client.EngineStream.pieces": Decoder(decode_pieces, PIECE, (StreamFailed,)),
    "standalone.engines.client.EngineClient.load": Decoder(
        pool_answers(EngineClient, lambda client: client.load(ADDRESS)), LOAD
    ),
    "standalone.engines.client.EngineClient.cancel": Decoder(
        pool_answers(EngineClient, lambda client: client.cancel(ADDRESS, "s")), {"cancelled": True}
    ),
    "standalone.log_service.client.LogClient.append": Decoder(
        pool_answers(lambda: LogClient(ADDRESS), lambda client: client.append("s", b"")),
        {"offset": 1},
        (LogUnavailable,),
    ),
    "standalone.machine_list.client.MachineListClient._machines": Decoder(
        pool_answers(lambda: MachineListClient(ADDRESS), lambda client: client.read()), [MACHINE]
    ),
    "standalone.machine_list.client._decode_row": Decoder(
        pool_answers(lambda: MachineListClient(ADDRESS), lambda client: client.read()),
        MACHINE,
        wrap=lambda row: b"[" + row + b"]",
    ),
    "standalone.operators.app.OperatorApplication._publish": Decoder(
        publish, PUBLICATION, (parsing.BadInput,)
    ),
}

CBOR = {
    "daemons.datagram.decode": Decoder(
        datagram.decode,
        cbor2.loads(datagram.encode(VersionsNotice("d", ()))),
        (datagram.DatagramError,),
    ),
    "daemons.peer_state.decode_state": Decoder(
        peer_state.decode_state,
        [2, ["config", b"{}"], [["i", b"{}"]], 1.0, 1.0],
        (peer_state.PeerStateError,),
    ),
    "decisions.jobs.records._fields": Decoder(
        job_records.read_result_head,
        [job_records.SCHEMA_VERSION, "i", "done", b"x", 0],
        (job_records.RecordError,),
    ),
    "decisions.slots.coordinator_claims.decode_claim": Decoder(
        lambda data: decode_claim(KeyedRecord("g", data)),
        ["d", "127.0.0.1", 1, 1, [["e", "127.0.0.1", 1]]],
        (ValueError,),
    ),
    "decisions.crashes.shared.decode_crash_time": Decoder(apply_crash, [1.0]),
    "decisions.peers.peer_registry.decode_entry": Decoder(
        lambda data: decode_peer(KeyedRecord("d", data)),
        ["127.0.0.1", 1, "z", [{"s": [1, 1]}, {}, [1, 1, 1]]],
        (ValueError,),
    ),
    "decisions.streams.version_history.decode_record": Decoder(
        lambda data: decode_record(KeyedRecord("0123abcd", data)), [1, [1, 2]], (ValueError,)
    ),
    "standalone.log_service.records.decode_entry": Decoder(
        decode_entry, cbor2.loads(encode_entry("w", 1, [])), (UnreadableEntry,)
    ),
    "standalone.log_service.client.LogClient.read": Decoder(
        pool_answers(lambda: LogClient(ADDRESS), lambda client: client.read("s", 0, 1)),
        [0, [b"e"], 1],
        (LogUnavailable,),
    ),
    "standalone.daemons.messages.Sealer.open": Decoder(open_sealed, [1.0, ["touch", "s", 1]]),
    "standalone.decisions.batch.snapshot.decode_snapshot": Decoder(
        decode_snapshot,
        cbor2.loads(zlib.decompress(encode_snapshot(ShardFold()))),
        (UnreadableEntry,),
        zlib.compress,
    ),
}

TOML = {
    "platform.settings.load_gateway_settings": Decoder(
        in_file(load_gateway_settings),
        format_settings("d", "127.0.0.1", 1, 2, (3, 4), ADDRESS),
        (GatewaySettingsError,),
    ),
    "standalone.runtime.settings._read": Decoder(
        in_file(lambda path: load_settings(path, {})),
        'name = "d"\nzone = "z"\nfleet_key = "12345678"\n',
        (SettingsError,),
    ),
    "standalone.decisions.configuration.declarations._read": Decoder(
        declare, "[root]\nrequest_seconds = 1.0\n", (DeclarationError,)
    ),
    "cli.ctl._parse_value": Decoder(lambda data: _parse_value(data.decode(errors="replace")), "1"),
}


# Which functions decode.


def decoding_functions() -> Iterator[str]:
    """Yields the qualified names of all functions that call a decoder."""
    for path in sorted(SOURCE.rglob("*.py")):
        if path.name.endswith("_values.py") or {"soak", "standins"} & set(path.parts):
            continue
        module = ".".join(path.relative_to(SOURCE).with_suffix("").parts)
        for name, node in functions_of(ast.parse(path.read_text()), module):
            if any(is_decoding(part) for part in ast.walk(node)):
                yield name


def functions_of(tree: ast.AST, prefix: str) -> Iterator[tuple[str, ast.AST]]:
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, ast.FunctionDef):
            yield f"{prefix}.{node.name}", node
        elif isinstance(node, ast.ClassDef):
            yield from functions_of(node, f"{prefix}.{node.name}")


def is_decoding(node: ast.AST) -> bool:
    return isinstance(node, ast.Name) and node.id in FUNCTIONS


def test_every_function_that_decodes_is_tested_here() -> None:
    assert sorted(decoding_functions()) == sorted({**JSON, **CBOR, **TOML})


# What is drawn.

NUMBERS: tuple[str, ...] = (
    "1e999",
    "-1e999",
    "1" * 400,
    "1" * 5000,
    "NaN",
    "Infinity",
    "-0",
    "1e308",
    "-1",
    "0.5",
)
NUMBERS += (str(2**53), str(2**63), str(2**64), "65536", "9" * 19, "1E400", "0", "true", "null")
TEXTS: tuple[str, ...] = (
    '"\\ud800"',
    '"\\u0000"',
    '"\u2028"',
    '""',
    '"' + "x" * 100_000 + '"',
    '"1.2.3.4:70000"',
)
TEXTS += (
    '"a..b:1"',
    '"\\u0000:1"',
    '"1.2.3.4\\n:80"',
    '" :1"',
    '"\u00e4.\u0661:\u0662"',
    '"',
    "\\",
)
ADDRESSES = ('"localhost:80"', '"[::1]:80"', '"0.0.0.0:80"', '"1.2.3.4:0"', '"1.2.3.4:\u00b2"')
BYTES = (b'"\xff\xfe"', b"\xff", b"", b"\x00", b"{", b"[", b"]", b"}}", b'{"a":1,"a":2}')
JSON_FRAGMENTS = st.one_of(
    st.sampled_from([text.encode() for text in NUMBERS + TEXTS + ADDRESSES]),
    st.sampled_from(BYTES),
    st.sampled_from(DEPTHS).map(lambda depth: b"[" * depth + b"1" + b"]" * depth),
    st.sampled_from(DEPTHS).map(lambda depth: b'{"x":' * depth + b"1" + b"}" * depth),
    st.sampled_from(DEPTHS).map(lambda depth: b"[" * depth),
    st.integers(1, 50_000).map(lambda size: b"[" + b"1," * size + b"1]"),
    st.integers(1, 20_000).map(lambda size: b"{" + b'"k":"[",' * size + b'"l":1}'),
    st.binary(max_size=20),
)
CBOR_FRAGMENTS = st.one_of(
    st.sampled_from([2**64, 2**70, -(2**70), 10**400, 2**63, -1, 0, 65536]).map(cbor2.dumps),
    st.sampled_from([float("inf"), float("-inf"), float("nan"), 1e308, 0.5]).map(cbor2.dumps),
    st.sampled_from(["", "x" * 100_000, "\x00", "a..b", "1.2.3.4\n", "localhost"]).map(cbor2.dumps),
    st.sampled_from(
        [b"\x62\xff\xff", b"\xc0\x61x", b"\xc1\xfb\x7f\xf0" + b"\x00" * 6, b"\xd8\x1d\x00", b"\xff"]
    ),
    st.sampled_from(DEPTHS).map(lambda depth: b"\x81" * depth + b"\x01"),
    st.sampled_from(DEPTHS).map(lambda depth: b"\xa1\x01" * depth + b"\x01"),
    st.sampled_from(DEPTHS).map(lambda depth: b"\xd8\x18" * depth + b"\x01"),
    st.sampled_from(DEPTHS).map(lambda depth: b"\x9f" * depth),
    st.integers(1, 50_000).map(lambda size: cbor2.dumps([1] * size)),
    st.binary(max_size=20),
)
TOML_FRAGMENTS = st.one_of(
    JSON_FRAGMENTS,
    st.sampled_from(DEPTHS[:-2]).map(lambda depth: b"{x=" * depth + b"1" + b"}" * depth),
    st.sampled_from(DEPTHS[:-2]).map(lambda depth: b"1\n[" + b".".join([b"a"] * depth) + b"]"),
    st.sampled_from([b"inf", b"nan", b"9" * 5000, b"1979-13-45", b"'''", b"0x" + b"f" * 5000]),
)
PLACE = "\x01place\x01"


def places_of(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yields the paths of all parts of a value, the value itself first."""
    yield path
    if isinstance(value, dict | list | tuple):
        for key, part in value.items() if isinstance(value, dict) else enumerate(value):
            yield from places_of(part, (*path, key))


def with_place(value: Any, path: tuple[Any, ...], is_added: bool) -> Any:
    """Returns a value with `PLACE` for the part at a path, or for one more field of it."""
    if path:
        keys = value if isinstance(value, dict) else range(len(value))
        parts = [
            (key, with_place(value[key], path[1:], is_added) if key == path[0] else value[key])
            for key in keys
        ]
        return dict(parts) if isinstance(value, dict) else [part for _, part in parts]
    if is_added and isinstance(value, dict):
        return {**value, "unknown": PLACE}
    if is_added and isinstance(value, list):
        return [*value, PLACE]
    return PLACE


def changed(value: Any, place: int, is_added: bool) -> Any:
    paths = list(places_of(value))
    return with_place(value, paths[place % len(paths)], is_added)


def changed_json(decoder: Decoder, place: int, is_added: bool, fragment: bytes) -> bytes:
    encoded = json.dumps(changed(decoder.sample, place, is_added)).encode()
    return decoder.wrap(encoded.replace(json.dumps(PLACE).encode(), fragment))


def changed_cbor(decoder: Decoder, place: int, is_added: bool, fragment: bytes) -> bytes:
    encoded = cbor2.dumps(changed(decoder.sample, place, is_added))
    return decoder.wrap(encoded.replace(cbor2.dumps(PLACE), fragment))


def changed_toml(decoder: Decoder, place: int, is_added: bool, fragment: bytes) -> bytes:
    lines = str(decoder.sample).encode().split(b"\n")
    place %= len(lines)
    name = b"unknown" if is_added else lines[place].partition(b"=")[0]
    return b"\n".join([*lines[:place], name + b" = " + fragment, *lines[place + is_added :]])


def check(decoder: Decoder, data: bytes) -> None:
    """Decodes data; any error that the decoder does not document is raised here."""
    try:
        decoder.decode(data)
    except decoder.errors:
        return


DRAWN = settings(derandomize=True, deadline=None, max_examples=150)
PLACES = st.integers(0, 10**6)


@pytest.mark.parametrize("name", sorted(JSON))
def test_no_json_raises_an_undocumented_error(name: str) -> None:
    @DRAWN
    @given(PLACES, st.booleans(), JSON_FRAGMENTS)
    def decode(place: int, is_added: bool, fragment: bytes) -> None:
        check(JSON[name], changed_json(JSON[name], place, is_added, fragment))

    decode()


@pytest.mark.parametrize("name", sorted(CBOR))
def test_no_cbor_raises_an_undocumented_error(name: str) -> None:
    @DRAWN
    @given(PLACES, st.booleans(), CBOR_FRAGMENTS)
    def decode(place: int, is_added: bool, fragment: bytes) -> None:
        check(CBOR[name], changed_cbor(CBOR[name], place, is_added, fragment))

    decode()


@pytest.mark.parametrize("name", sorted(TOML))
def test_no_settings_raise_an_undocumented_error(name: str) -> None:
    @DRAWN
    @given(PLACES, st.booleans(), TOML_FRAGMENTS)
    def decode(place: int, is_added: bool, fragment: bytes) -> None:
        check(TOML[name], changed_toml(TOML[name], place, is_added, fragment))

    decode()


READ_INTO_STATE = (
    "platform.configuration.decode_configuration",
    "platform.configuration.decode_engine",
    "platform.jobs.decode_submission",
    "daemons.datagram.decode",
    "daemons.peer_state.decode_state",
    "decisions.jobs.records._fields",
    "decisions.slots.coordinator_claims.decode_claim",
    "decisions.crashes.shared.decode_crash_time",
    "decisions.peers.peer_registry.decode_entry",
    "decisions.streams.version_history.decode_record",
    "standalone.callers.parsing.parse_completion",
    "standalone.callers.parsing._parse_line",
    "standalone.log_service.records.decode_entry",
    "standalone.decisions.batch.snapshot.decode_snapshot",
)
"""Decoders whose errors would reach the loop, or end a request."""


@pytest.mark.parametrize("name", READ_INTO_STATE)
def test_decoder_that_fails_in_an_unforeseen_way_rejects_the_value(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    decoder = JSON.get(name) or CBOR[name]
    module = f"troutswitch.{name.rpartition('.')[0]}"
    function = "decode_json" if name in JSON else "decode_cbor"
    monkeypatch.setattr(f"{module}.{function}", lambda *_, **__: object())
    encode = changed_json if name in JSON else changed_cbor
    check(decoder, encode(decoder, 0, True, b"\x01"))


def test_sound_samples_are_decoded() -> None:
    """Guards against a test of values that are all rejected."""
    for decoder in JSON.values():
        if decoder.decode is not decode_refusal:
            result = decoder.decode(decoder.wrap(json.dumps(decoder.sample).encode()))
            assert not isinstance(result, CallFailed) and result not in (None, ()), decoder
    for decoder in CBOR.values():
        assert decoder.decode is apply_crash or decoder.decode(
            decoder.wrap(cbor2.dumps(decoder.sample))
        )
    for decoder in TOML.values():
        assert decoder.decode(str(decoder.sample).encode())


# Stacks of threads.


def deep_json(decoder: Decoder, depth: int) -> Iterator[bytes]:
    """Yields a decoder's sample with a nested value in each place."""
    for fragment in (b"[" * depth + b"]" * depth, b'{"x":' * depth + b"1" + b"}" * depth):
        for place in range(len(list(places_of(decoder.sample)))):
            yield changed_json(decoder, place, False, fragment)
            yield changed_json(decoder, place, True, fragment)


def deep_cbor(decoder: Decoder, depth: int) -> Iterator[bytes]:
    for fragment in (b"\x81" * depth + b"\x01", b"\xa1\x01" * depth + b"\x01"):
        for place in range(len(list(places_of(decoder.sample)))):
            yield changed_cbor(decoder, place, False, fragment)


def decode_deep_values() -> None:
    """Prints the name of each decoder, and its undocumented error if there is one."""
    rows = [(name, decoder, deep_json) for name, decoder in JSON.items()]
    rows += [(name, decoder, deep_cbor) for name, decoder in CBOR.items()]
    for name, decoder, values in rows:
        print(name, end=": ", flush=True)
        try:
            for data in (data for depth in STACK_DEPTHS for data in values(decoder, depth)):
                check(decoder, data)
        except Exception as error:
            print(type(error).__name__, flush=True)
        else:
            print("sound", flush=True)


def decode_on_small_stack() -> None:
    """Calls `decode_deep_values` on a thread like those of a daemon."""
    threading.stack_size(THREAD_STACK_BYTES)
    thread = threading.Thread(target=decode_deep_values)
    thread.start()
    thread.join()


def test_no_depth_ends_a_thread_or_its_process() -> None:
    """Guards against a nested value that overflows the stack, which leaves no error."""
    program = "from tests.test_decoders import decode_on_small_stack; decode_on_small_stack()"
    ended = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True)
    lines = ended.stdout.splitlines()
    assert [line for line in lines if not line.endswith(": sound")] == []
    assert (ended.returncode, len(lines)) == (0, len(JSON) + len(CBOR)), lines[-1:]


def test_read_of_records_with_any_bytes_is_an_outcome() -> None:
    decode = store_answers(ReadRecords(1, PARTITION, 0, 0.0, 1.0))

    @DRAWN
    @given(st.binary(max_size=60))
    def read(body: bytes) -> None:
        decode(body)

    read()
