"""Odd records as another program may write them: entries of the engine list and configurations.

Pure: a seeded generator and the addresses of a soak determine each record. Records stay within the
store's limit on a record's size. Hosts are never looked up outside this machine: they are loopback
and reserved addresses, and texts that no resolver accepts.
"""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from troutswitch.common import Address
from troutswitch.platform.stand_in_forms import ENGINE_VERSION

NESTING_DEPTHS: tuple[int, ...] = (*range(60, 71), 400, 700, 800, 900, 1_000, 30_000, 100_000)
"""Depths around a bound of 64, around those at which a decoder's thread runs out of stack, and
above the limit of the interpreter."""
MAX_MAP_DEPTH = 30_000
"""Greatest depth of nested maps that a record has room for: each level takes six bytes."""
ODD_NUMBERS = (
    *("1e400", "-1e400", "NaN", "Infinity", "-Infinity", "-1", '"8"', "null", "[1]"),
    *("1" + "0" * 30, "1" + "0" * 400, "1" + "0" * 5_000, "-1" + "0" * 30),
)
"""JSON texts that are too large for a number, negative, or none."""
NUMBER_FIELDS = ("slots", "sequence", "born", "coldRemainingMs")
NO_PORTS = ("-1", "65536", "1" + "0" * 30, "1" * 5_000, "٣٠٠٠", "+80", "8_0", " 80", "")
NO_HOSTS = (
    *("a\0b", "127.0.0.1 x", " 127.0.0.1", "127.0.0.1\n", "a..b", "é" * 80, "", "localhost"),
    *("[::1]", "::1", "127.1", "0177.0.0.1", "127.0.0.1:80"),
)
"""Texts that are no IPv4 address; some of them a resolver accepts."""
UNUSABLE_HOSTS = ("0.0.0.0", "255.255.255.255", "224.0.0.1", "127.255.255.255")
"""Addresses that are well formed, and that no connection can be made to."""
NO_JSON = (b"{", b"[", b"\0", b"not json", b"{'a': 1}", b"{}{}", b"{}", b"[]", b"null", b"1", b" ")
ODD_KEYS = ("", "a b", "a\nb", "a\rb: c", "a\0b", "schlüssel", "k" * 250)
"""Keys that are empty, longer than an id may be, or no value of a header."""
LONG_TEXT_CHARACTERS = (129, 5_000, 200_000)
TEXT_FIELDS = ("service", "address", "zone", "version", "state")
INVALID_UTF8 = (b"\xff", b"\xc3", b"\xed\xa0\x80", b"\xf8\x88\x80\x80\x80")
LONE_SURROGATES = ('"\\ud800"', '"\\udfff"', '"a\\udc00\\ud800"')
KEY_PREFIXES = ("another", "zone")
"""Prefixes of keys that sort before and after those of the soak's engines."""
_PLACEHOLDER = "placeholder of an odd value"


class EntryKind(StrEnum):
    """What is odd about an entry of the engine list."""

    NESTED_VALUE = "nested-value"
    NESTED_FIELD = "nested-field"
    NESTED_UNKNOWN_FIELD = "nested-unknown-field"
    ODD_NUMBER = "odd-number"
    UNKNOWN_NUMBER = "unknown-number"
    NO_PORT = "no-port"
    NO_HOST = "no-host"
    UNUSABLE_HOST = "unusable-host"
    REFUSING_PORT = "refusing-port"
    SILENT_LISTENER = "silent-listener"
    RESETTING_LISTENER = "resetting-listener"
    INVALID_UTF8 = "invalid-utf8"
    LONE_SURROGATE = "lone-surrogate"
    LONG_TEXT = "long-text"
    NO_JSON = "no-json"
    ODD_KEY = "odd-key"


ACCEPTING_KINDS = frozenset({EntryKind.SILENT_LISTENER, EntryKind.RESETTING_LISTENER})
"""Entries whose address accepts connections. What is sent there may have run, so they cost requests
that must not be repeated, as a failing engine does."""
SMALL_KINDS = tuple(
    kind
    for kind in EntryKind
    if kind not in ACCEPTING_KINDS
    and kind
    not in (
        EntryKind.NESTED_VALUE,
        EntryKind.NESTED_FIELD,
        EntryKind.NESTED_UNKNOWN_FIELD,
        EntryKind.LONG_TEXT,
        EntryKind.ODD_KEY,
    )
)
"""Kinds of which hundreds may be listed at once."""


class ConfigurationKind(StrEnum):
    """What is odd about a configuration."""

    NESTED_UNKNOWN_FIELD = "nested-unknown-field"
    NESTED_IN_ROUTE = "nested-in-route"
    NESTED_IN_SERVICE = "nested-in-service"
    NESTED_HEALTH_PATH = "nested-health-path"
    NESTED_VALUE = "nested-value"
    ODD_NUMBER = "odd-number"
    UNKNOWN_NUMBER = "unknown-number"
    INVALID_UTF8 = "invalid-utf8"
    LONE_SURROGATE = "lone-surrogate"
    NO_JSON = "no-json"
    EMPTY = "empty"


REFUSED_NUMBERS = tuple(number for number in ODD_NUMBERS if number not in ("-1", "null"))
"""Numbers that no field of a configuration may have. A daemon may follow an odd configuration that
it can decode, so each must be either malformed or as good as the one it was made of."""


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """Where odd entries point to.

    Nobody listens at `refusing`; `silent` accepts connections and never answers, `resetting`
    resets those that it accepts.
    """

    service: str
    slots: int
    refusing: Address
    silent: Address
    resetting: Address


@dataclass(frozen=True, slots=True)
class OddEntry:
    """A record of the engine list."""

    kind: EntryKind
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class OddConfiguration:
    """A change to a good configuration.

    `place` says where `text` goes: the names of maps and positions of lists, the last a field;
    without a place, `text` is the whole record.
    """

    kind: ConfigurationKind
    place: tuple[str | int, ...]
    text: bytes

    def apply(self, record: bytes) -> bytes:
        """Returns a configuration's record with the change."""
        if not self.place:
            return self.text
        row = json.loads(record)
        holder = row
        for step in self.place[:-1]:
            holder = holder[step]
        holder[self.place[-1]] = _PLACEHOLDER
        return json.dumps(row).encode().replace(json.dumps(_PLACEHOLDER).encode(), self.text)


def nested(rng: random.Random) -> str:
    """Returns a JSON value of a drawn depth: arrays, maps, or arrays that are never closed."""
    depth = rng.choice(NESTING_DEPTHS)
    match rng.randrange(3):
        case 0:
            return "[" * depth + "]" * depth
        case 1:
            depth = min(depth, MAX_MAP_DEPTH)
            return '{"a":' * depth + "1" + "}" * depth
        case _:
            return "[" * depth


def draw_entry(
    rng: random.Random, kind: EntryKind, number: int, addresses: EntryAddresses
) -> OddEntry:
    """Draws an entry of a kind; `number` makes its key unique, except for an odd key."""
    key = f"{rng.choice(KEY_PREFIXES)}-{number}"
    if kind is EntryKind.ODD_KEY:
        key = rng.choice(ODD_KEYS)
    return OddEntry(kind, key, _ENTRY_VALUES[kind](rng, addresses))


def _fields(addresses: EntryAddresses, host: str = "", port: str = "") -> dict[str, str]:
    """Returns the JSON text of each field of a good entry whose address refuses connections."""
    host = host or addresses.refusing.host
    port = port or str(addresses.refusing.port)
    row = {
        "service": addresses.service,
        "address": f"{host}:{port}",
        "zone": "z",
        "version": ENGINE_VERSION,
        "slots": addresses.slots,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    return {name: json.dumps(value) for name, value in row.items()}


def _encode(fields: dict[str, str]) -> bytes:
    return ("{" + ",".join(f'"{name}":{text}' for name, text in fields.items()) + "}").encode()


def _with_field(addresses: EntryAddresses, name: str, text: str) -> bytes:
    return _encode(_fields(addresses) | {name: text})


def _at(address: Address, addresses: EntryAddresses) -> bytes:
    return _encode(_fields(addresses, address.host, str(address.port)))


def _no_port(rng: random.Random, addresses: EntryAddresses) -> bytes:
    address = json.dumps(f"{addresses.refusing.host}:{rng.choice(NO_PORTS)}")
    return _with_field(addresses, "address", address)


def _no_host(rng: random.Random, addresses: EntryAddresses) -> bytes:
    address = json.dumps(f"{rng.choice(NO_HOSTS)}:{addresses.refusing.port}")
    return _with_field(addresses, "address", address)


def _unusable_host(rng: random.Random, addresses: EntryAddresses) -> bytes:
    return _encode(_fields(addresses, rng.choice(UNUSABLE_HOSTS)))


def _refusing_port(rng: random.Random, addresses: EntryAddresses) -> bytes:
    port = rng.choice((str(addresses.refusing.port), "0"))
    return _encode(_fields(addresses, port=port))


def _invalid_utf8(rng: random.Random, addresses: EntryAddresses) -> bytes:
    value = _with_field(addresses, rng.choice((*TEXT_FIELDS, "note")), json.dumps(_PLACEHOLDER))
    return value.replace(_PLACEHOLDER.encode(), rng.choice(INVALID_UTF8))


def _long_text(rng: random.Random, addresses: EntryAddresses) -> bytes:
    text = json.dumps("x" * rng.choice(LONG_TEXT_CHARACTERS))
    return _with_field(addresses, rng.choice((*TEXT_FIELDS, "note")), text)


_ENTRY_VALUES: dict[EntryKind, Callable[[random.Random, EntryAddresses], bytes]] = {
    EntryKind.NESTED_VALUE: lambda rng, _: nested(rng).encode(),
    EntryKind.NESTED_FIELD: lambda rng, addresses: _with_field(
        addresses, rng.choice((*TEXT_FIELDS, *NUMBER_FIELDS)), nested(rng)
    ),
    EntryKind.NESTED_UNKNOWN_FIELD: lambda rng, addresses: _with_field(
        addresses, "note", nested(rng)
    ),
    EntryKind.ODD_NUMBER: lambda rng, addresses: _with_field(
        addresses, rng.choice(NUMBER_FIELDS), rng.choice(ODD_NUMBERS)
    ),
    EntryKind.UNKNOWN_NUMBER: lambda rng, addresses: _with_field(
        addresses, "note", rng.choice(ODD_NUMBERS)
    ),
    EntryKind.NO_PORT: _no_port,
    EntryKind.NO_HOST: _no_host,
    EntryKind.UNUSABLE_HOST: _unusable_host,
    EntryKind.REFUSING_PORT: _refusing_port,
    EntryKind.SILENT_LISTENER: lambda _, addresses: _at(addresses.silent, addresses),
    EntryKind.RESETTING_LISTENER: lambda _, addresses: _at(addresses.resetting, addresses),
    EntryKind.INVALID_UTF8: _invalid_utf8,
    EntryKind.LONE_SURROGATE: lambda rng, addresses: _with_field(
        addresses, rng.choice((*TEXT_FIELDS, "note")), rng.choice(LONE_SURROGATES)
    ),
    EntryKind.LONG_TEXT: _long_text,
    EntryKind.NO_JSON: lambda rng, _: rng.choice(NO_JSON),
    EntryKind.ODD_KEY: lambda _, addresses: _encode(_fields(addresses)),
}

_CONFIGURATION_PLACES: dict[ConfigurationKind, tuple[tuple[str | int, ...], ...]] = {
    ConfigurationKind.NESTED_UNKNOWN_FIELD: (("note",), ("limits", "note")),
    ConfigurationKind.NESTED_IN_ROUTE: (("routes", 0, "note"), ("routes", 0, "backends")),
    ConfigurationKind.NESTED_IN_SERVICE: (("services", 0, "note"), ("services", 0, "engine")),
    ConfigurationKind.NESTED_HEALTH_PATH: (("services", 0, "healthPath"),),
    ConfigurationKind.NESTED_VALUE: ((),),
    ConfigurationKind.ODD_NUMBER: (
        ("version",),
        ("routes", 0, "timeoutMs"),
        ("routes", 0, "maxAttempts"),
        ("services", 0, "maxConnections"),
        ("limits", "maxBodyBytes"),
    ),
    ConfigurationKind.UNKNOWN_NUMBER: (("note",), ("routes", 0, "note")),
    ConfigurationKind.INVALID_UTF8: (("note",), ("services", 0, "name")),
    ConfigurationKind.LONE_SURROGATE: (("note",), ("routes", 0, "name")),
    ConfigurationKind.NO_JSON: ((),),
    ConfigurationKind.EMPTY: ((),),
}

_CONFIGURATION_TEXTS: dict[ConfigurationKind, Callable[[random.Random], bytes]] = {
    ConfigurationKind.NESTED_UNKNOWN_FIELD: lambda rng: nested(rng).encode(),
    ConfigurationKind.NESTED_IN_ROUTE: lambda rng: nested(rng).encode(),
    ConfigurationKind.NESTED_IN_SERVICE: lambda rng: nested(rng).encode(),
    ConfigurationKind.NESTED_HEALTH_PATH: lambda rng: nested(rng).encode(),
    ConfigurationKind.NESTED_VALUE: lambda rng: nested(rng).encode(),
    ConfigurationKind.ODD_NUMBER: lambda rng: rng.choice(REFUSED_NUMBERS).encode(),
    ConfigurationKind.UNKNOWN_NUMBER: lambda rng: rng.choice(ODD_NUMBERS).encode(),
    ConfigurationKind.INVALID_UTF8: lambda rng: b'"' + rng.choice(INVALID_UTF8) + b'"',
    ConfigurationKind.LONE_SURROGATE: lambda rng: rng.choice(LONE_SURROGATES).encode(),
    ConfigurationKind.NO_JSON: lambda rng: rng.choice(NO_JSON),
    ConfigurationKind.EMPTY: lambda _: b"",
}


def draw_configuration(rng: random.Random, kind: ConfigurationKind) -> OddConfiguration:
    """Draws an odd configuration of a kind."""
    place = rng.choice(_CONFIGURATION_PLACES[kind])
    return OddConfiguration(kind, place, _CONFIGURATION_TEXTS[kind](rng))
