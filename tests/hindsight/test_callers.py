"""Counts of callers from their first try, on small logs whose counts are known."""

from pathlib import Path

from click.testing import CliRunner

from tests.hindsight.test_bound import line
from troutswitch.cli.bound import bound as command
from troutswitch.hindsight.callers import RouteCallers, TryReader, count_callers
from troutswitch.hindsight.log_lines import read_lines

CLIENT_TIMEOUT_MS = 5000


def sent(
    name: str, client_timeout_ms: int = CLIENT_TIMEOUT_MS, elapsed_ms: int = 0, attempt: int = 1
) -> str:
    return line(
        1.0,
        "request sent",
        request_id=name,
        route="r",
        attempt=attempt,
        objective_ms=300,
        client_timeout_ms=client_timeout_ms,
        elapsed_ms=elapsed_ms,
    )


def ended(name: str, first_ms: int, attempt: int = 1, kind: str = "completed") -> str:
    return line(
        2.0,
        "attempt ended",
        request_id=name,
        attempt=attempt,
        kind=kind,
        first_ms=first_ms,
        total_ms=900,
        position="31" if first_ms < 60_000 else "",
    )


def closed(
    name: str, event: str, client_timeout_ms: int = CLIENT_TIMEOUT_MS, **fields: str | int
) -> str:
    row: dict[str, object] = {"route": "r", "objective_ms": 300, "elapsed_ms": 20}
    row |= {"request_id": name, "client_timeout_ms": client_timeout_ms, **fields}
    return line(2.0, event, "d", **row)


def count(*rows: str) -> RouteCallers:
    (counts,) = count_callers(TryReader().read(read_lines(rows).lines))
    return counts


def test_time_to_answer_counts_from_arrival_over_all_attempts() -> None:
    counts = count(sent("a"), ended("a", 250), sent("b", elapsed_ms=100), ended("b", 250))
    assert (counts.first_tries, counts.in_time, counts.late) == (2, 1, 1)
    two_attempts = [sent("a"), ended("a", 3_600_000, kind="refused")]
    two_attempts += [sent("a", elapsed_ms=100, attempt=2), ended("a", 250, attempt=2)]
    assert (count(*two_attempts).in_time, count(*two_attempts).late) == (0, 1)


def test_answer_after_refusal_is_timed_from_first_try() -> None:
    rows = [closed("a", "request deferred"), sent("b", client_timeout_ms=4000), ended("b", 100)]
    counts = count(*rows, sent("c"), ended("c", 100))
    assert (counts.tries, counts.first_tries) == (3, 2)
    assert (counts.in_time, counts.late, counts.refused_once, counts.refused_again) == (1, 1, 0, 0)


def test_retry_is_recognised_by_shorter_timeout() -> None:
    rows = [closed("a", "request deferred"), closed("b", "request deferred"), sent("c"), sent("d")]
    rows += [
        closed("e", "request given up", client_timeout_ms=3800, outcome="NotRun", reason="full")
    ]
    counts = count(*rows)
    assert (counts.refused_once, counts.refused_again, counts.unknown) == (1, 1, 2)


def test_durations_of_unanswered_tries_are_wasted_seconds() -> None:
    rows = [closed("a", "request given up", outcome="Cut", reason="deadline", elapsed_ms=4900)]
    rows += [closed("b", "request given up", outcome="NotRun", reason="full", elapsed_ms=100)]
    counts = count(*rows)
    assert (counts.failed, counts.refused_first) == (1, 1)
    assert (counts.wasted_seconds, counts.max_wasted_seconds) == (5.0, 4.9)


def test_disconnected_caller_is_neither_refused_nor_failed() -> None:
    disconnected = closed("a", "request given up", outcome="NotRun", reason="caller went away")
    counts = count(disconnected)
    assert (counts.disconnected, counts.refused_first, counts.failed) == (1, 0, 0)


def test_interrupted_answer_counts_as_failed() -> None:
    interrupted = [sent("a"), ended("a", 100, kind="cut")]
    interrupted += [closed("a", "request given up", outcome="Cut", reason="reset")]
    counts = count(*interrupted)
    assert (counts.answered, counts.failed) == (0, 1)


def test_retries_are_not_recognised_if_timeouts_differ() -> None:
    rows = [row for n in range(9) for row in (sent(f"{n}", 1000 + 500 * n), ended(f"{n}", 100))]
    counts = count(*rows, closed("x", "request deferred", 1200))
    assert not counts.recognises_retries
    assert (counts.in_time, counts.late, counts.refused) == (9, 0, 1)


def test_command_notes_routes_without_recognised_retries(tmp_path: Path) -> None:
    log = tmp_path / "day.log"
    rows = [sent("a"), ended("a", 250), line(1, "request refused", request_id="z", status=503)]
    log.write_text("\n".join(rows))
    result = CliRunner().invoke(command, [f"--logs={log}"]).output
    assert "r                     1       1      0" in result
    assert "refused before a route was known: 1" in result
    assert "tries carry no mark of the caller" in result
    assert "counts of tries" not in result
    log.write_text("\n".join([*rows, sent("b", 100), ended("b", 3)]))
    assert "counts of tries" in CliRunner().invoke(command, [f"--logs={log}"]).output
