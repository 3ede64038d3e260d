"""A stream continues only at engines of the software version that began it.

Guards against continuations at any engine of the service. Users saw 33 and 44 streams on one day
that held events of two versions, after engines crashed and daemons were killed during a release.
"""

from functools import partial

import pytest

from tests.simulation.versioned_fleet import EVENTS_PER_STREAM, VersionedFleet
from troutswitch.decisions.streams import origins, versions
from troutswitch.decisions.streams.version_history import VersionHistory

START_SECONDS = 4.0
RESTART_SECONDS = 0.05
"""Less than callers wait before a retry, as a request to a daemon that is down gets no answer."""
TRIES_AFTER_RESTART = 40
STREAMS_PER_SECOND = 12
MAX_MIXED_STREAMS = 2
"""The users' bound on streams that hold events of two versions."""
MIN_RESUMED_STREAMS = 12
"""Number of resumed streams from which users judge the share that goes on."""
MIN_CONTINUED_SHARE = 0.5
"""The users' bound on the share of resumed streams that go on, as a part of that of new ones."""


def open_streams(fleet: VersionedFleet, seconds: float, leave_share: float = 0.3) -> None:
    """Opens streams at a steady rate; some callers lose their connection and resume."""
    for _ in range(round(seconds * STREAMS_PER_SECOND)):
        caller = fleet.open_stream()
        if fleet.rng.random() < leave_share:
            fleet.call_later(fleet.rng.uniform(0.2, 1.2), partial(fleet.leave, caller))
        fleet.run(1 / STREAMS_PER_SECOND)


def crash_and_kill(fleet: VersionedFleet, rounds: int) -> None:
    """Crashes an engine and kills a daemon in each round, while streams are open."""
    for _ in range(rounds):
        open_streams(fleet, 2.0)
        alive = [i.engine_id for i in fleet.incarnations.values() if i.is_alive]
        fleet.crash(fleet.rng.choice(alive))
        fleet.kill(fleet.rng.choice(list(fleet.daemons)))
        open_streams(fleet, 3.0)
    fleet.run(5.0)


def has_continued_enough(fleet: VersionedFleet) -> bool:
    assert fleet.resumed_streams >= MIN_RESUMED_STREAMS
    return fleet.continued_share >= MIN_CONTINUED_SHARE * fleet.begun_share


def test_stream_holds_events_of_one_engine_version() -> None:
    for seed in range(1, 5):
        fleet = VersionedFleet(seed, ("v1", "v2"))
        fleet.run(START_SECONDS)
        crash_and_kill(fleet, rounds=3)
        assert fleet.mixed_streams <= MAX_MIXED_STREAMS
        assert has_continued_enough(fleet)


def started_fleet(seed: int, *versions: str, daemons: int = 6) -> VersionedFleet:
    fleet = VersionedFleet(seed, versions, daemons=daemons)
    fleet.run(START_SECONDS)
    return fleet


def kill_half(fleet: VersionedFleet) -> None:
    """Opens streams and kills half of the daemons at once, three times."""
    for _ in range(3):
        open_streams(fleet, 2.0, leave_share=0.0)
        for name in fleet.rng.sample(list(fleet.daemons), len(fleet.daemons) // 2):
            fleet.kill(name, 1.0)
        open_streams(fleet, 2.0, leave_share=0.0)
    fleet.run(5.0)


@pytest.mark.parametrize("seed", range(1, 4))
def test_most_streams_of_killed_daemons_continue(seed: int) -> None:
    fleet = started_fleet(seed, "v1", "v2", daemons=12)
    kill_half(fleet)
    assert fleet.mixed_streams == 0
    assert has_continued_enough(fleet)


def test_without_holders_no_stream_of_a_killed_daemon_continues(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(origins, "HOLDERS", 0)
    fleet = started_fleet(1, "v1", "v2", daemons=12)
    kill_half(fleet)
    assert fleet.mixed_streams == 0
    assert not has_continued_enough(fleet)


def release_half(fleet: VersionedFleet) -> None:
    """Replaces half of the engines by those of another version, one after the other."""
    names = list(fleet.incarnations)
    for number, name in enumerate(names[: len(names) // 2]):
        fleet.call_later(0.4 * number, partial(fleet.start_engine, f"new-{number}", "v2"))
        fleet.call_later(1.0 + 0.4 * number, partial(fleet.retire_engine, name))


def release_beside_cut_off_daemons(seed: int) -> VersionedFleet:
    """Has a release while two daemons do not reach the store, and a third reaches nobody."""
    fleet = started_fleet(seed, "v1")
    without_store = list(fleet.daemons)[:3]
    for name in without_store:
        fleet.daemons[name].is_partitioned_from_store = True
    fleet.isolated_from_peers.add(without_store[-1])
    open_streams(fleet, 2.0, leave_share=0.5)
    release_half(fleet)
    open_streams(fleet, 8.0, leave_share=0.5)
    fleet.run(5.0)
    return fleet


@pytest.mark.parametrize("seed", range(1, 4))
def test_daemons_with_an_old_list_continue_no_stream_at_another_version(seed: int) -> None:
    fleet = release_beside_cut_off_daemons(seed)
    assert fleet.mixed_streams == 0
    assert has_continued_enough(fleet)


def test_without_confirmation_cut_off_daemons_continue_streams_at_another_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(versions.EngineVersions, "is_confirmed", lambda *_: True)
    assert release_beside_cut_off_daemons(3).mixed_streams > MAX_MIXED_STREAMS


def test_streams_continue_while_the_store_is_down() -> None:
    fleet = started_fleet(1, "v1", "v2")
    fleet.faults.is_down = True
    crash_and_kill(fleet, rounds=2)
    assert fleet.mixed_streams == 0
    assert has_continued_enough(fleet)


@pytest.mark.parametrize("seed", range(1, 3))
def test_one_version_needs_no_messages_about_streams(seed: int) -> None:
    fleet = started_fleet(seed, "v1")
    crash_and_kill(fleet, rounds=2)
    kinds = {"VersionsNotice", "StreamOrigins", "OriginQuery", "OriginReply"}
    assert not kinds & fleet.peer_messages.keys()
    assert fleet.continued_share == 1.0


def replace_all_engines(fleet: VersionedFleet, version: str) -> None:
    """Removes all engines, and starts as many of another version."""
    for number, name in enumerate(list(fleet.incarnations)):
        fleet.start_engine(f"{version}-{number}", version)
        fleet.retire_engine(name)
        fleet.remove_engine(name)


def restart_all_daemons(fleet: VersionedFleet) -> None:
    """Starts all daemons anew; callers try until these serve again."""
    for caller in fleet.streams:
        caller.remaining_tries = TRIES_AFTER_RESTART
    for name in list(fleet.daemons):
        fleet.kill(name, RESTART_SECONDS)


def restart_all_daemons_beside_releases(seed: int) -> VersionedFleet:
    """Replaces all engines three times, each time while all daemons are down."""
    fleet = started_fleet(seed, "v1")
    for number in range(3):
        open_streams(fleet, 2.0, leave_share=0.0)
        restart_all_daemons(fleet)
        replace_all_engines(fleet, f"v{number + 2}")
        open_streams(fleet, 3.0, leave_share=0.0)
    fleet.run(5.0)
    return fleet


@pytest.mark.parametrize("seed", range(1, 4))
def test_no_stream_joins_two_versions_after_all_daemons_started_anew(seed: int) -> None:
    """Guards against daemons that know one version after they started, and not the one before."""
    fleet = restart_all_daemons_beside_releases(seed)
    assert fleet.tries["resumed"] >= MIN_RESUMED_STREAMS
    assert fleet.mixed_streams == 0


def test_without_history_streams_join_two_versions_after_all_daemons_started_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    always = property(lambda self: True, lambda self, value: None)
    monkeypatch.setattr(versions.EngineVersions, "knows_past", always, raising=False)
    monkeypatch.setattr(VersionHistory, "_apply_record", lambda self, record: None)
    assert restart_all_daemons_beside_releases(1).mixed_streams > MAX_MIXED_STREAMS


@pytest.mark.parametrize("seed", range(1, 4))
def test_streams_of_one_version_continue_after_all_daemons_started_anew(seed: int) -> None:
    fleet = started_fleet(seed, "v1")
    for _ in range(2):
        open_streams(fleet, 2.0, leave_share=0.0)
        restart_all_daemons(fleet)
        open_streams(fleet, 3.0, leave_share=0.0)
    fleet.run(5.0)
    assert fleet.tries["resumed, served"] >= MIN_RESUMED_STREAMS
    cut = [caller for caller in fleet.streams if caller.has_continued]
    assert all(len(caller.versions) == EVENTS_PER_STREAM for caller in cut)


@pytest.mark.parametrize("seed", range(1, 4))
def test_no_stream_joins_two_versions_at_a_daemon_that_starts_after_a_release(seed: int) -> None:
    """The version before has left the list, and its streams are resumed at the started daemons."""
    fleet = started_fleet(seed, "v1")
    for number in range(3):
        open_streams(fleet, 2.0, leave_share=0.0)
        replace_all_engines(fleet, f"v{number + 2}")
        fleet.run(0.7)
        for name in list(fleet.daemons)[number::2]:
            fleet.kill(name, 0.3)
        open_streams(fleet, 3.0, leave_share=0.5)
    fleet.run(5.0)
    assert fleet.mixed_streams == 0


@pytest.mark.parametrize("seed", range(1, 4))
def test_started_daemons_without_the_store_continue_no_stream_at_another_version(
    seed: int,
) -> None:
    fleet = started_fleet(seed, "v1")
    for number in range(2):
        open_streams(fleet, 2.0, leave_share=0.3)
        names = list(fleet.daemons)[::2]
        for name in names:
            fleet.kill(name, 0.3)
            fleet.daemons[name].is_partitioned_from_store = True
        replace_all_engines(fleet, f"v{number + 2}")
        open_streams(fleet, 4.0, leave_share=0.5)
        for name in names:
            fleet.daemons[name].is_partitioned_from_store = False
        open_streams(fleet, 2.0, leave_share=0.3)
    fleet.run(5.0)
    assert fleet.mixed_streams == 0


def run_jobs_beside_crashes(seed: int) -> VersionedFleet:
    """Runs batch items while engines crash and shards change their owners."""
    fleet = started_fleet(seed, "v1", "v2")
    for number in range(4):
        fleet.submit_job(f"job-{number}", 12)
        open_streams(fleet, 2.0)
        alive = [i.engine_id for i in fleet.incarnations.values() if i.is_alive]
        fleet.crash(fleet.rng.choice(alive))
        fleet.kill(fleet.rng.choice(list(fleet.daemons)))
        fleet.reassign_shards()
        open_streams(fleet, 2.0)
    fleet.run(30.0)
    return fleet


@pytest.mark.parametrize("seed", range(1, 5))
def test_output_of_a_batch_item_is_of_one_engine_version(seed: int) -> None:
    fleet = run_jobs_beside_crashes(seed)
    assert fleet.violations == []
    assert fleet.unfinished_jobs() == []
