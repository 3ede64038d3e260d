"""No value in a record or a message ends a daemon, and sound work goes on beside it.

Records and messages are drawn at random, well formed and not, and pass through the core of daemons
in a simulated fleet that runs a job meanwhile.
"""

import random
import types
import typing
from collections.abc import Sequence
from typing import Any

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.simulation.fleet import Daemon, SimulatedFleet
from troutswitch.common import Address
from troutswitch.daemons.datagram import VERSION, DatagramError, decode, encode
from troutswitch.daemons.messages import PeerMessage
from troutswitch.daemons.peer_state import PeerStateError, decode_state
from troutswitch.decisions.gateway_interface import GatewayInstruction
from troutswitch.decisions.jobs.records import SCHEMA_VERSION
from troutswitch.decisions.peers.catch_up import PeerStateReceived
from troutswitch.decisions.slots.messages import PeerMessageReceived, SendToPeers
from troutswitch.decisions.storage.messages import KeyedRecord

START_SECONDS = 3.0
RUN_SECONDS = 6.0
ITEMS = 3
FLEET_EXAMPLES = settings(derandomize=True, deadline=None, max_examples=25)

NUMBERS = st.sampled_from(
    [0, 1, -1, 5, 255, 2**31, 2**32 - 1, 2**53, 2**63, 2**64 - 1, 2**64, -(2**70), 10**400]
)
FLOATS = st.sampled_from([0.0, -1.0, 0.5, 1e300, float("inf"), float("-inf"), float("nan")])
TEXTS = st.sampled_from(
    [
        "",
        "x",
        "daemon-0",
        "service",
        "service|z",
        "server-0",
        "job",
        "job-0",
        "\x00",
        "\u20ac",
        "9" * 30,
    ]
)
VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | FLOATS | TEXTS | st.binary(max_size=5),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=8,
)


def sound_fleet(seed: int = 1) -> SimulatedFleet:
    fleet = SimulatedFleet(seed, daemons=2)
    fleet.run(START_SECONDS)
    fleet.submit_job("job", ITEMS)
    fleet.run(0.5)
    return fleet


def check_sound_work(fleet: SimulatedFleet, other_jobs: Sequence[str] = ()) -> None:
    """Runs a fleet on, and checks its sound job; an error of a daemon's core is raised here."""
    fleet.run(RUN_SECONDS)
    assert all(daemon.incarnation == 0 for daemon in fleet.daemons.values())
    assert {row[0] for row in fleet.jobs["job"].results.values()} == {
        f"job-{n}" for n in range(ITEMS)
    }
    assert [v for v in fleet.violations if not any(job in v for job in other_jobs)] == []


# Records.

PLATFORM_TOPICS = ("configuration", "servers")
"""Topics whose records have formats of the platform."""
KEYS = st.sampled_from(
    [
        "",
        ":",
        "j:other",
        "j:",
        "e:other",
        "p:other",
        "b:other:00000",
        "b:other:\N{SUPERSCRIPT TWO}",
        "b:other:" + "9" * 30,
        "r:other:00000",
        "r:other:00001",
        "x:other:00000:00000",
        "x:other:0",
        "c:other:00000:00000",
        "c:other:\N{SUPERSCRIPT TWO}:0",
        "f:other:00000",
        "service",
        "service|z",
        "#quota|0",
        "0123456789abcdef/server-0",
        "daemon-0",
        "daemon-9",
        "\ufffd" * 80,
    ]
)
FIELDS = st.lists(VALUES, max_size=9).map(lambda fields: [SCHEMA_VERSION, *fields])
SOUND_FIELDS = st.sampled_from(
    [
        [SCHEMA_VERSION, "jobs", "jobs.example", 1, 5, "d", 0, 0.0, ""],
        [SCHEMA_VERSION, "jobs", "jobs.example", 2**53, 0, "d", 2**53, 1e300, "t"],
        [SCHEMA_VERSION, [["i", "/jobs/1", {"a": "b"}, b"", 1]]],
        [SCHEMA_VERSION, [["i", " /\n", {"a": "\u20ac\r\n"}, b"", 0]] * 2],
        [SCHEMA_VERSION, "i", "done", b"\xff", 0],
        [SCHEMA_VERSION, "i", "unknown", b"x", 2**53],
        [SCHEMA_VERSION, b"x"],
        [SCHEMA_VERSION, "", "1", "text"],
        [SCHEMA_VERSION, "", "\N{SUPERSCRIPT TWO}", "text", "v"],
        [SCHEMA_VERSION, 3],
        [SCHEMA_VERSION],
        ["daemon-1", "10.0.1.2", 7],
        ["daemon-1", "evil.example", 2**40],
        ["10.0.1.2", 7, "z", [{"service": [0, 0]}, {"jobs": 0}, [0, 0, 0]]],
        ["10.0.1.2", 7, "z", [{"service": [10**12, 1]}, {}, [10**12, 10**12, 10**12]]],
        [1e300],
    ]
)
RECORD_VALUES = st.binary(max_size=12) | (FIELDS | SOUND_FIELDS | VALUES).map(cbor2.dumps)


@FLEET_EXAMPLES
@given(st.lists(st.tuples(KEYS, RECORD_VALUES), min_size=10, max_size=30))
def test_records_of_any_bytes_end_no_daemon(rows: list[tuple[str, bytes]]) -> None:
    """Guards against a record of another version that ends each daemon that reads it."""
    fleet = sound_fleet()
    for partition, log in list(fleet.store.logs.items()):
        if partition.topic in PLATFORM_TOPICS:
            continue
        log.append(tuple(KeyedRecord(key, value) for key, value in rows))
    fleet.reassign_shards()
    fleet.run(1.0)
    check_sound_work(fleet)


def with_other_part(value: Any, place: int, other: Any) -> Any:
    """Returns a nested list with the part at a place, counted over all levels, replaced."""
    if not isinstance(value, list) or not value:
        return other
    place, index = divmod(place, len(value))
    return [*value[:index], with_other_part(value[index], place, other), *value[index + 1 :]]


CHANGES = st.lists(
    st.tuples(st.integers(0, 10**6), st.integers(0, 10**6), VALUES), min_size=10, max_size=40
)
"""Changes of what daemons wrote or sent: which one, at which place, and the other value."""


@FLEET_EXAMPLES
@given(CHANGES)
def test_records_with_another_value_in_one_field_end_no_daemon(
    changes: list[tuple[int, int, Any]],
) -> None:
    fleet = sound_fleet()
    fleet.submit_job("changed", ITEMS)
    fleet.run(1.0)
    logs = {p: log for p, log in fleet.store.logs.items() if p.topic not in PLATFORM_TOPICS}
    written = [(p, record) for p, log in logs.items() for record in log.records if record.value]
    for number, place, other in changes:
        partition, record = written[number % len(written)]
        if ":job" in record.key:
            continue  # what is written about the sound job stays as it is
        value = cbor2.dumps(with_other_part(cbor2.loads(record.value), place, other))
        fleet.store.log(partition).append((KeyedRecord(record.key, value),))
    fleet.reassign_shards()
    fleet.run(1.0)
    check_sound_work(fleet, ["changed"])


# Messages between daemons.


class RecordingFleet(SimulatedFleet):
    """A fleet that keeps what its daemons send each other."""

    def __init__(self, seed: int) -> None:
        self.sent: list[PeerMessage] = []
        super().__init__(seed, daemons=3, zones=("z", "y"))

    def execute(self, daemon: Daemon, instruction: GatewayInstruction) -> None:
        if isinstance(instruction, SendToPeers):
            self.sent.append(instruction.message)
        super().execute(daemon, instruction)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(CHANGES)
def test_messages_with_another_value_in_one_field_end_no_daemon(
    changes: list[tuple[int, int, Any]],
) -> None:
    fleet = RecordingFleet(1)
    fleet.run(START_SECONDS)
    fleet.submit_job("job", ITEMS)
    fleet.run(0.5)
    for number, place, other in changes:
        message = fleet.sent[-1 - number % min(60, len(fleet.sent))]
        _, fields = cbor2.loads(encode(message))
        changed = with_other_part(fields, place, other)
        for received in decoded([cbor2.dumps([VERSION, changed])]):
            for daemon in fleet.daemons.values():
                fleet.step_later(daemon, PeerMessageReceived(received), 0.01)
        fleet.run(0.05)
    fleet.run(RUN_SECONDS)
    assert all(daemon.incarnation == 0 for daemon in fleet.daemons.values())


def values_of(form: Any) -> st.SearchStrategy[Any]:
    """Returns values of a type, from its annotations, as their plain encoding."""
    origin = typing.get_origin(form)
    if origin is typing.Annotated:
        return values_of(typing.get_args(form)[0])
    if origin in (types.UnionType, typing.Union):
        return st.one_of(*(values_of(part) for part in typing.get_args(form)))
    if origin is tuple:
        return st.lists(values_of(typing.get_args(form)[0]), max_size=3)
    if form is Address:
        hosts = st.sampled_from(["10.0.1.1", "10.0.1.2", "10.0.9.9", "evil.example", "\x00", ""])
        ports = st.sampled_from([7, 0, 65535, 65536, -1, 2**40])
        return st.tuples(hosts, ports).map(list)
    if isinstance(form, type) and issubclass(form, msgspec.Struct):
        return struct_of(form)
    plain = {str: TEXTS, int: NUMBERS, float: FLOATS, bool: st.booleans(), type(None): st.none()}
    return plain[form]


def struct_of(form: type[msgspec.Struct]) -> st.SearchStrategy[Any]:
    hints = typing.get_type_hints(form, include_extras=True)
    fields = [values_of(hints[name]) for name in form.__struct_fields__]
    tag = form.__struct_config__.tag
    return st.tuples(*fields).map(lambda values: [tag, *values] if tag else list(values))


MESSAGE_FORMS = typing.get_args(PeerMessage)
FORMED_MESSAGES = st.sampled_from(MESSAGE_FORMS).flatmap(struct_of)
DATAGRAMS = FORMED_MESSAGES.map(lambda fields: cbor2.dumps([VERSION, fields]))


def decoded(datagrams: list[bytes]) -> list[PeerMessage]:
    result: list[PeerMessage] = []
    for datagram in datagrams:
        try:
            result.append(decode(datagram))
        except DatagramError:
            continue
    return result


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(DATAGRAMS, min_size=10, max_size=40))
def test_messages_of_any_values_end_no_daemon(datagrams: list[bytes]) -> None:
    """Guards against a number that arithmetic can't handle and an address that can't be sent to."""
    fleet = sound_fleet()
    for message in decoded(datagrams):
        encode(message)
        for daemon in fleet.daemons.values():
            fleet.step_later(daemon, PeerMessageReceived(message), 0.01)
        fleet.run(0.05)
    fleet.run(RUN_SECONDS)
    assert all(daemon.incarnation == 0 for daemon in fleet.daemons.values())


@pytest.mark.parametrize("form", MESSAGE_FORMS, ids=lambda form: form.__name__)
def test_drawn_messages_of_each_kind_are_decoded(form: type[msgspec.Struct]) -> None:
    """Guards against a test of messages that are all rejected."""
    rng = random.Random(1)
    strategy = struct_of(form)
    found: list[PeerMessage] = []

    @settings(derandomize=True, deadline=None, max_examples=200, database=None)
    @given(strategy)
    def collect(fields: list[Any]) -> None:
        found.extend(decoded([cbor2.dumps([VERSION, fields])]))

    collect()
    assert found, rng


@FLEET_EXAMPLES
@given(
    st.lists(
        st.binary(max_size=20)
        | st.tuples(st.sampled_from([1, 2]), VALUES, VALUES, VALUES | FLOATS, FLOATS).map(
            lambda fields: cbor2.dumps(list(fields))
        ),
        min_size=5,
        max_size=20,
    )
)
def test_states_of_peers_of_any_bytes_end_no_daemon(states: list[bytes]) -> None:
    fleet = sound_fleet()
    for data in states:
        try:
            state = decode_state(data)
        except PeerStateError:
            continue
        for daemon in fleet.daemons.values():
            fleet.step_later(daemon, PeerStateReceived("10.0.1.1", state), 0.01)
        fleet.run(0.05)
    check_sound_work(fleet)
