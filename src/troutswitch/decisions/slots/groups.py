"""Decides which engines form a group, whose slots one coordinator counts.

Inputs: the engines of this daemon's list that are not leaving, with service and zone.

Rule: the engines of a service form one group if there are at most `MAX_SINGLE_GROUP_ENGINES`.
Otherwise the engines of each zone form one group, or several groups of about equal size, assigned
by a hash of the engine's id. The number of groups is the lowest that gives an average of at most
`TARGET_GROUP_ENGINES` engines; a single group may exceed it.

Why: a group is as large as one daemon can count. The larger the groups, the less often a slot is
free in one group while requests wait in another. The groups depend on the list alone, so daemons
with the same list agree without a message. Daemons with different lists disagree on a few engines,
whose counts are too low until the next report.

docs/SLOTS.md states the cost of a group for its coordinator.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from troutswitch.common import stable_hash
from troutswitch.decisions.forwarding.types import EngineRecord

MAX_SINGLE_GROUP_ENGINES = 16
"""Maximum number of a service's engines that form one group regardless of their zones."""
TARGET_GROUP_ENGINES = 32
"""Maximum number of a service's engines in a zone that form one group, and the maximum average size
of several groups."""


@dataclass(frozen=True, slots=True, order=True)
class Group:
    """A group of engines of one service. `zone` is empty if the group spans zones."""

    service: str
    zone: str
    number: int

    @property
    def name(self) -> str:
        """The name that identifies the group in messages and in the store."""
        return f"{self.service}|{self.zone}|{self.number}"


def assign_groups(records: Iterable[EngineRecord]) -> dict[str, Group]:
    """Returns the group of each engine, by engine id."""
    by_service: dict[str, list[EngineRecord]] = {}
    for record in records:
        by_service.setdefault(record.service, []).append(record)
    groups: dict[str, Group] = {}
    for service, service_records in by_service.items():
        groups |= _assign_service(service, service_records)
    return groups


def _assign_service(service: str, records: list[EngineRecord]) -> dict[str, Group]:
    if len(records) <= MAX_SINGLE_GROUP_ENGINES:
        return {record.engine_id: Group(service, "", 0) for record in records}
    by_zone: dict[str, list[EngineRecord]] = {}
    for record in records:
        by_zone.setdefault(record.zone, []).append(record)
    groups: dict[str, Group] = {}
    for zone, zone_records in by_zone.items():
        group_count = -(-len(zone_records) // TARGET_GROUP_ENGINES)
        for record in zone_records:
            number = stable_hash("group", record.engine_id) % group_count
            groups[record.engine_id] = Group(service, zone, number)
    return groups


class EngineGroups:
    """The groups of all engines in this daemon's list that are not leaving."""

    def __init__(self) -> None:
        self.changes = 0
        """Number of updates; values derived from the groups are computed again when it changes."""
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
        """Returns the group of an engine, or None if it is in no group."""
        return self._groups.get(engine_id)

    def named(self, name: str) -> Group | None:
        """Returns the group with the given name, or None if there is none."""
        return self._by_name.get(name)

    def members(self, name: str) -> list[str]:
        """Returns the ids of the engines in the group with the given name."""
        return self._members.get(name, [])

    def all(self) -> list[Group]:
        """Returns all groups."""
        return list(self._by_name.values())

    def of_service(self, service: str) -> list[Group]:
        """Returns the groups of a service."""
        return [group for group in self._by_name.values() if group.service == service]
