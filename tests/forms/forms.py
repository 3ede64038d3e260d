"""Compares encoded samples with the bytes in `data`; shared by the tests here and by `write`."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from msgspec import Struct

DATA = Path(__file__).parent / "data"


@dataclass(frozen=True)
class Sample:
    """A fixed value: `encode` encodes it, `reencode` decodes bytes and encodes the result."""

    encode: Callable[[], bytes]
    reencode: Callable[[bytes], bytes] | None = None


Samples = Mapping[str, Sample]


def stored(kind: str) -> dict[str, Any]:
    """Returns the expected data of a kind by sample name: hexadecimal bytes or plain JSON."""
    data: dict[str, Any] = json.loads((DATA / f"{kind}.json").read_text())
    return data


def check_samples_match_data(kind: str, names: Mapping[str, object]) -> None:
    """Checks that every sample has expected data, and that all expected data has a sample."""
    assert set(names) == set(stored(kind))


def check_sample(kind: str, name: str, sample: Sample) -> None:
    """Checks that a sample encodes to the expected bytes, and that these survive a round trip."""
    expected = bytes.fromhex(stored(kind)[name])
    assert sample.encode() == expected
    if sample.reencode is not None:
        assert sample.reencode(expected) == expected


def plain(value: object) -> Any:
    """Returns a value as plain JSON types, with fields by position instead of by name.

    Names of fields and of enumeration members are left out, since they never leave the process.
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
