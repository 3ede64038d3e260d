"""Decodes JSON that another process wrote, and checks its form.

Any program that can write to the store, answer a call or send a request chooses these bytes. What
passes has the requested types; whatever else they hold is one error, `MalformedJson`.
"""

import re
from array import array
from collections.abc import Hashable
from functools import lru_cache
from itertools import accumulate
from typing import Any, TypeVar, cast

import msgspec

Form = TypeVar("Form")

MAX_DEPTH = 64
"""Deepest nesting of arrays and objects. Decoders call themselves for each level, and threads have
small stacks (`gateway/callers/listener.py`): a stack that overflows ends the process."""
DECODERS_KEPT = 128

_BRACKETS = b"[{]}"
_NEITHER_BRACKETS_NOR_QUOTES = bytes(set(range(256)) - set(_BRACKETS + b'"'))
_NO_BRACKETS = bytes(set(range(256)) - set(_BRACKETS))
_STEPS = bytes.maketrans(_BRACKETS, bytes([1, 1, 255, 255]))
"""Signed bytes by which each bracket changes the depth."""
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?', re.DOTALL)


class MalformedJson(ValueError):
    """The bytes are not JSON, are nested too deeply, or do not have the requested form."""


def decode_json(data: bytes | msgspec.Raw, form: type[Form]) -> Form:
    """Returns the value that the bytes encode.

    Args:
        data: the encoded value.
        form: type of the value, as `msgspec.json.decode` takes it.

    Raises:
        MalformedJson: the bytes encode no such value.
    """
    try:
        _check_depth(data)
        value: Form = _decoder(cast(Hashable, form)).decode(data)
    except msgspec.ValidationError as error:
        raise MalformedJson(str(error)) from error
    except Exception as error:  # decoders raise errors of many types
        raise MalformedJson(f"malformed JSON: {type(error).__name__}: {error}") from error
    return value


@lru_cache(maxsize=DECODERS_KEPT)
def _decoder(form: Any) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(form)


def _check_depth(data: bytes | msgspec.Raw) -> None:
    """Checks the nesting without decoding anything.

    Raises:
        ValueError: it is too deep.
    """
    text = bytes(data)
    if text.count(b"[") + text.count(b"{") <= MAX_DEPTH:
        return
    if b"\\" not in text:  # then no quote is escaped, and most bytes can be skipped
        text = text.translate(None, _NEITHER_BRACKETS_NOR_QUOTES)
    steps = _STRING.sub(b"", text).translate(_STEPS, _NO_BRACKETS)
    if max(accumulate(array("b", steps)), default=0) > MAX_DEPTH:
        raise ValueError(f"nested more than {MAX_DEPTH} deep")
