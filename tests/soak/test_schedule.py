"""The schedule of a soak."""

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


def test_strikes_come_in_order_and_within_the_time() -> None:
    actions = draw_schedule(7, SECONDS).actions
    assert [s.offset_seconds for s in actions] == sorted(s.offset_seconds for s in actions)
    assert all(0 < scheduled.offset_seconds <= SECONDS for scheduled in actions)


def test_all_actions_come_up_and_overlap() -> None:
    actions = draw_schedule(7, SECONDS).actions
    assert {scheduled.kind for scheduled in actions} == set(ActionKind)
    overlaps = [
        b.offset_seconds < a.offset_seconds + a.seconds for a, b in itertools.pairwise(actions)
    ]
    assert sum(overlaps) > len(overlaps) / 2


def test_planned_episodes_hold_planned_work_alone_and_lie_apart() -> None:
    actions = draw_schedule(7, SECONDS).actions
    for before, after in itertools.pairwise(actions):
        if before.is_planned != after.is_planned:
            assert after.offset_seconds - before.offset_seconds >= FAULT_FREE_SECONDS
    assert all(s.kind in PLANNED_ACTIONS for s in actions if s.is_planned)


def test_what_is_drawn_apart_leaves_the_rest_of_a_seed_as_it_was(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    whole = draw_schedule(7, SECONDS).actions
    monkeypatch.setattr(schedule, "SEPARATE_ACTION_SHARE", 0.0)
    rest = draw_schedule(7, SECONDS).actions
    assert rest == tuple(s for s in whole if s.kind not in SEPARATELY_DRAWN_ACTIONS)
