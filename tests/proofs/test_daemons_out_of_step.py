"""Streams that are resumed at a daemon which is out of step hold events of one version.

Guards against daemons that take each other's messages, or what lay in their queues while they stood
still, for a proof that they know all versions, and continue streams of a version that they have not
read of at engines of the one that they know.
"""

from collections.abc import Callable
from functools import partial

import pytest

from tests.proofs.test_stream_versions import STREAMS_PER_SECOND, open_streams, started_fleet
from tests.simulation.versioned_fleet import VersionedFleet
from troutswitch.decisions.streams.version_history import VERSIONS

LEAVE_SHARE = 0.5
LISTED_SECONDS = 6.0
"""Time for which a daemon is out of step: a further version begins streams in it."""
SETTLED_SECONDS = 4.0
MIN_RESUMPTIONS = 20
"""Resumptions at the daemons out of step without which a play proves nothing."""

Disturbance = Callable[[VersionedFleet, tuple[str, ...]], None]


def release(fleet: VersionedFleet, version: str, engines: int = 3) -> None:
    """Lists engines of a further version; those of the former ones stay in service."""
    for number in range(engines):
        name = f"{version}-{len(fleet.incarnations)}"
        fleet.call_later(0.2 * number, partial(fleet.start_engine, name, version))


def others(fleet: VersionedFleet, odd: tuple[str, ...]) -> list[str]:
    return [name for name in fleet.daemons if name not in odd]


def split(fleet: VersionedFleet, odd: tuple[str, ...]) -> None:
    """These hear each other, but neither the store nor the rest."""
    fleet.links.separate(odd, others(fleet, odd))
    store_silent(fleet, odd)


def store_silent(fleet: VersionedFleet, odd: tuple[str, ...]) -> None:
    for name in odd:
        fleet.daemons[name].is_store_silent = True


def heard_without_hearing(fleet: VersionedFleet, odd: tuple[str, ...]) -> None:
    fleet.links.cut_one_way(others(fleet, odd), odd)
    store_silent(fleet, odd)


def hears_without_being_heard(fleet: VersionedFleet, odd: tuple[str, ...]) -> None:
    fleet.links.cut_one_way(odd, others(fleet, odd))
    store_silent(fleet, odd)


def bad_datagrams(fleet: VersionedFleet, odd: tuple[str, ...]) -> None:
    """Half of the datagrams are lost; the others come late, doubled and in another order."""
    fleet.links.disturb(0.5, 0.3, 4.0)
    store_silent(fleet, odd)


def suspended(fleet: VersionedFleet, odd: tuple[str, ...]) -> None:
    """Datagrams, answers of the store and callers' requests wait until they run again.

    Half of the datagrams are lost, as a full queue of a socket does.
    """
    fleet.links.disturb(0.5, 0.0, 0.0)
    for name in odd:
        fleet.suspend(name, fleet.rng.uniform(3.0, LISTED_SECONDS - 0.5))


def started_behind(fleet: VersionedFleet, odd: tuple[str, ...]) -> None:
    """A daemon of a small side starts anew there."""
    split(fleet, odd)
    fleet.call_later(1.0, lambda: fleet.kill(odd[0], 0.3))


def partitioned(fleet: VersionedFleet, odd: tuple[str, ...]) -> None:
    """Calls of the store fail at once, and peers are heard."""
    for name in odd:
        fleet.daemons[name].is_partitioned_from_store = True


def heal(fleet: VersionedFleet) -> None:
    fleet.links.heal()
    for daemon in fleet.daemons.values():
        daemon.is_store_silent = daemon.is_partitioned_from_store = False


def release_beside(
    seed: int, disturb: Disturbance, odd_daemons: int = 2, rounds: int = 1
) -> VersionedFleet:
    """Lists a further version while some daemons are out of step, at which streams are resumed."""
    fleet = started_fleet(seed, "v1")
    open_streams(fleet, 1.0, LEAVE_SHARE)
    for number in range(rounds):
        odd = tuple(fleet.rng.sample(list(fleet.daemons), odd_daemons))
        disturb(fleet, odd)
        fleet.resumption_daemons = odd
        release(fleet, f"v{number + 2}")
        open_streams(fleet, LISTED_SECONDS, LEAVE_SHARE)
        heal(fleet)
        open_streams(fleet, 1.0, LEAVE_SHARE)
        fleet.resumption_daemons = ()
        open_streams(fleet, SETTLED_SECONDS, LEAVE_SHARE)
    fleet.run(6.0)
    return fleet


DISTURBANCES = (
    split,
    store_silent,
    partitioned,
    heard_without_hearing,
    hears_without_being_heard,
    bad_datagrams,
    suspended,
    started_behind,
)


@pytest.mark.parametrize("disturb", DISTURBANCES)
@pytest.mark.parametrize("seed", range(1, 4))
def test_no_stream_joins_two_versions_at_a_daemon_out_of_step(
    seed: int, disturb: Disturbance
) -> None:
    fleet = release_beside(seed, disturb)
    assert fleet.resumptions[True]["tried"] >= MIN_RESUMPTIONS
    assert fleet.mixed_streams == 0


@pytest.mark.parametrize("seed", range(1, 4))
def test_no_stream_joins_two_versions_in_releases_in_series(seed: int) -> None:
    """Three releases within a minute, with daemons out of step in each."""
    fleet = release_beside(seed, split, odd_daemons=3, rounds=3)
    assert fleet.mixed_streams == 0


def withdraw(fleet: VersionedFleet, version: str) -> None:
    """Removes the engines of a version from the list at once."""
    for name, other in list(fleet.engine_versions.items()):
        if other == version and name in fleet.incarnations:
            fleet.incarnations[name].is_alive = False
            for on_end in list(fleet.incarnations[name].running.values()):
                on_end()
            fleet.remove_engine(name)


@pytest.mark.parametrize("seed", range(1, 7))
def test_stream_of_a_version_that_came_and_went_while_a_daemon_stood_still_ends_there(
    seed: int,
) -> None:
    """Guards against a fresh list, without the version that was listed in between."""
    fleet = started_fleet(seed, "v1")
    odd = ("daemon-1",)
    fleet.suspend(odd[0], 6.0)
    fleet.links.cut_one_way(others(fleet, odd), odd)
    fleet.call_later(5.9, fleet.links.heal)
    release(fleet, "v2")
    fleet.call_later(5.0, partial(withdraw, fleet, "v2"))
    open_streams(fleet, 3.0, 0.0)
    fleet.resumption_daemons = odd
    open_streams(fleet, 5.0, 0.0)
    fleet.run(6.0)
    assert fleet.mixed_streams == 0


def replace_at_once(fleet: VersionedFleet) -> None:
    """Replaces all engines in one moment; the former ones drain for two seconds."""
    for name in list(fleet.incarnations):
        fleet.retire_engine(name)
    for number in range(6):
        fleet.start_engine(f"next-{number}", "v2")


@pytest.mark.parametrize("seed", range(1, 4))
def test_further_version_that_is_left_alone_begins_no_stream_before_its_activation(
    seed: int,
) -> None:
    """Guards against streams at a further version that daemons with an older list do not know."""
    fleet = started_fleet(seed, "v1")
    odd = ("daemon-1", "daemon-2")
    split(fleet, odd)
    fleet.resumption_daemons = odd
    replace_at_once(fleet)
    for _ in range(2 * STREAMS_PER_SECOND):
        caller = fleet.open_stream()
        fleet.call_later(fleet.rng.uniform(0.15, 0.4), partial(fleet.leave, caller))
        fleet.run(0.5 / STREAMS_PER_SECOND)
    heal(fleet)
    fleet.run(6.0)
    assert fleet.mixed_streams == 0


def run_until(fleet: VersionedFleet, holds: Callable[[], bool]) -> None:
    while not holds():
        fleet.run(0.01)


def start_beside_release(seed: int) -> VersionedFleet:
    """All daemons but one start anew as soon as the store has the record of a further version.

    The other one has just read the list, and reaches nobody from then on.
    """
    fleet = started_fleet(seed, "v1")
    odd = ("daemon-1",)
    engines = fleet.daemons[odd[0]].core.engines
    run_until(fleet, lambda: fleet.now - engines.listed_at < 0.02)
    split(fleet, odd)
    release(fleet, "v2", engines=1)
    end = fleet.store.log(VERSIONS).end
    run_until(fleet, lambda: fleet.store.log(VERSIONS).end > end)
    for name in others(fleet, odd):
        fleet.kill(name, 0.01)
    fleet.resumption_daemons = odd
    for _ in range(40):
        caller = fleet.open_stream()
        fleet.call_later(0.09, partial(fleet.leave, caller))
        fleet.run(0.01)
    heal(fleet)
    fleet.run(6.0)
    return fleet


def test_daemons_started_beside_a_release_begin_no_stream_before_others_know_its_version() -> None:
    """Guards against recorded versions that begin streams at once at a daemon that starts."""
    assert sum(start_beside_release(seed).mixed_streams for seed in range(1, 13)) == 0


def test_streams_of_one_version_continue_while_the_store_is_away_for_all() -> None:
    """Guards against daemons that refuse all resumptions when nobody can read the store."""
    tried = served = 0
    for seed in range(1, 4):
        fleet = started_fleet(seed, "v1")
        fleet.faults.is_silent = True
        open_streams(fleet, 12.0, LEAVE_SHARE)
        fleet.run(6.0)
        tried += fleet.resumptions[False]["tried"]
        served += fleet.resumptions[False]["served"]
        assert fleet.mixed_streams == 0
    assert tried >= MIN_RESUMPTIONS
    assert served >= 0.9 * tried


@pytest.mark.parametrize("seed", range(1, 4))
def test_streams_of_killed_daemons_continue_while_the_store_is_away_for_all(seed: int) -> None:
    """Guards against streams that end because their version can't be confirmed."""
    fleet = started_fleet(seed, "v1", daemons=12)
    fleet.faults.is_silent = True
    open_streams(fleet, 4.0, 0.0)
    for name in fleet.rng.sample(list(fleet.daemons), 4):
        fleet.kill(name, 8.0)
    fleet.run(6.0)
    cut = [caller for caller in fleet.streams if caller.is_resumed]
    assert len(cut) >= 5
    assert sum(caller.has_continued for caller in cut) >= 0.8 * len(cut)


def test_calm_fleet_sends_nothing_about_versions_and_lets_all_streams_continue() -> None:
    fleet = started_fleet(1, "v1")
    reads_before = fleet.version_reads
    open_streams(fleet, 6.0, LEAVE_SHARE)
    fleet.run(6.0)
    kinds = {"VersionsNotice", "StreamOrigins", "OriginQuery", "OriginReply"}
    assert not kinds & fleet.peer_messages.keys()
    assert fleet.resumptions[False]["tried"] == fleet.resumptions[False]["served"] > 0
    assert fleet.version_reads == reads_before
