"""No batch item waits for ever, however many others could be in time."""

import pytest

from tests.worlds.gateway_world import GatewayWorld
from troutswitch.decisions.jobs import starvation_guard
from troutswitch.decisions.slots import batch_slots

OBJECTIVE_SECONDS = 20.0


def overload(world: GatewayWorld, seconds: float) -> None:
    """Hands in more items, all the time, than the engines can finish in time."""
    until = world.now + seconds
    number = 0
    while world.now < until:
        number += 1
        world.hand_in(f"later-{number}", 12)
        world.run(1.0)


def late_items_done() -> tuple[int, int]:
    """Returns how many of the first items are done after an overload, and how many there are."""
    world = GatewayWorld(5, daemons=3, engines=2)
    world.run(3.0)
    first = [world.hand_in(f"early-{number}", 12) for number in range(6)]
    overload(world, 4 * OBJECTIVE_SECONDS)
    assert not world.violations
    return sum(len(truth.results) for truth in first), sum(len(truth.items) for truth in first)


def test_items_that_are_late_finish_while_others_could_be_in_time() -> None:
    done, items = late_items_done()
    assert done == items


def test_without_their_turn_some_wait_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(starvation_guard, "LATE_TURN", 1 << 30)
    monkeypatch.setattr(starvation_guard, "LATE_WAIT_SECONDS", 1e9)
    monkeypatch.setattr(batch_slots, "LATE_SLOT_INTERVAL", 1 << 30)
    done, items = late_items_done()
    assert done < items
