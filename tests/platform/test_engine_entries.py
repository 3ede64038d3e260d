"""Entries of the engine list: which name an engine to use, and which start of it they mean."""

import json
from typing import Any

from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.platform.configuration import FormatError, decode_engine

ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1000,
}
UNUSABLE: list[dict[str, Any]] = [
    {"state": "unheard"},
    {"state": 1},
    {"state": None},
    {"slots": 0},
    {"slots": -3},
    {"slots": 10**15},
    {"slots": "8"},
    {"zone": 3},
    {"zone": ""},
    {"service": None},
    {"service": ""},
    {"address": "nowhere"},
    {"address": 80},
    {"sequence": "4"},
    {"coldRemainingMs": "0"},
    {"version": []},
    {"born": "yesterday"},
    {"born": 10.5},
    {"born": -1},
]
REQUIRED = ("service", "address", "zone", "version", "slots", "state", "sequence")


def entry(**changed: Any) -> bytes:
    return json.dumps(ENTRY | changed).encode()


def is_usable(data: bytes) -> bool:
    try:
        decode_engine("i-1", data)
    except FormatError:
        return False
    return True


def test_an_entry_of_another_writer_names_no_engine() -> None:
    without = [json.dumps({k: v for k, v in ENTRY.items() if k != name}) for name in REQUIRED]
    odd = [entry(**changed) for changed in UNUSABLE] + [text.encode() for text in without]
    odd += [b"", b"null", b"[]", b"\xff\x00{", b'{"service":']
    assert [data for data in odd if is_usable(data)] == []


def test_a_whole_entry_names_an_engine() -> None:
    assert is_usable(entry())
    assert is_usable(entry(state="draining", coldRemainingMs=12.5, more="unknown"))
    assert is_usable(json.dumps({k: v for k, v in ENTRY.items() if k != "born"}).encode())


def test_an_engine_that_starts_again_under_its_id_gets_work_again() -> None:
    engines = EngineRegistry()
    engines.on_list(0.0, [decode_engine("i-1", entry(state="draining"))])
    engines.on_list(1.0, [])
    engines.on_list(2.0, [decode_engine("i-1", entry(born=2000, sequence=0))])
    assert len(engines.usable(2.0, "s")) == 1
