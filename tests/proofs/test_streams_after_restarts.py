"""Streams that callers resume after all daemons started anew hold events of one version.

Guards against streams that users saw joined from two versions after a kill of all daemons during a
release, with nothing in the answer that showed it.
"""

from functools import partial

import pytest

from tests.proofs.test_stream_versions import (
    MIN_RESUMED_STREAMS,
    open_streams,
    restart_all_daemons,
    started_fleet,
)
from tests.simulation.versioned_fleet import VersionedFleet

CUT_STREAMS = 40
"""Streams that are open when the daemons are killed, besides the steady ones."""
ENTRY_SECONDS = 3.6
"""Time for which the entry of an engine stays listed after the engine has gone."""


def stop_without_notice(fleet: VersionedFleet, name: str) -> None:
    """Ends an engine whose entry stays listed until it expires."""
    fleet.call_later(ENTRY_SECONDS, partial(fleet.remove_engine, name))
    fleet.incarnations[name].is_alive = False
    for on_end in list(fleet.incarnations[name].running.values()):
        on_end()


def replace_engines_after_restart(seed: int) -> VersionedFleet:
    """All daemons start anew, the engines leave a moment later, and others come after that.

    Streams that are resumed in between find engines listed that answer no more, and wait.
    """
    fleet = started_fleet(seed, "v1")
    former = list(fleet.incarnations)
    open_streams(fleet, 2.0, leave_share=0.0)
    for _ in range(CUT_STREAMS):
        fleet.open_stream()
    open_streams(fleet, 0.6, leave_share=0.0)
    restart_all_daemons(fleet)
    for number, name in enumerate(former):
        fleet.call_later(0.15, partial(stop_without_notice, fleet, name))
        fleet.call_later(0.6, partial(fleet.start_engine, f"next-{number}", "v2"))
    open_streams(fleet, 6.0, leave_share=0.0)
    return fleet


@pytest.mark.parametrize("seed", range(1, 4))
def test_stream_that_waits_for_its_version_does_not_continue_at_one_listed_later(seed: int) -> None:
    fleet = replace_engines_after_restart(seed)
    assert fleet.tries["resumed"] >= MIN_RESUMED_STREAMS
    assert fleet.mixed_streams == 0


def withdraw_unrecorded_version(seed: int) -> VersionedFleet:
    """Lists a version while the store refuses its record; kills all daemons, and withdraws it."""
    fleet = started_fleet(seed, "v1")
    open_streams(fleet, 2.0, leave_share=0.0)
    fleet.refuses_version_records = True
    further = [f"further-{number}" for number in range(6)]
    for name in further:
        fleet.start_engine(name, "v2")
    open_streams(fleet, 4.0, leave_share=0.0)
    restart_all_daemons(fleet)
    for name in further:
        fleet.remove_engine(name)
        fleet.incarnations[name].is_alive = False
    open_streams(fleet, 5.0, leave_share=0.0)
    return fleet


@pytest.mark.parametrize("seed", range(1, 4))
def test_stream_of_a_version_without_a_record_does_not_join_another(seed: int) -> None:
    """Guards against a version that began streams before the store had its record."""
    fleet = withdraw_unrecorded_version(seed)
    assert fleet.tries["resumed"] >= MIN_RESUMED_STREAMS
    assert fleet.mixed_streams == 0
