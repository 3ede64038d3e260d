"""Decides which engines form a group, whose slots one coordinator counts.

Inputs: the engines of this daemon's list that have not begun to leave, with service and zone.

Rule: the engines of a service form one group if there are at most `MAX_SINGLE_GROUP_ENGINES`.
Otherwise the engines of each zone form one group, or several groups of about equal size, assigned
by a hash of the engine's id. The number of groups is the lowest that gives an average of at most
`TARGET_GROUP_ENGINES` engines; a single group may exceed it.

Why: a group is as large as one daemon can count. The larger it is, the more seldom a slot is free
in one group while requests wait in another. The groups follow from the list alone, so daemons with
the same list agree without a message. With different lists they disagree on a few engines, whose
counts are too low until the next report.

docs/SLOTS.md has what a group costs its coordinator.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from troutswitch.common import stable_hash
from troutswitch.decisions.forwarding.types import EngineRecord

MAX_SINGLE_GROUP_ENGINES = 16
"""Engines of a service up to which they form one group, in whatever zones they are."""
TARGET_GROUP_ENGINES = 32
"""Engines of a service and zone up to which they form one group."""


@dataclass(frozen=True, slots=True, order=True)
class Group:
    """A group of engines of one service. `zone` is empty if it spans zones."""

    service: str
    zone: str
    number: int

    @property
    def name(self) -> str:
        """The name by which daemons and the store know the group."""
        return f"{self.service}|{self.zone}|{self.number}"


def assign_groups(records: Iterable[EngineRecord]) -> dict[str, Group]:
    """Returns the group of each engine, by the engine's id."""
    by_service: dict[str, list[EngineRecord]] = {}
    for record in records:
        by_service.setdefault(record.service, []).append(record)
    groups: dict[str, Group] = {}
    for service, of_service in by_service.items():
        groups |= _assign_service(service, of_service)
    return groups


def _assign_service(service: str, records: list[EngineRecord]) -> dict[str, Group]:
    if len(records) <= MAX_SINGLE_GROUP_ENGINES:
        return {record.engine_id: Group(service, "", 0) for record in records}
    by_zone: dict[str, list[EngineRecord]] = {}
    for record in records:
        by_zone.setdefault(record.zone, []).append(record)
    groups: dict[str, Group] = {}
    for zone, of_zone in by_zone.items():
        group_count = -(-len(of_zone) // TARGET_GROUP_ENGINES)
        for record in of_zone:
            number = stable_hash("group", record.engine_id) % group_count
            groups[record.engine_id] = Group(service, zone, number)
    return groups


class EngineGroups:
    """The groups of all engines that have not begun to leave, by this daemon's list."""

    def __init__(self) -> None:
        self.changes = 0
        """Number of updates, so that what follows from the groups is worked out again."""
        self._groups: dict[str, Group] = {}
        self._members: dict[str, list[str]] = {}
        self._by_name: dict[str, Group] = {}

    def update(self, records: Iterable[EngineRecord]) -> None:
        """Groups the engines of a new list."""
        self.changes += 1
        self._groups = assign_groups(records)
        self._members = {}
        self._by_name = {}
        for engine_id, group in self._groups.items():
            self._members.setdefault(group.name, []).append(engine_id)
            self._by_name[group.name] = group

    def of_engine(self, engine_id: str) -> Group | None:
        """Returns the group of an engine, or None if it is in none."""
        return self._groups.get(engine_id)

    def named(self, name: str) -> Group | None:
        """Returns a group by its name, or None if there is none of that name."""
        return self._by_name.get(name)

    def members(self, name: str) -> list[str]:
        """Returns the ids of the engines in the group of a name."""
        return self._members.get(name, [])

    def all(self) -> list[Group]:
        """Returns all groups."""
        return list(self._by_name.values())

    def of_service(self, service: str) -> list[Group]:
        """Returns the groups of a service."""
        return [group for group in self._by_name.values() if group.service == service]
