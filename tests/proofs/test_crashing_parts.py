"""All daemons together stop sending requests with a part of the prompt that crashes engines.

Guards against crashes that are counted for whole requests alone. Users saw 69 and 62 engines crash
under requests that had one part in common and were otherwise all different.
"""

from tests.simulation.crashing_fleet import CrashingFleet

START_SECONDS = 3.0
SECONDS = 20.0
MARKED_PER_SECOND = 4
OTHERS_PER_SECOND = 16
CRASHES_TO_STOP = 5
MAX_LATE_ATTEMPTS = 3
"""The users' bound on attempts that reach an engine after the fifth crash had to be known."""


def send_beside_a_crashing_part(seed: int) -> CrashingFleet:
    """Sends requests with a crashing part, and others with the same first part."""
    fleet = CrashingFleet(seed, engines=9)
    fleet.crashing_part = "marked"
    fleet.run(START_SECONDS)
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
