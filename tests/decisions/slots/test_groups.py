"""Engines are grouped in the same way on all daemons with the same list."""

import random

from tests.decisions.slots.harness import record
from troutswitch.decisions.slots.groups import (
    MAX_SINGLE_GROUP_ENGINES,
    TARGET_GROUP_ENGINES,
    EngineGroups,
    assign_groups,
)


def test_few_engines_form_one_group_regardless_of_zone() -> None:
    records = [record(f"s{n}", zone=f"z{n % 3}") for n in range(MAX_SINGLE_GROUP_ENGINES)]
    groups = set(assign_groups(records).values())
    assert [group.name for group in groups] == ["service||0"]


def test_more_engines_are_grouped_by_zone() -> None:
    records = [record(f"s{n}", zone=f"z{n % 3}") for n in range(MAX_SINGLE_GROUP_ENGINES + 1)]
    groups = assign_groups(records)
    assert {groups[r.engine_id].zone == r.zone for r in records} == {True}
    assert len(set(groups.values())) == 3


def test_many_engines_of_a_zone_form_several_groups_of_limited_size() -> None:
    records = [record(f"s{n}") for n in range(10 * TARGET_GROUP_ENGINES)]
    groups = EngineGroups()
    groups.update(records)
    sizes = [len(groups.members(group.name)) for group in groups.all()]
    assert len(sizes) == 10
    assert max(sizes) < 2 * TARGET_GROUP_ENGINES


def test_groups_do_not_depend_on_the_order_of_the_list() -> None:
    records = [record(f"s{n}", zone=f"z{n % 2}") for n in range(90)]
    shuffled = records[:]
    random.Random(1).shuffle(shuffled)
    assert assign_groups(records) == assign_groups(shuffled)
