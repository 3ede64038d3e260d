"""Freshness and leaving marks of engines."""

import random

import pytest

from troutswitch.common import Address
from troutswitch.standalone.decisions.engines import Engine, EngineRegistry
from troutswitch.standalone.decisions.events import EngineLoad, EngineLoadRead, Machine
from troutswitch.standalone.decisions.members import INCARNATION_STEP
from troutswitch.standalone.decisions.membership import Membership


def registry_with_one_engine() -> tuple[EngineRegistry, Engine]:
    membership = Membership("me", INCARNATION_STEP, Address("10.0.0.1", 1), "z", random.Random(1))
    engines = EngineRegistry(membership)
    machine = Machine("e", "engine", Address("10.0.0.2", 1), "z", "m", "e-1")
    engines.on_machine_list(100.0, [machine])
    return engines, engines.engines["e"]


def is_delayed_answer_fresh() -> bool:
    """Returns whether an answer that waited 10 s on a paused machine counts as fresh.

    This failure was found by simulation (quetzal, seeds 12 and 26).
    """
    engines, engine = registry_with_one_engine()
    engines.poll(100.0, engine)
    engines.on_load(110.0, EngineLoadRead("e", EngineLoad("e-1", 8, 0, 0, 0, 0)))
    return engines.is_fresh(110.0, engine)


def test_freshness_counts_from_the_time_of_the_poll() -> None:
    assert not is_delayed_answer_fresh()
    engines, engine = registry_with_one_engine()
    engines.poll(100.0, engine)
    engines.on_load(100.1, EngineLoadRead("e", EngineLoad("e-1", 8, 0, 0, 0, 0)))
    assert engines.is_fresh(101.0, engine)
    assert not engines.is_fresh(102.0, engine)


def test_late_answer_would_count_as_fresh_from_the_time_of_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = EngineRegistry._apply_load

    def apply_load(self: EngineRegistry, now: float, engine: Engine, load: EngineLoad) -> object:
        effects = original(self, now, engine, load)
        engine.confirmed_at = now
        return effects

    monkeypatch.setattr(EngineRegistry, "_apply_load", apply_load)
    assert is_delayed_answer_fresh()


def test_leaving_mark_does_not_apply_to_a_new_incarnation() -> None:
    engines, engine = registry_with_one_engine()
    engines.poll(100.0, engine)
    leaving = EngineLoad("e-1", 8, 0, 0, 0, 0, leaving=True)
    engines.on_load(100.1, EngineLoadRead("e", leaving))
    assert list(engines.usable(100.2, "m")) == []
    engines.poll(101.0, engine)
    engines.on_load(101.1, EngineLoadRead("e", EngineLoad("e-2", 8, 0, 0, 0, 0)))
    assert list(engines.usable(101.2, "m")) == [engine]
