"""Streams that are resumed on real processes at daemons which are out of step during a release."""

from pathlib import Path

import pytest

from troutswitch.soak.out_of_step import Disturbance, play_out_of_step
from troutswitch.soak.version_checks import MIN_RESUMED_STREAMS


@pytest.mark.parametrize(
    ("seed", "disturbance"),
    [(1, Disturbance.SPLIT), (2, Disturbance.UNHEARING), (3, Disturbance.BAD_DATAGRAMS)],
)
def test_no_stream_joins_two_versions_at_a_daemon_out_of_step(
    tmp_path: Path, seed: int, disturbance: Disturbance
) -> None:
    """Guards against daemons that take each other's datagrams for a proof of what they know."""
    results = play_out_of_step(tmp_path, seed, [disturbance])
    assert results.counts.resumed >= MIN_RESUMED_STREAMS
    assert results.joined == ()
