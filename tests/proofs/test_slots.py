"""An online request never waits behind batch items: the coordinator has an item yield its slot."""

from dataclasses import replace

import pytest

from tests.simulation.fleet import Daemon, SimulatedFleet
from tests.simulation.plain_formats import HOST
from troutswitch.decisions.forwarding.messages import RequestArrived
from troutswitch.decisions.forwarding.types import PromptShape, RouteKind
from troutswitch.decisions.slots.preemption import ItemPreemption
from troutswitch.decisions.slots.slot_requests import REPLY_TIMEOUT_SECONDS

BURST = 24
YIELD_SECONDS = 0.03
"""Time after a burst by which items must have yielded their slots.

It is enough for a message between daemons and one step, but not for a round of periodic reports.
"""
TAKEOVER_SECONDS = 0.5
"""Time after which a group without a coordinator has another one.

It is enough for two unanswered slot requests, the random spread of claims and two store calls.
"""


def add_online_route(fleet: SimulatedFleet) -> None:
    """Adds a route of online requests to the configuration of all daemons."""
    for daemon in fleet.daemons.values():
        configuration = daemon.core.routes.configuration
        assert configuration is not None
        jobs = configuration.routes[0]
        online = replace(jobs, name="online", kind=RouteKind.STREAM, path_prefix="/online/")
        daemon.core.routes.replace(replace(configuration, version=99, routes=(jobs, online)))


def fleet_full_of_items() -> SimulatedFleet:
    """Returns a fleet whose engines run batch items of several daemons in all slots."""
    fleet = SimulatedFleet(2)
    fleet.run(3.0)
    for number in range(12):
        fleet.submit_job(f"job-{number}", 12)
    fleet.run(2.0)
    add_online_route(fleet)
    return fleet


def running_items(fleet: SimulatedFleet) -> int:
    return sum(
        not run.is_stopped
        for daemon in fleet.daemons.values()
        for run in daemon.core.jobs.owner.runs.values()
    )


def send_burst(fleet: SimulatedFleet, daemon: Daemon) -> None:
    """Feeds `BURST` online requests to one daemon."""
    for token in range(1, BURST + 1):
        event = RequestArrived(token, f"r{token}", HOST, "/online/x", 5.0, PromptShape())
        fleet.step(daemon, event)


def requests_at_engines(daemon: Daemon) -> int:
    """Returns the number of a daemon's requests that run at engines."""
    return sum(request.is_running for request in daemon.core.requests.requests.values())


def excess_over_slots_after_burst() -> int:
    """Returns by how much requests and items exceed the slots, `YIELD_SECONDS` after a burst."""
    fleet = fleet_full_of_items()
    slots = sum(engine.slots for engine in fleet.daemons["daemon-0"].core.engines.engines.values())
    daemon = min(fleet.daemons.values(), key=lambda d: len(d.core.jobs.owner.runs))
    send_burst(fleet, daemon)
    fleet.run(YIELD_SECONDS)
    assert requests_at_engines(daemon) == BURST
    return requests_at_engines(daemon) + running_items(fleet) - slots


def test_items_yield_their_slots_immediately() -> None:
    assert excess_over_slots_after_burst() <= 0


def test_without_preemption_the_burst_waits_behind_items(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ItemPreemption, "preempt", lambda self, *args, **kwargs: [])
    assert excess_over_slots_after_burst() > 0


def test_requests_are_sent_while_the_coordinator_is_silent() -> None:
    fleet = fleet_full_of_items()
    for daemon in fleet.daemons.values():
        if daemon.core.slots.coordinator.coordinated:
            fleet.pause(daemon.name, 5.0)
    daemon = next(d for d in fleet.daemons.values() if fleet.now >= d.paused_until)
    send_burst(fleet, daemon)
    fleet.run(REPLY_TIMEOUT_SECONDS + 0.01)
    assert requests_at_engines(daemon) == BURST


def test_group_of_a_killed_coordinator_gets_another_coordinator() -> None:
    fleet = fleet_full_of_items()
    former = next(d for d in fleet.daemons.values() if d.core.slots.coordinator.coordinated)
    fleet.kill(former.name, down=30.0)
    daemon = next(d for d in fleet.daemons.values() if d.is_alive)
    for _ in range(3):
        send_burst(fleet, daemon)
        fleet.run(2 * REPLY_TIMEOUT_SECONDS)
        daemon.core.requests.requests.clear()
    fleet.run(TAKEOVER_SECONDS)
    coordinators = [
        d for d in fleet.daemons.values() if d.is_alive and d.core.slots.coordinator.coordinated
    ]
    assert len(coordinators) == 1
    assert coordinators[0].name != former.name


def test_two_coordinators_of_a_group_become_one_once_claims_are_read() -> None:
    fleet = fleet_full_of_items()
    former = next(d for d in fleet.daemons.values() if d.core.slots.coordinator.coordinated)
    fleet.pause(former.name, 2.0)
    daemon = next(d for d in fleet.daemons.values() if d is not former)
    for _ in range(3):
        send_burst(fleet, daemon)
        fleet.run(2 * REPLY_TIMEOUT_SECONDS)
        daemon.core.requests.requests.clear()
    fleet.run(4.0)
    coordinators = [d for d in fleet.daemons.values() if d.core.slots.coordinator.coordinated]
    assert len(coordinators) == 1
    assert coordinators[0] is not former
