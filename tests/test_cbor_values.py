"""CBOR of another process costs bounded work, and has only values that its reader can check."""

from typing import Any

import cbor2
import pytest

from troutswitch.cbor_values import MAX_INTEGER, MalformedCbor, decode_cbor

SHARED, REFERENCE, SET, MIME, REGULAR_EXPRESSION = 28, 29, 258, 36, 35


def doubling_value(levels: int) -> bytes:
    """Returns lists each of which has the one before it twice, by reference."""
    lists: list[Any] = [cbor2.CBORTag(SHARED, [])]
    for level in range(levels):
        lists.append(cbor2.CBORTag(SHARED, [cbor2.CBORTag(REFERENCE, level)] * 2))
    return cbor2.dumps(lists)


def nested_mail(depth: int) -> bytes:
    return cbor2.dumps(cbor2.CBORTag(MIME, "Content-Type: message/rfc822\n\n" * depth))


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(doubling_value(8), id="work that doubles with each level"),
        pytest.param(nested_mail(40), id="a mail in a mail, whose parser overflows a stack"),
        pytest.param(cbor2.dumps(cbor2.CBORTag(REGULAR_EXPRESSION, "a")), id="regular expression"),
        pytest.param(cbor2.dumps({1, 2}), id="set"),
        pytest.param(cbor2.dumps(cbor2.CBORTag(2**64 - 1, 1)), id="unknown tag"),
        pytest.param(cbor2.dumps([1, {"a": cbor2.CBORTag(1, 1)}]), id="inside other values"),
    ],
)
def test_tagged_value_is_rejected(data: bytes) -> None:
    with pytest.raises(MalformedCbor, match="tag"):
        decode_cbor(data, object)


@pytest.mark.parametrize("number", [MAX_INTEGER + 1, float("nan"), float("inf")])
def test_numbers_in_a_set_do_not_pass_the_check_of_numbers(number: float) -> None:
    with pytest.raises(MalformedCbor):
        decode_cbor(cbor2.dumps({number}), list[Any])


def test_untagged_values_are_decoded() -> None:
    value = [MAX_INTEGER, -1, 0.5, "a", b"b", None, True, {"k": [{}]}]
    assert decode_cbor(cbor2.dumps(value), list) == value
