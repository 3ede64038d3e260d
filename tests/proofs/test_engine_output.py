"""What an engine sends for a batch item ends no daemon, and harms no other item.

The bytes go over a socket to a daemon's own code, then through its core in a simulated fleet.
"""

import pytest

from tests.simulation.raw_engine import RawEngineFleet, stream_answer
from troutswitch.decisions.jobs.messages import RunItem

START_SECONDS = 3.0
RUN_SECONDS = 20.0
SPOILED = "job-0"
"""The item whose runs are answered with the bytes of a test."""
ITEMS = 4
MAX_RUNS = 19
"""Bound of the runs of an item in `RUN_SECONDS` whose every run brings no event: the shortest
pauses, half of the mean, are 0.1 eight times, then 0.2, 0.4, 0.8, 1.6 and 3 s."""


def events(*data: bytes) -> bytes:
    return b"".join(b"id: %d\ndata: %s\n\n" % (n, text) for n, text in enumerate(data, 1))


def play(answer: bytes, runs: int | None = None) -> RawEngineFleet:
    """Plays a job of which one item gets `answer` in its first `runs` runs, by default in all."""

    def answer_run(run: RunItem) -> bytes | None:
        is_spoiled = run.item.item_id == SPOILED
        if is_spoiled and (runs is None or fleet.runs_of_raw_items < runs):
            return answer
        return None

    fleet = RawEngineFleet(1, answer_run)
    fleet.run(START_SECONDS)
    fleet.submit_job("job", ITEMS)
    fleet.run(RUN_SECONDS)
    return fleet


def listed(fleet: RawEngineFleet) -> set[str]:
    return {result[0] for result in fleet.jobs["job"].results.values()}


def test_event_that_is_not_utf8_does_not_end_the_daemon_that_owns_its_item() -> None:
    answer = stream_answer(SPOILED, events(b"first", b"wrong \xff"))
    fleet = play(answer)
    assert fleet.runs_of_raw_items > 1
    assert listed(fleet) == {f"job-{n}" for n in range(1, ITEMS)}


def test_item_with_an_event_that_is_not_utf8_completes_in_a_later_run() -> None:
    answer = stream_answer(SPOILED, events(b"wrong \xff"))
    fleet = play(answer, runs=2)
    assert listed(fleet) == {f"job-{n}" for n in range(ITEMS)}
    assert fleet.violations == []


@pytest.mark.parametrize(
    "event_id",
    ["\N{SUPERSCRIPT TWO}", "\N{ARABIC-INDIC DIGIT ONE}", "9" * 5000, "x" * 5000, "1 2", "\x7f"],
    ids=["superscript", "digit of another script", "many digits", "long", "space", "control"],
)
def test_event_id_that_is_no_number_does_not_end_the_daemon_that_owns_its_item(
    event_id: str,
) -> None:
    stream = f"id: {event_id}\ndata: first\n\n".encode()
    fleet = play(stream_answer(SPOILED, stream))
    assert fleet.runs_of_raw_items > 1
    assert listed(fleet) == {f"job-{n}" for n in range(1, ITEMS)}


def test_item_that_is_cut_in_every_run_is_rarely_retried() -> None:
    fleet = play(stream_answer(SPOILED, events(b"wrong \xff")))
    assert 3 <= fleet.runs_of_raw_items <= MAX_RUNS


@pytest.mark.parametrize("character", ["\u2028", "\x85", "\x0c", "\x1e", "\x00"], ids=ascii)
def test_result_has_all_text_of_an_event_with_a_line_separator_of_other_formats(
    character: str,
) -> None:
    text = f"before{character}after"
    fleet = play(stream_answer(SPOILED, events(text.encode())), runs=1)
    texts = {row[0]: row[2] for row in fleet.jobs["job"].results.values()}
    assert texts[SPOILED] == text


RECORD = 262_144
"""Longest record that the store takes."""
CUT_RUNS = 5
"""Runs without an event; their pauses are longer than the interval at which output is saved."""


def test_event_that_is_longer_than_a_record_stops_no_results_of_its_shard() -> None:
    text = "x" * (RECORD + 1)
    first = stream_answer(SPOILED, events(text.encode()) + b"id: 2")  # breaks off in event 2
    second = stream_answer(SPOILED, b"id: 2\ndata: last\n\n")

    def answer_run(run: RunItem) -> bytes | None:
        if run.item.item_id != SPOILED:
            return None
        if not run.resume_after:
            return first
        return second if fleet.runs_of_raw_items > CUT_RUNS else b""

    fleet = RawEngineFleet(1, answer_run)
    fleet.run(START_SECONDS)
    fleet.submit_job("job", ITEMS)
    fleet.run(RUN_SECONDS)
    texts = {row[0]: row[2] for row in fleet.jobs["job"].results.values()}
    assert texts[SPOILED] == f"{text}\nlast"
    assert listed(fleet) == {f"job-{n}" for n in range(ITEMS)}


@pytest.mark.parametrize(
    "data",
    [[b"x" * 100_000] * 30, [b"\x01" * 170_000], [b"x" * 3_000_000], [b""] * 450_001],
    ids=["many events", "escapes", "one event", "empty events"],
)
def test_output_that_is_too_long_for_a_page_of_results_is_dropped(data: list[bytes]) -> None:
    """Guards against a shard whose writes are refused for ever, and against unreadable pages."""
    fleet = play(stream_answer(SPOILED, events(*data)), runs=1)
    assert listed(fleet) == {f"job-{n}" for n in range(ITEMS)}
    assert fleet.violations == []
