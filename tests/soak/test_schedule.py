"""The schedule of a soak."""

import itertools

import pytest

from troutswitch.soak import schedule
from troutswitch.soak.schedule import (
    CONTACT_SECONDS,
    DRAWN_APART,
    PLANNED_ACTIONS,
    Action,
    draw_schedule,
)

SECONDS = 600.0


def test_a_seed_determines_the_schedule() -> None:
    assert draw_schedule(7, SECONDS) == draw_schedule(7, SECONDS)
    assert draw_schedule(7, SECONDS) != draw_schedule(8, SECONDS)


def test_strikes_come_in_order_and_within_the_time() -> None:
    strikes = draw_schedule(7, SECONDS).strikes
    assert [s.at for s in strikes] == sorted(s.at for s in strikes)
    assert all(0 < strike.at <= SECONDS for strike in strikes)


def test_all_actions_come_up_and_overlap() -> None:
    strikes = draw_schedule(7, SECONDS).strikes
    assert {strike.action for strike in strikes} == set(Action)
    overlaps = [b.at < a.at + a.seconds for a, b in itertools.pairwise(strikes)]
    assert sum(overlaps) > len(overlaps) / 2


def test_planned_episodes_hold_planned_work_alone_and_lie_apart() -> None:
    strikes = draw_schedule(7, SECONDS).strikes
    for before, after in itertools.pairwise(strikes):
        if before.is_planned != after.is_planned:
            assert after.at - before.at >= CONTACT_SECONDS
    assert all(s.action in PLANNED_ACTIONS for s in strikes if s.is_planned)


def test_what_is_drawn_apart_leaves_the_rest_of_a_seed_as_it_was(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    whole = draw_schedule(7, SECONDS).strikes
    monkeypatch.setattr(schedule, "APART_SHARE", 0.0)
    rest = draw_schedule(7, SECONDS).strikes
    assert rest == tuple(s for s in whole if s.action not in DRAWN_APART)
