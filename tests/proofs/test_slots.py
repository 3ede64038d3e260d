"""An online request never waits behind batch items: its slot is asked back at once."""

from dataclasses import replace

import pytest

from troutswitch.decisions.forwarding.messages import RequestArrived, SendRequest
from troutswitch.decisions.forwarding.types import PromptShape, RouteKind
from troutswitch.decisions.gateway import GatewayCore
from troutswitch.simulation.gatewayworld import Daemon, GatewayWorld
from troutswitch.simulation.plainformats import HOST

BURST = 24
YIELD_SECONDS = 0.03
"""Time after a burst by which its slots must have been given back: a message between
daemons and one step, not a round of reports and looks."""


def add_online_route(world: GatewayWorld) -> None:
    """Lets all daemons know a route of online requests beside that of jobs."""
    for daemon in world.daemons.values():
        held = daemon.core.routes.configuration
        assert held is not None
        jobs = held.routes[0]
        online = replace(jobs, name="online", kind=RouteKind.STREAM, path_prefix="/online/")
        daemon.core.routes.replace(world.now, replace(held, version=99, routes=(jobs, online)))


def full_world() -> GatewayWorld:
    """Returns a world whose servers run batch items in all slots, of several daemons."""
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


def send_burst(world: GatewayWorld, daemon: Daemon) -> int:
    """Has many requests arrive at one daemon; returns how many were sent to servers."""
    sent = 0
    for token in range(1, BURST + 1):
        event = RequestArrived(token, f"r{token}", HOST, "/online/x", 5.0, PromptShape())
        for instruction in daemon.core.step(world.now, event):
            sent += isinstance(instruction, SendRequest)
            world._carry_out(daemon, instruction)
    return sent


def slots_missing_after_a_burst() -> int:
    """Returns by how much requests and items exceed the slots some milliseconds later."""
    world = full_world()
    slots = sum(server.slots for server in world.daemons["daemon-0"].core.servers.servers.values())
    daemon = min(world.daemons.values(), key=lambda d: len(d.core.jobs.owner.runs))
    sent = send_burst(world, daemon)
    world.run(YIELD_SECONDS)
    return sent + batch_running(world) - slots


def test_items_give_their_slots_back_at_once() -> None:
    assert slots_missing_after_a_burst() <= 0


def test_without_the_asks_the_burst_waits_for_the_next_looks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(GatewayCore, "_resolve", lambda self, now, made: [made])
    assert slots_missing_after_a_burst() > 0
