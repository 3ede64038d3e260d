"""Decodes CBOR that another process wrote, and checks its form.

Daemons of other versions, and any program that can write to the store or to a daemon's port, choose
these bytes. What passes has the requested types and numbers that arithmetic can handle.
"""

import math
from collections.abc import Callable
from typing import Any, Never, TypeVar

import cbor2
import msgspec

Form = TypeVar("Form")

MAX_INTEGER = 2**64 - 1
"""Largest magnitude of an integer, enough for 64-bit hashes. CBOR has integers of any length, whose
division or conversion to a float fails."""


class MalformedCbor(ValueError):
    """The bytes are not CBOR, or the decoded value does not have the requested form."""


class _TagRejection(dict[int, Callable[[Any, bool], Any]]):
    """Gives each tag a decoder that rejects it.

    No value of ours is tagged. References to shared values make work that grows exponentially with
    the bytes, regular expressions and mails are parsed on the caller's stack, and sets hide numbers
    from their check.
    """

    def __missing__(self, tag: int) -> Callable[[Any, bool], Any]:
        def reject(*_: object) -> Never:
            raise ValueError(f"tag {tag}")

        return reject


_TAG_REJECTION = _TagRejection()


def decode_cbor(data: bytes, form: type[Form], *, allows_infinity: bool = False) -> Form:
    """Returns the value that the bytes encode.

    Args:
        data: the encoded value.
        form: type of the value, as `msgspec.convert` takes it.
        allows_infinity: whether floats may be infinite.

    Raises:
        MalformedCbor: the bytes encode no such value.
    """
    try:
        value = cbor2.loads(data, semantic_decoders=_TAG_REJECTION)
        _check_numbers(value, allows_infinity)
        return msgspec.convert(value, form, builtin_types=(bytes,))
    except Exception as error:  # decoders raise errors of many types
        raise MalformedCbor(f"{type(error).__name__}: {error}") from error


def _check_numbers(value: object, allows_infinity: bool) -> None:
    """Checks all numbers in a value.

    Raises:
        ValueError: a number is too large, or not a number, or infinite if that is not allowed.
    """
    if isinstance(value, int):
        if abs(value) > MAX_INTEGER:
            raise ValueError("an integer is out of range")
    elif isinstance(value, float):
        if math.isnan(value) or (math.isinf(value) and not allows_infinity):
            raise ValueError("a number is not finite")
    elif isinstance(value, list | tuple):
        for part in value:
            _check_numbers(part, allows_infinity)
    elif isinstance(value, dict):
        for key, part in value.items():
            _check_numbers(key, allows_infinity)
            _check_numbers(part, allows_infinity)
