"""All daemons together stop sending requests with a part of the prompt that crashes engines.

Guards against crashes that are counted for whole requests alone. Users saw 69 and 62 engines crash
under requests that had one part in common and were otherwise all different.
"""

import pytest

from tests.simulation.crashing_fleet import Caller, CrashingFleet
from troutswitch.decisions.crashes.part_suspects import PartSuspects
from troutswitch.decisions.jobs.item_refusals import MAX_TRIALS

START_SECONDS = 3.0
SECONDS = 20.0
MARKED_PER_SECOND = 4
OTHERS_PER_SECOND = 16
CRASHES_TO_STOP = 5
MAX_LATE_ATTEMPTS = 3
"""The users' bound on attempts that reach an engine after the fifth crash had to be known."""


MIN_BEGUN_SHARE = 0.5
"""The users' bound on sound requests that are served at their first try."""


def send_beside_a_crashing_part(
    seed: int, *, isolated_from_peers: bool = False, store_is_down: bool = False
) -> CrashingFleet:
    """Sends requests with a crashing part, and others with the same first part."""
    fleet = CrashingFleet(seed, engines=9)
    fleet.crashing_part = "marked"
    fleet.run(START_SECONDS)
    fleet.isolated_from_peers = set(fleet.daemons) if isolated_from_peers else set()
    fleet.faults.is_down = store_is_down
    for number in range(round(SECONDS * OTHERS_PER_SECOND)):
        fleet.send_parts(f"sound-{number}", "first", f"group-{number % 8}")
        if number % (OTHERS_PER_SECOND // MARKED_PER_SECOND) == 0:
            fleet.send_parts(f"marked-{number}", "first", "marked")
        fleet.run(1 / OTHERS_PER_SECOND)
    return fleet


def test_requests_with_a_part_that_crashes_engines_are_no_longer_sent() -> None:
    for seed in range(1, 4):
        fleet = send_beside_a_crashing_part(seed)
        assert len(fleet.crash_times["marked"]) >= CRASHES_TO_STOP
        assert fleet.late_attempts("marked", CRASHES_TO_STOP) <= MAX_LATE_ATTEMPTS


def sound_callers(fleet: CrashingFleet) -> list[Caller]:
    return [caller for caller in fleet.callers if not caller.crashes_engines]


def begun_share(callers: list[Caller]) -> float:
    """Returns the share of callers whose first try was served."""
    return sum(caller.statuses[:1] == [200] for caller in callers) / max(1, len(callers))


@pytest.mark.parametrize("seed", range(1, 4))
def test_sound_requests_with_the_same_first_part_are_served(seed: int) -> None:
    fleet = send_beside_a_crashing_part(seed)
    sound = sound_callers(fleet)
    settled = sound[len(sound) // 2 :]
    assert begun_share(settled) >= MIN_BEGUN_SHARE
    assert all(daemon.core.suspects.refused for daemon in fleet.daemons.values())


def test_without_a_record_of_parts_engines_keep_crashing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PartSuspects, "take_announced", lambda *_: iter(()))
    fleet = send_beside_a_crashing_part(1)
    assert fleet.late_attempts("marked", CRASHES_TO_STOP) > MAX_LATE_ATTEMPTS
    assert begun_share(sound_callers(fleet)) < MIN_BEGUN_SHARE


@pytest.mark.parametrize("seed", range(1, 4))
def test_parts_are_shared_through_the_store_alone(seed: int) -> None:
    fleet = send_beside_a_crashing_part(seed, isolated_from_peers=True)
    assert fleet.late_attempts("marked", CRASHES_TO_STOP) <= MAX_LATE_ATTEMPTS


@pytest.mark.parametrize("seed", range(1, 4))
def test_parts_are_shared_between_peers_while_the_store_is_down(seed: int) -> None:
    fleet = send_beside_a_crashing_part(seed, store_is_down=True)
    assert fleet.late_attempts("marked", CRASHES_TO_STOP) <= MAX_LATE_ATTEMPTS


@pytest.mark.parametrize("seed", range(1, 4))
def test_restarted_daemons_refuse_a_part_that_was_refused_before(seed: int) -> None:
    fleet = send_beside_a_crashing_part(seed)
    before = len(fleet.crash_times["marked"])
    for name in list(fleet.daemons):
        fleet.kill(name)
    fleet.run(START_SECONDS)
    for number in range(8):
        fleet.send_parts(f"again-{number}", "first", "marked")
        fleet.run(0.5)
    assert len(fleet.crash_times["marked"]) == before


@pytest.mark.parametrize("seed", range(1, 5))
def test_engine_crashes_for_other_reasons_refuse_no_part(seed: int) -> None:
    """Two thirds of the engines crash together several times while they run other requests."""
    fleet = CrashingFleet(seed, engines=9)
    fleet.run(START_SECONDS)
    for _ in range(4):
        send_sound(fleet, 3.0)
        alive = [i.engine_id for i in fleet.incarnations.values() if i.is_alive]
        for engine_id in fleet.rng.sample(alive, min(6, len(alive))):
            fleet.crash(engine_id)
        send_sound(fleet, 6.0)
        assert not any(daemon.core.suspects.refused for daemon in fleet.daemons.values())


def send_sound(fleet: CrashingFleet, seconds: float) -> None:
    for number in range(round(seconds * OTHERS_PER_SECOND)):
        fleet.send_parts(f"sound-{fleet.now:.3f}", "first", f"group-{number % 8}")
        fleet.run(1 / OTHERS_PER_SECOND)


@pytest.mark.parametrize("seed", range(1, 4))
def test_batch_items_teach_and_obey_the_record_of_parts(seed: int) -> None:
    fleet = CrashingFleet(seed, engines=9)
    fleet.crashing_part = "marked"
    fleet.run(START_SECONDS)
    job = fleet.submit_job("job", 8, parts="first marked own")
    fleet.crashing_items |= {item.item_id for item in job.items}
    send_sound(fleet, 25.0)
    crashes = sum(len(fleet.crash_times[content]) for content in fleet.crash_times)
    assert CRASHES_TO_STOP <= crashes <= CRASHES_TO_STOP + MAX_TRIALS + MAX_LATE_ATTEMPTS
    caller = fleet.send_parts("online", "first", "marked")
    fleet.run(5.0)
    assert caller.statuses[0] == 503
