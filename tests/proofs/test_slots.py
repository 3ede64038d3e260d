"""An online request never waits behind batch items: its slot is asked back at once."""

from dataclasses import replace

import pytest

from tests.worlds.gateway_world import Daemon, GatewayWorld
from tests.worlds.plain_formats import HOST
from troutswitch.decisions.forwarding.messages import RequestArrived
from troutswitch.decisions.forwarding.types import PromptShape, RouteKind
from troutswitch.decisions.slots.preemption import ItemPreemption
from troutswitch.decisions.slots.slot_requests import REPLY_TIMEOUT_SECONDS

BURST = 24
YIELD_SECONDS = 0.03
"""Time after a burst by which its slots must have been given back: a message between
daemons and one step, not a round of reports and looks."""
TAKEN_OVER_SECONDS = 0.5
"""Time after which a group without a coordinator has another one: two asks that were not
answered, the spread of claims, and two calls to the store."""


def add_online_route(world: GatewayWorld) -> None:
    """Lets all daemons know a route of online requests beside that of jobs."""
    for daemon in world.daemons.values():
        held = daemon.core.routes.configuration
        assert held is not None
        jobs = held.routes[0]
        online = replace(jobs, name="online", kind=RouteKind.STREAM, path_prefix="/online/")
        daemon.core.routes.replace(replace(held, version=99, routes=(jobs, online)))


def full_world() -> GatewayWorld:
    """Returns a world whose engines run batch items in all slots, of several daemons."""
    world = GatewayWorld(2)
    world.run(3.0)
    for number in range(12):
        world.hand_in(f"job-{number}", 12)
    world.run(2.0)
    add_online_route(world)
    return world


def batch_running(world: GatewayWorld) -> int:
    return sum(
        not run.is_stopped
        for daemon in world.daemons.values()
        for run in daemon.core.jobs.owner.runs.values()
    )


def send_burst(world: GatewayWorld, daemon: Daemon) -> None:
    """Has many requests arrive at one daemon."""
    for token in range(1, BURST + 1):
        event = RequestArrived(token, f"r{token}", HOST, "/online/x", 5.0, PromptShape())
        world.step(daemon, event)


def sent(daemon: Daemon) -> int:
    """Returns how many of a daemon's requests are at engines."""
    return sum(request.is_running for request in daemon.core.requests.requests.values())


def slots_missing_after_a_burst() -> int:
    """Returns by how much requests and items exceed the slots some milliseconds later."""
    world = full_world()
    slots = sum(engine.slots for engine in world.daemons["daemon-0"].core.engines.engines.values())
    daemon = min(world.daemons.values(), key=lambda d: len(d.core.jobs.owner.runs))
    send_burst(world, daemon)
    world.run(YIELD_SECONDS)
    assert sent(daemon) == BURST
    return sent(daemon) + batch_running(world) - slots


def test_items_give_their_slots_back_at_once() -> None:
    assert slots_missing_after_a_burst() <= 0


def test_without_room_being_made_the_burst_waits_behind_items(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ItemPreemption, "preempt", lambda self, *given, **more: [])
    assert slots_missing_after_a_burst() > 0


def test_while_the_coordinator_is_silent_requests_are_sent_all_the_same() -> None:
    world = full_world()
    for daemon in world.daemons.values():
        if daemon.core.slots.coordinator.coordinated:
            world.pause(daemon.name, 5.0)
    daemon = next(d for d in world.daemons.values() if world.now >= d.paused_until)
    send_burst(world, daemon)
    world.run(REPLY_TIMEOUT_SECONDS + 0.01)
    assert sent(daemon) == BURST


def test_a_group_whose_coordinator_died_has_another_one_soon() -> None:
    world = full_world()
    first = next(d for d in world.daemons.values() if d.core.slots.coordinator.coordinated)
    world.kill(first.name, down=30.0)
    daemon = next(d for d in world.daemons.values() if d.is_alive)
    for _ in range(3):
        send_burst(world, daemon)
        world.run(2 * REPLY_TIMEOUT_SECONDS)
        daemon.core.requests.requests.clear()
    world.run(TAKEN_OVER_SECONDS)
    now = [d for d in world.daemons.values() if d.is_alive and d.core.slots.coordinator.coordinated]
    assert len(now) == 1
    assert now[0].name != first.name


def test_two_that_both_believe_are_one_again_as_soon_as_claims_are_read() -> None:
    world = full_world()
    first = next(d for d in world.daemons.values() if d.core.slots.coordinator.coordinated)
    world.pause(first.name, 2.0)
    daemon = next(d for d in world.daemons.values() if d is not first)
    for _ in range(3):
        send_burst(world, daemon)
        world.run(2 * REPLY_TIMEOUT_SECONDS)
        daemon.core.requests.requests.clear()
    world.run(4.0)
    now = [d for d in world.daemons.values() if d.core.slots.coordinator.coordinated]
    assert len(now) == 1
    assert now[0] is not first
