"""Odd records of another writer: all kinds, by seed, within the store's limits."""

import json
import random

import pytest

from troutswitch.common import Address
from troutswitch.platform.configuration import FormatError, decode_configuration
from troutswitch.platform.stand_in_forms import configuration_record
from troutswitch.soak.odd_records import (
    NESTING_DEPTHS,
    ConfigurationKind,
    EntryAddresses,
    EntryKind,
    draw_configuration,
    draw_entry,
    nested,
)
from troutswitch.soak.operator import LIMITS, ROUTES, SERVICE, SLOTS
from troutswitch.soak.tenants import tenant_forms
from troutswitch.standins.keyed_store import MAX_KEY_BYTES, RECORD_BYTES

ADDRESSES = EntryAddresses(
    SERVICE, SLOTS, Address("127.0.0.1", 1), Address("127.0.0.1", 2), Address("127.0.0.1", 3)
)
DRAWS = 60
"""Draws of each kind: several of each value that a kind may have."""
GOOD = configuration_record(7, "host", SERVICE, SLOTS, ROUTES, LIMITS, tenant_forms(), "/health")


@pytest.mark.parametrize("kind", EntryKind)
def test_an_entry_is_determined_by_its_seed_and_fits_into_the_store(kind: EntryKind) -> None:
    rng, same = random.Random(3), random.Random(3)
    for number in range(DRAWS):
        entry = draw_entry(rng, kind, number, ADDRESSES)
        assert entry == draw_entry(same, kind, number, ADDRESSES)
        assert entry.kind is kind
        assert len(entry.key.encode()) <= MAX_KEY_BYTES
        assert 1 + len(entry.key.encode()) + len(entry.value) <= RECORD_BYTES


def test_entries_have_all_depths_in_the_whole_value_and_in_known_and_unknown_fields() -> None:
    rng = random.Random(3)
    for kind in (
        EntryKind.NESTED_VALUE,
        EntryKind.NESTED_FIELD,
        EntryKind.NESTED_UNKNOWN_FIELD,
    ):
        entries = [draw_entry(rng, kind, number, ADDRESSES) for number in range(600)]
        depths = {entry.value.count(b"[") + entry.value.count(b'"a":') for entry in entries}
        assert depths >= set(NESTING_DEPTHS)


def test_entries_point_to_the_addresses_of_their_kind() -> None:
    rng = random.Random(3)
    for kind, port in (
        (EntryKind.UNKNOWN_NUMBER, 1),
        (EntryKind.SILENT_LISTENER, 2),
        (EntryKind.RESETTING_LISTENER, 3),
    ):
        entry = draw_entry(rng, kind, 1, ADDRESSES)
        assert f'"address":"127.0.0.1:{port}"'.encode() in entry.value


def test_entries_have_keys_before_and_after_those_of_the_engines() -> None:
    rng = random.Random(3)
    keys = {draw_entry(rng, EntryKind.NO_JSON, number, ADDRESSES).key for number in range(20)}
    assert min(keys) < "server-0-1" < max(keys)


@pytest.mark.parametrize("kind", ConfigurationKind)
def test_an_odd_configuration_is_malformed_or_as_good_as_the_one_it_was_made_of(
    kind: ConfigurationKind,
) -> None:
    """Guards against odd configurations that rightly change what daemons serve."""
    rng, same = random.Random(3), random.Random(3)
    good = decode_configuration(GOOD)
    for _ in range(DRAWS):
        change = draw_configuration(rng, kind)
        assert change == draw_configuration(same, kind)
        record = change.apply(GOOD)
        assert len(record) < RECORD_BYTES
        if _has_deep_nesting(record):
            continue
        try:
            odd = decode_configuration(record)
        except FormatError:
            continue
        assert (odd.version, len(odd.routes), odd.limits) == (7, len(good.routes), good.limits)


def _has_deep_nesting(record: bytes) -> bool:
    return max(record.count(b"["), record.count(b"{")) > 59


def test_a_nested_value_is_json_of_its_depth_or_never_closed() -> None:
    rng = random.Random(3)
    shallow = [text for _ in range(200) if len(text := nested(rng)) < 600]
    for text in shallow:
        if text.endswith("["):
            with pytest.raises(json.JSONDecodeError):
                json.loads(text)
        else:
            json.loads(text)
    assert shallow
