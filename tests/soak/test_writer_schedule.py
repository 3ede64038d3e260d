"""The schedule of another writer: by seed, with all kinds, overlapping, and gone at its end."""

import itertools

import pytest

from tests.soak.test_odd_records import ADDRESSES
from troutswitch.soak.odd_records import ACCEPTING_KINDS, ConfigurationKind, EntryKind
from troutswitch.soak.writer_schedule import (
    MANY_ENTRIES,
    DeleteEntries,
    ReplaceConfiguration,
    SpoilConfiguration,
    WriteEntries,
    draw_writer_schedule,
)

SECONDS = 60.0


def test_a_seed_determines_the_schedule() -> None:
    schedule = draw_writer_schedule(7, SECONDS, ADDRESSES)
    assert schedule == draw_writer_schedule(7, SECONDS, ADDRESSES)
    assert schedule != draw_writer_schedule(8, SECONDS, ADDRESSES)


@pytest.mark.parametrize("seed", range(10))
def test_a_schedule_has_all_kinds_and_an_operator_follows_each_odd_configuration(
    seed: int,
) -> None:
    schedule = draw_writer_schedule(seed, SECONDS, ADDRESSES)
    writes = [action for action in schedule.actions if isinstance(action, WriteEntries)]
    assert {entry.kind for write in writes for entry in write.entries} == set(EntryKind)
    spoils = [action for action in schedule.actions if isinstance(action, SpoilConfiguration)]
    assert {action.change.kind for action in spoils} == set(ConfigurationKind)
    replacing = [a for a in schedule.actions if isinstance(a, ReplaceConfiguration)]
    assert len(replacing) == len(spoils)
    offsets = [action.offset_seconds for action in schedule.actions]
    assert offsets == sorted(offsets)


@pytest.mark.parametrize("seed", range(10))
def test_series_are_large_and_overlap(seed: int) -> None:
    schedule = draw_writer_schedule(seed, SECONDS, ADDRESSES)
    writes = [action for action in schedule.actions if isinstance(action, WriteEntries)]
    assert max(len(write.entries) for write in writes) >= MANY_ENTRIES[0]
    deletions = [action for action in schedule.actions if isinstance(action, DeleteEntries)]
    assert deletions
    assert any(
        isinstance(first, WriteEntries) and isinstance(second, WriteEntries)
        for first, second in itertools.pairwise(schedule.actions)
    )


@pytest.mark.parametrize("seed", range(10))
def test_entries_that_accept_connections_are_never_listed_at_the_start_or_the_end(
    seed: int,
) -> None:
    """Guards against entries that rightly cost requests while the recovery is checked."""
    schedule = draw_writer_schedule(seed, SECONDS, ADDRESSES)
    kinds = {entry.kind for entry in schedule.initial}
    assert kinds == set(EntryKind) - ACCEPTING_KINDS
    accepting = {
        entry.key
        for action in schedule.actions
        if isinstance(action, WriteEntries)
        for entry in action.entries
        if entry.kind in ACCEPTING_KINDS
    }
    assert accepting
    assert not accepting & schedule.staying
    assert len(schedule.staying) > len(schedule.initial)
