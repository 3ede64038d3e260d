"""Compares forms with the bytes in `data`; shared by the tests here and by `write`."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from msgspec import Struct

DATA = Path(__file__).parent / "data"


@dataclass(frozen=True)
class Form:
    """One form: `encode` writes a fixed value, `again` decodes bytes and encodes the result."""

    encode: Callable[[], bytes]
    again: Callable[[bytes], bytes] | None = None


Forms = Mapping[str, Form]


def stored(kind: str) -> dict[str, Any]:
    """Returns the held forms of a kind: bytes in hexadecimal, or plain JSON, by name."""
    held: dict[str, Any] = json.loads((DATA / f"{kind}.json").read_text())
    return held


def check_all_are_held(kind: str, names: Mapping[str, object]) -> None:
    """Each sample has held data, and no held data has lost its sample."""
    assert set(names) == set(stored(kind))


def check_form(kind: str, name: str, form: Form) -> None:
    """A fixed value is encoded to the held bytes, and these come back after a decoding."""
    expected = bytes.fromhex(stored(kind)[name])
    assert form.encode() == expected
    if form.again is not None:
        assert form.again(expected) == expected


def plain(value: object) -> Any:
    """Returns a value by the places of its fields alone, as JSON can hold it.

    Names of fields and of enumerations' members are left out: they never leave the program.
    """
    if isinstance(value, Enum):
        return ["enumeration", list(type(value)).index(value)]
    if isinstance(value, Struct):
        return [plain(getattr(value, name)) for name in value.__struct_fields__]
    if is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, (frozenset, set)):
        return sorted(plain(item) for item in value)
    if isinstance(value, (tuple, list)):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return [[plain(key), plain(item)] for key, item in value.items()]
    if isinstance(value, bytes):
        return value.hex()
    assert value is None or isinstance(value, (str, int, float)), type(value)
    return value
