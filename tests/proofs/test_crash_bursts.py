"""Sound items under which engines crashed in a burst are placed again when the engines are calm.

Guards against a record of crashes that outlives their cause: several engines crashed while they ran
the same sound items, afterwards all was calm, and the items were never placed again.
"""

import pytest

from tests.simulation import fleet as fleet_module
from tests.simulation.crash_bursts import BurstFleet
from tests.simulation.crashing_fleet import ENGINE_RESTART_SECONDS
from tests.simulation.observed_job import EVENTS_PER_ITEM, ObservedJob
from tests.simulation.plain_formats import PREFIX
from troutswitch.decisions.crashes.causes import CRASHES_TO_REFUSE
from troutswitch.decisions.jobs.item_refusals import MAX_TRIAL_PAUSE_SECONDS, MAX_TRIALS

START_SECONDS = 3.0
EVENT_SECONDS = 0.4
RUN_SECONDS = 1.5 * EVENT_SECONDS * EVENTS_PER_ITEM
"""Longest time in which an engine runs an item."""
MAX_WAIT_SECONDS = 10.0
"""Longest time for which an item may wait in calm although engines have room."""
CALM_SECONDS = ENGINE_RESTART_SECONDS + MAX_WAIT_SECONDS
SHARE = 0.3
"""Share of the engines that crash at a time."""
BURST_SECONDS = 25.0
LONG_BURST_SECONDS = 45.0
"""Time in which more engines crash under one item than its first trials may crash."""
CRASHES_PER_VOLLEY = 5
ONLINE_PER_SECOND = 30


@pytest.fixture(autouse=True)
def long_items(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes items so long that hardly any is done between two volleys."""
    monkeypatch.setattr(fleet_module, "EVENT_SECONDS", EVENT_SECONDS)


def open_items(jobs: list[ObservedJob]) -> int:
    return sum(len(job.items) - len(job.results) for job in jobs)


def started_fleet(seed: int) -> BurstFleet:
    fleet = BurstFleet(seed, engines=16)
    fleet.run(START_SECONDS)
    return fleet


def send_online(fleet: BurstFleet, seconds: float) -> None:
    """Advances time while callers send requests."""
    for number in range(round(seconds * ONLINE_PER_SECOND)):
        fleet.send_online(f"online-{fleet.now:.3f}-{number}")
        fleet.run(1 / ONLINE_PER_SECOND)


def play_volleys(fleet: BurstFleet, volleys: int, parts: str) -> list[ObservedJob]:
    """Submits jobs whose items share three paths, before each volley of crashes; returns them."""
    jobs: list[ObservedJob] = []
    for volley in range(volleys):
        for number in range(6):
            path = f"{PREFIX}shared-{number % 3}"
            jobs.append(fleet.submit_job(f"job-{volley}-{number}", 4, path=path, parts=parts))
        send_online(fleet, 4.0)
        for _ in range(CRASHES_PER_VOLLEY):
            fleet.crash_share(SHARE)
            send_online(fleet, 0.4)
    return jobs


@pytest.mark.parametrize("parts", ["", "shared own"])
@pytest.mark.parametrize("volleys", [1, 3])
@pytest.mark.parametrize("seed", range(1, 4))
def test_items_that_share_paths_or_parts_are_done_soon_after_volleys_of_crashes(
    seed: int, volleys: int, parts: str
) -> None:
    """Guards against a part that is held for good as engines crashed under all items with it.

    No request with the part was completed before the volley, and seven or more engines crash in it.
    """
    fleet = started_fleet(seed)
    jobs = play_volleys(fleet, volleys, parts)
    fleet.run(CALM_SECONDS + 2 * RUN_SECONDS)
    assert open_items(jobs) == 0
    assert fleet.violations == []


@pytest.mark.parametrize("seed", range(1, 7))
def test_item_whose_engines_crashed_in_a_burst_is_placed_again_in_calm(seed: int) -> None:
    """Guards against an item that is held for good because five and more engines crashed under it.

    Other engines crash at the same times, under other requests.
    """
    fleet = started_fleet(seed)
    job = fleet.submit_job("job", 6)
    unlucky = job.items[0].item_id
    crashes = 0
    while fleet.now < START_SECONDS + BURST_SECONDS:
        send_online(fleet, 0.4)
        if fleet.crash_engine_of(unlucky):
            crashes += 1
            fleet.crash_share(SHARE)
    assert crashes >= CRASHES_TO_REFUSE
    send_online(fleet, CALM_SECONDS + RUN_SECONDS)
    assert open_items([job]) == 0


@pytest.mark.parametrize("seed", range(1, 4))
def test_item_alone_on_its_crashed_engines_is_placed_again_within_a_bound(seed: int) -> None:
    """Guards against an item that looks like the cause of its crashes and is held for good."""
    fleet = started_fleet(seed)
    job = fleet.submit_job("job", 4)
    unlucky = job.items[0].item_id
    while fleet.now < START_SECONDS + LONG_BURST_SECONDS:
        fleet.run(0.4)
        fleet.crash_engine_of(unlucky)
    runs = job.run_counts[unlucky]
    assert runs >= CRASHES_TO_REFUSE + MAX_TRIALS
    fleet.run(MAX_TRIAL_PAUSE_SECONDS + MAX_WAIT_SECONDS)
    assert job.run_counts[unlucky] > runs
