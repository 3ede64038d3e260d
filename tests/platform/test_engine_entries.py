"""Entries of the engine list: which entries are usable, and which incarnation they describe."""

import json
from typing import Any

from troutswitch.decisions.crashes.engine_crashes import EngineCrashes
from troutswitch.decisions.forwarding.engine import NO_SIZE
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.platform.configuration import FormatError, decode_engine
from troutswitch.platform.engine_ids import incarnation_id, instance_id
from troutswitch.platform.requests import item_headers

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
NO_ADDRESSES = (
    "localhost:80",
    "engine.example:80",
    "[::1]:80",
    "a..b:80",
    "\u00e4" * 80 + ":80",
    "\0:80",
    " 10.0.0.1:80",
    "10.0.0.1\n:80",
    "10.0.0.256:80",
    "10.0.0:80",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "224.0.0.1:80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:" + "9" * 100,
    "10.0.0.1:\N{SUPERSCRIPT TWO}",
    "10.0.0.1:\N{ARABIC-INDIC DIGIT ONE}",
)
REQUIRED = tuple(name for name in ENTRY if name != "born")


def entry(**changed: Any) -> bytes:
    return json.dumps(ENTRY | changed).encode()


def is_usable(data: bytes) -> bool:
    try:
        decode_engine("i-1", data)
    except FormatError:
        return False
    return True


def test_malformed_entry_is_not_usable() -> None:
    without = [json.dumps({k: v for k, v in ENTRY.items() if k != name}) for name in REQUIRED]
    malformed = [entry(**changed) for changed in UNUSABLE] + [text.encode() for text in without]
    malformed += [b"", b"null", b"[]", b"\xff\x00{", b'{"service":']
    assert [data for data in malformed if is_usable(data)] == []


def test_entry_whose_address_cannot_be_connected_to_is_not_usable() -> None:
    """Guards against requests that are sent to a text, which raises errors of any type."""
    assert [text for text in NO_ADDRESSES if is_usable(entry(address=text))] == []


def test_complete_entry_is_usable() -> None:
    assert is_usable(entry())
    assert is_usable(entry(state="draining", coldRemainingMs=12.5, more="unknown"))
    assert is_usable(json.dumps({k: v for k, v in ENTRY.items() if k != "born"}).encode())


def test_entry_states_the_version_of_the_engine_software() -> None:
    assert decode_engine("i-1", entry(version="v1.2")).version == "v1.2"
    assert decode_engine("i-1", entry(version=3)).version == "3"


def test_draining_engine_that_restarts_under_its_id_is_usable() -> None:
    engines = EngineRegistry()
    engines.on_list(0.0, [decode_engine("i-1", entry(state="draining"))])
    engines.on_list(1.0, [])
    engines.on_list(2.0, [decode_engine("i-1", entry(born=2000, sequence=0))])
    assert len(engines.usable(2.0, "s")) == 1


def test_incarnation_is_removed_by_the_list_that_has_the_next_one() -> None:
    """Guards against two incarnations in use at the same time after an outage of the list, when
    missing engines are kept."""
    engines = EngineRegistry()
    engines.on_list(0.0, [decode_engine("i-1", entry()), decode_engine("i-2", entry())])
    engines.on_list_failed(4.9)
    engines.on_list(5.0, [decode_engine("i-1", entry(born=2000))])
    assert {engine.record.engine_id for engine in engines.of_service("s")} == {
        "i-1@2000",
        "i-2@1000",
    }


def test_restarted_engine_is_not_ejected_for_failures_before_the_restart() -> None:
    engines = EngineRegistry()
    engines.on_list(0.0, [decode_engine(name, entry()) for name in ("i-1", "i-2")])
    for _ in range(3):
        engines.on_sent(0.0, "i-1@1000", False, NO_SIZE)
        engines.on_ended(0.0, "i-1@1000", False, NO_SIZE, begun=False, failed=True)
    assert len(engines.usable(0.1, "s")) == 1
    restarted = [decode_engine("i-1", entry(born=2000)), decode_engine("i-2", entry())]
    engines.on_list(0.2, restarted)
    assert len(engines.usable(0.2, "s")) == 2


def test_engine_that_restarts_immediately_after_a_lost_response_counts_as_crashed() -> None:
    engines = EngineRegistry()
    engines.on_list(0.0, [decode_engine("i-1", entry())])
    crashes = EngineCrashes(engines, lambda check: None)
    crashes.on_lost(0.1, "content", "i-1@1000", False)
    engines.on_list(0.5, [decode_engine("i-1", entry(born=2000))])
    assert [crash.engine_id for crash in crashes.on_list()] == ["i-1@1000"]


def test_request_carries_the_platform_id_of_the_engine() -> None:
    record = decode_engine("i-1", entry())
    headers = dict(item_headers("h", "item", {}, record.engine_id, ""))
    assert headers["X-Troutswitch-Expect-Instance"] == "i-1"


def test_platform_id_is_recovered_from_the_incarnation_id() -> None:
    for name in ("i-1", "i@1", "i@", "@", "i@1@2"):
        assert instance_id(incarnation_id(name, None)) == name
        assert instance_id(incarnation_id(name, 1700000000000)) == name


def test_engines_with_an_empty_version_do_not_count_as_one_version() -> None:
    """Guards against a stream that goes on at another version because both are unnamed."""
    first, second = (decode_engine(name, entry(version="")) for name in ("i-1", "i-2"))
    assert first.version != second.version
    assert decode_engine("i-1", entry(version="v1")).version == "v1"
