"""Schedule of another program that writes to the store: which odd records, and when.

The seed and the addresses determine the schedule. It has a generator of its own beside that of the
faults, so that a seed has the same faults with and without another writer.
"""

import random
from dataclasses import dataclass

from troutswitch.soak.odd_records import (
    ACCEPTING_KINDS,
    SMALL_KINDS,
    ConfigurationKind,
    EntryAddresses,
    EntryKind,
    OddConfiguration,
    OddEntry,
    draw_configuration,
    draw_entry,
)

FEW_ENTRIES = (1, 8)
MANY_ENTRIES = (150, 600)
"""Entries of a large series: several pages of the engine list, which has 500 entries a page."""
MANY_SHARE = 0.2
SERIES_SECONDS = (1.0, 6.0)
"""Time until the entries of a series are deleted; up to twice the start of a daemon."""
PAUSE_SECONDS = (0.3, 2.0)
"""Time from the begin of a series to that of the next: shorter than most, so that they overlap."""
CHANGE_SHARE = 0.5
"""Probability that the entries of a series are written again, of other kinds."""
REWRITE_SHARE = 0.3
"""Probability that the entries of a series are written again after they were deleted."""
STAY_SHARE = 0.2
"""Probability that a series stays until the soak ends."""
CONFIGURATION_SHARE = 0.5
CONFIGURATION_SECONDS = (0.3, 2.5)
"""Time until an operator writes the next good configuration."""


@dataclass(frozen=True, slots=True)
class WriteEntries:
    """Entries are written to the engine list."""

    offset_seconds: float
    entries: tuple[OddEntry, ...]


@dataclass(frozen=True, slots=True)
class DeleteEntries:
    """Entries are deleted from the engine list."""

    offset_seconds: float
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SpoilConfiguration:
    """A newer configuration is written that is odd."""

    offset_seconds: float
    change: OddConfiguration


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """An operator writes the next good configuration."""

    offset_seconds: float


WriterAction = WriteEntries | DeleteEntries | SpoilConfiguration | ReplaceConfiguration


@dataclass(frozen=True, slots=True)
class WriterSchedule:
    """What another writer does.

    Attributes:
        initial: entries that are listed before the daemons start, one of each kind whose address
            accepts no connections.
        actions: the actions by time, in seconds since the start of the schedule.
        staying: keys of entries that are not deleted at the end of the schedule.
    """

    initial: tuple[OddEntry, ...]
    actions: tuple[WriterAction, ...]
    staying: frozenset[str]


def draw_writer_schedule(seed: int, seconds: float, addresses: EntryAddresses) -> WriterSchedule:
    """Draws what another writer does within a time, in seconds."""
    return _ScheduleDraw(random.Random(f"{seed}-another-writer"), addresses).draw(seconds)


class _ScheduleDraw:
    """Draws one schedule; counts its entries, so that their keys differ."""

    def __init__(self, rng: random.Random, addresses: EntryAddresses) -> None:
        self._rng = rng
        self._addresses = addresses
        self._count = 0
        self._kinds: list[EntryKind] = []
        self._configuration_kinds: list[ConfigurationKind] = []

    def draw(self, seconds: float) -> WriterSchedule:
        initial = tuple(self._entry(kind) for kind in EntryKind if kind not in ACCEPTING_KINDS)
        actions: list[WriterAction] = []
        staying = {entry.key for entry in initial}
        at = self._rng.uniform(*PAUSE_SECONDS)
        while at < seconds:
            series, stays = self._series(at)
            actions += series
            if stays:
                staying.update(_written_keys(series))
            if self._rng.random() < CONFIGURATION_SHARE:
                actions += self._configurations(at)
            at += self._rng.uniform(*PAUSE_SECONDS)
        actions.sort(key=lambda action: action.offset_seconds)
        return WriterSchedule(initial, tuple(actions), frozenset(staying))

    def _series(self, at: float) -> tuple[list[WriterAction], bool]:
        """Draws entries that are written together, changed and deleted; returns if they stay."""
        rng = self._rng
        is_large = rng.random() < MANY_SHARE
        count = rng.randint(*(MANY_ENTRIES if is_large else FEW_ENTRIES))
        kinds = [rng.choice(SMALL_KINDS) if is_large else self._next_kind() for _ in range(count)]
        entries = tuple(self._entry(kind) for kind in kinds)
        keys = tuple(entry.key for entry in entries)
        ends_at = at + rng.uniform(*SERIES_SECONDS)
        actions: list[WriterAction] = [WriteEntries(at, entries)]
        if rng.random() < CHANGE_SHARE:
            changed = tuple(self._changed(entry) for entry in entries)
            actions.append(WriteEntries(rng.uniform(at, ends_at), changed))
        if rng.random() < STAY_SHARE and not is_large and ACCEPTING_KINDS.isdisjoint(kinds):
            return actions, True
        actions.append(DeleteEntries(ends_at, keys))
        if rng.random() < REWRITE_SHARE:
            again_at = ends_at + rng.uniform(*PAUSE_SECONDS)
            actions.append(WriteEntries(again_at, entries))
            actions.append(DeleteEntries(again_at + rng.uniform(*SERIES_SECONDS), keys))
        return actions, False

    def _configurations(self, at: float) -> list[WriterAction]:
        """Draws an odd configuration, and the good one that follows."""
        if not self._configuration_kinds:
            self._configuration_kinds = self._rng.sample(
                list(ConfigurationKind), len(ConfigurationKind)
            )
        change = draw_configuration(self._rng, self._configuration_kinds.pop())
        good_at = at + self._rng.uniform(*CONFIGURATION_SECONDS)
        return [SpoilConfiguration(at, change), ReplaceConfiguration(good_at)]

    def _next_kind(self) -> EntryKind:
        """Draws a kind; all are drawn before one is drawn again."""
        if not self._kinds:
            self._kinds = self._rng.sample(list(EntryKind), len(EntryKind))
        return self._kinds.pop()

    def _entry(self, kind: EntryKind) -> OddEntry:
        self._count += 1
        return draw_entry(self._rng, kind, self._count, self._addresses)

    def _changed(self, entry: OddEntry) -> OddEntry:
        """Draws another value of the same key."""
        other = self._entry(self._rng.choice(SMALL_KINDS))
        return OddEntry(other.kind, entry.key, other.value)


def _written_keys(actions: list[WriterAction]) -> set[str]:
    return {
        entry.key
        for action in actions
        if isinstance(action, WriteEntries)
        for entry in action.entries
    }
