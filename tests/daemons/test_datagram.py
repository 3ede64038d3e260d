"""Datagrams between daemons are decoded to the message that was encoded, or rejected."""

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.common import Address
from troutswitch.daemons.datagram import VERSION, DatagramError, decode, encode
from troutswitch.daemons.messages import (
    MIN_REPORTED_PREFILL_TOKENS,
    PREFILL_UNIT_TOKENS,
    BatchSlotGrant,
    EngineCounts,
    EngineShare,
    GroupDigest,
    Heartbeat,
    HoldingsReport,
    KnownClaim,
    PeerMessage,
    ServiceItems,
    SlotReply,
    SlotRequest,
    engine_key,
    prefill_units,
)

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)
ETHERNET_PAYLOAD = 1400
TEXT = st.text(max_size=30)
COUNT = st.integers(0, 2**31)
KEY = st.integers(0, 2**32 - 1)
HOST = st.ip_addresses(v=4).map(str)
ADDRESS = st.builds(Address, HOST, st.integers(0, 65535))
SHARES = st.lists(st.builds(EngineShare, KEY, COUNT, COUNT, COUNT), max_size=5).map(tuple)
KEYS = st.lists(KEY, max_size=5).map(tuple)
REPORT = st.builds(
    HoldingsReport,
    TEXT,
    TEXT,
    ADDRESS,
    COUNT,
    COUNT,
    SHARES,
    COUNT,
    COUNT,
    COUNT,
    COUNT,
    COUNT,
    KEYS,
)
COUNTS = st.lists(st.builds(EngineCounts, KEY, COUNT, COUNT), max_size=5).map(tuple)
CLAIMS = st.lists(st.builds(KnownClaim, TEXT, TEXT, ADDRESS, COUNT), max_size=4).map(tuple)
MESSAGES = st.one_of(
    REPORT,
    st.builds(SlotRequest, REPORT, COUNT, TEXT, COUNT, st.integers(-1, 10_000), KEYS),
    st.builds(
        SlotReply,
        TEXT,
        COUNT,
        COUNT,
        TEXT,
        COUNT,
        KEY,
        COUNT,
        COUNT,
        COUNT,
        st.booleans(),
        st.booleans(),
    ),
    st.builds(BatchSlotGrant, TEXT, COUNT, TEXT, COUNT, KEY, st.integers(-64, 64)),
    st.builds(GroupDigest, TEXT, COUNT, TEXT, COUNTS, COUNT, COUNT),
    st.builds(Heartbeat, TEXT, TEXT, ADDRESS, COUNT, st.integers(-1, 2**40), CLAIMS),
)


@DETERMINISTIC
@given(MESSAGES)
def test_a_message_is_decoded_as_it_was_encoded(message: PeerMessage) -> None:
    assert decode(encode(message)) == message


@DETERMINISTIC
@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(DatagramError):
        decode(data)


@pytest.mark.parametrize(
    "fields",
    [
        [VERSION + 1, ["batch", "a", 1, "g", 1, 1, 1]],
        [VERSION, ["batch", "a", 1, "g", "one", 1, 1]],
        [VERSION, ["unknown", 1]],
        [VERSION, []],
        [VERSION],
        VERSION,
    ],
)
def test_other_versions_and_wrong_fields_are_rejected(fields: object) -> None:
    with pytest.raises(DatagramError):
        decode(cbor2.dumps(fields))


def test_a_slot_request_of_a_busy_daemon_fits_one_packet() -> None:
    address = Address("10.255.255.255", 65535)
    shares = tuple(EngineShare(2**32 - n, 99, 99, 999) for n in range(1, 33))
    report = HoldingsReport("edge-guediawaye-31", "guediawaye", address, 2**31, 9999, shares)
    request = SlotRequest(report, 2**20, "ordonnance-llm|guediawaye|0", 36, 180)
    assert len(encode(request)) < ETHERNET_PAYLOAD


class EarlierReport(msgspec.Struct, frozen=True, array_like=True, tag="holds"):
    """`HoldingsReport` as daemons of an earlier version read it."""

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


def test_a_daemon_of_an_earlier_version_reads_a_report_by_service() -> None:
    rows = (ServiceItems(7, 3, 1), ServiceItems(0, 0, 0))
    report = HoldingsReport("d", "z", Address("10.0.0.1", 7), 2, 3, (), 4, 1, 5, services=rows)
    _, fields = cbor2.loads(encode(report))
    earlier = msgspec.convert(fields, EarlierReport)
    assert (earlier.waiting_items, earlier.late_items, earlier.open_items) == (4, 1, 5)
    assert decode(encode(report)) == report


def test_prompt_tokens_below_the_minimum_are_not_reported_and_others_are_rounded_up() -> None:
    assert prefill_units(MIN_REPORTED_PREFILL_TOKENS - 1) == 0
    assert prefill_units(9 * PREFILL_UNIT_TOKENS + 1) == 10


def test_no_engine_has_the_key_that_means_no_engine() -> None:
    assert all(engine_key(f"s{number}") > 0 for number in range(2000))
