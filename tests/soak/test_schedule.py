"""The fault schedule of a soak."""

import itertools

import pytest

from troutswitch.soak import schedule
from troutswitch.soak.schedule import (
    FAULT_FREE_SECONDS,
    PLANNED_ACTIONS,
    SEPARATELY_DRAWN_ACTIONS,
    ActionKind,
    draw_schedule,
)

SECONDS = 600.0


def test_a_seed_determines_the_schedule() -> None:
    assert draw_schedule(7, SECONDS) == draw_schedule(7, SECONDS)
    assert draw_schedule(7, SECONDS) != draw_schedule(8, SECONDS)


def test_actions_are_ordered_and_start_within_the_schedule() -> None:
    actions = draw_schedule(7, SECONDS).actions
    assert [s.offset_seconds for s in actions] == sorted(s.offset_seconds for s in actions)
    assert all(0 < scheduled.offset_seconds <= SECONDS for scheduled in actions)


def test_every_kind_of_action_occurs_and_most_overlap_the_next() -> None:
    actions = draw_schedule(7, SECONDS).actions
    assert {scheduled.kind for scheduled in actions} == set(ActionKind)
    overlaps = [
        b.offset_seconds < a.offset_seconds + a.seconds for a, b in itertools.pairwise(actions)
    ]
    assert sum(overlaps) > len(overlaps) / 2


def test_planned_episodes_have_planned_actions_only_and_a_pause_around_them() -> None:
    actions = draw_schedule(7, SECONDS).actions
    for before, after in itertools.pairwise(actions):
        if before.is_planned != after.is_planned:
            assert after.offset_seconds - before.offset_seconds >= FAULT_FREE_SECONDS
    assert all(s.kind in PLANNED_ACTIONS for s in actions if s.is_planned)


def test_separately_drawn_actions_do_not_change_the_others_of_a_seed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    all_actions = draw_schedule(7, SECONDS).actions
    monkeypatch.setattr(schedule, "SEPARATE_ACTION_SHARE", 0.0)
    others = draw_schedule(7, SECONDS).actions
    assert others == tuple(s for s in all_actions if s.kind not in SEPARATELY_DRAWN_ACTIONS)
