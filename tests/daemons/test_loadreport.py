import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.common import Address
from troutswitch.daemons.datagram import decode, encode
from troutswitch.daemons.loadreport import (
    DatagramError,
    LoadReport,
    ServerShare,
)

COUNTS = st.integers(0, 10_000)
SHARES = st.builds(ServerShare, st.integers(0, 0xFFFFFFFF), COUNTS, COUNTS, COUNTS)
REPORTS = st.builds(
    LoadReport,
    st.text(max_size=40),
    st.text(max_size=40),
    st.builds(Address, st.text(max_size=40), st.integers(1, 65535)),
    COUNTS,
    COUNTS,
    st.lists(SHARES, max_size=20).map(tuple),
    st.integers(-1, 10_000),
    st.booleans(),
    COUNTS,
    COUNTS,
    COUNTS,
    st.booleans(),
)
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=60)


@DETERMINISTIC
@given(REPORTS)
def test_a_report_comes_back_as_it_went(report: LoadReport) -> None:
    assert decode(encode(report)) == report


@DETERMINISTIC
@given(st.binary(max_size=60))
def test_other_bytes_are_an_error(data: bytes) -> None:
    with pytest.raises(DatagramError):
        decode(data)


def test_today_s_report_is_small() -> None:
    shares = tuple(ServerShare(0xFFFFFFFF, 20, 10, 30) for _ in range(9))
    address = Address("10.1.2.10", 7720)
    report = LoadReport("edge-guediawaye-3", "guediawaye", address, 2**31, 9999, shares, 12)
    assert len(encode(report)) < 190
