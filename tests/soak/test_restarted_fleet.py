"""Streams that are resumed on real processes after all daemons were killed and started anew."""

from pathlib import Path

import pytest

from troutswitch.soak.restarted_fleet import (
    ReceivedStream,
    Release,
    StreamResults,
    play_restarts,
    results_of,
)
from troutswitch.standins.content import LONG_ITEM_EVENTS, long_item_events

MIN_RESUMED_STREAMS = 8
"""Resumed streams below which the plays have shown nothing."""
MAX_PLAYS = 4
"""Plays of one test; on a busy machine a play has fewer streams."""
MIN_CONTINUED_SHARE = 0.5
VERSIONS = {"one": "v1", "two": "v2"}


def received(*engines: str) -> ReceivedStream:
    """Returns a stream whose events, in order, are of these engines."""
    stream = ReceivedStream("stream")
    for number, engine in enumerate(engines):
        stream.add(long_item_events("try", engine, 1, number)[0])
    return stream


def test_stream_of_one_version_is_not_joined() -> None:
    assert results_of([received("one", "one")], VERSIONS).joined == ()


def test_stream_of_two_versions_is_joined() -> None:
    assert results_of([received("one", "two")], VERSIONS).joined == ("stream: v1 then v2",)


def test_stream_that_lacks_an_event_is_reported() -> None:
    stream = received("one")
    stream.add(long_item_events("try", "one", 1, 2)[0])
    assert results_of([stream], VERSIONS).joined == ("stream: v1 event 3 follows 1",)


def test_event_that_was_cut_does_not_count() -> None:
    stream = received("one")
    stream.add(b"".join(long_item_events("try", "one", 1, 1))[:-1])
    assert len(stream.engines) == LONG_ITEM_EVENTS - 1


def play_until_resumed(folder: Path, seed: int, release: Release) -> list[StreamResults]:
    """Plays kills of all daemons until enough streams were resumed in all plays together."""
    plays: list[StreamResults] = []
    while len(plays) < MAX_PLAYS and sum(p.resumed for p in plays) < MIN_RESUMED_STREAMS:
        play_folder = folder / f"play-{len(plays)}"
        play_folder.mkdir()
        plays.append(play_restarts(play_folder, seed + 100 * len(plays), [release]))
    assert sum(play.resumed for play in plays) >= MIN_RESUMED_STREAMS
    return plays


@pytest.mark.parametrize("seed", [1, 3])
def test_no_stream_joins_two_versions_after_a_kill_of_all_daemons(
    tmp_path: Path, seed: int
) -> None:
    plays = play_until_resumed(tmp_path, seed, Release.AFTERWARDS)
    assert all(play.joined == () for play in plays)


def test_streams_of_one_version_continue_after_a_kill_of_all_daemons(tmp_path: Path) -> None:
    plays = play_until_resumed(tmp_path, 1, Release.NONE)
    resumed = sum(play.resumed for play in plays)
    assert sum(play.completed for play in plays) >= MIN_CONTINUED_SHARE * resumed
    assert all(play.joined == () for play in plays)
