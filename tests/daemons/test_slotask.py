import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.daemons.datagram import decode, encode
from troutswitch.daemons.loadreport import DatagramError
from troutswitch.daemons.slotask import SLOT_ASK, SlotAsk

ASKS = st.builds(SlotAsk, st.text(max_size=40), st.integers(0, 0xFFFFFFFF))
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=60)


@DETERMINISTIC
@given(ASKS)
def test_an_ask_comes_back_as_it_went(ask: SlotAsk) -> None:
    assert decode(encode(ask)) == ask


@pytest.mark.parametrize(
    "fields", [[], [SLOT_ASK], [SLOT_ASK, 1, 2], [SLOT_ASK, "x", "y"], ["other", "x", 1], "slot"]
)
def test_other_fields_are_an_error(fields: object) -> None:
    with pytest.raises(DatagramError):
        decode(cbor2.dumps(fields))
