"""The bound on small logs for which the best possible result is known."""

import json
from datetime import UTC, datetime, timedelta
from pathlib import Path

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.cli.bound import bound as command
from troutswitch.hindsight.bound import Bound, compute_bound
from troutswitch.hindsight.log_lines import read_lines
from troutswitch.hindsight.workload import BatchItem, OnlineRequest, Workload, WorkloadReader

BEGIN = datetime(2026, 1, 1, tzinfo=UTC)
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=100)


def line(at: float, event: str, daemon: str = "d", **fields: object) -> str:
    time = (BEGIN + timedelta(seconds=at)).isoformat().replace("+00:00", "Z")
    return json.dumps({"timestamp": time, "daemon": daemon, "event": event, **fields})


def online(number: int, at: float, first_ms: int, total_ms: int) -> list[str]:
    name = f"r{number}"
    return [
        line(at, "request sent", request_id=name, attempt=1, objective_ms=300),
        line(
            at + total_ms / 1000,
            "attempt ended",
            request_id=name,
            attempt=1,
            kind="completed",
            first_ms=first_ms,
            total_ms=total_ms,
            position="31",
        ),
    ]


def compute(*rows: str) -> Bound:
    reader = WorkloadReader()
    workload = reader.read(read_lines(rows).lines)
    return compute_bound(workload, reader.unqueued_first_event())


def test_request_that_waited_while_slots_were_free_is_a_gap() -> None:
    rows = [line(0, "engines changed", slots=2)]
    rows += online(1, 1.0, 100, 1000) + online(2, 1.0, 100, 1000)
    rows += online(3, 2.5, 800, 1700)  # both slots are free again
    bound = compute(*rows)
    assert (bound.online.total, bound.online.served, bound.online.possible) == (3, 2, 3)
    assert bound.online.gap == 1


def test_request_without_a_free_slot_is_no_gap() -> None:
    rows = [line(0, "engines changed", slots=1)]
    rows += online(1, 1.0, 100, 1000)
    rows += online(2, 1.1, 1000, 1900)
    bound = compute(*rows)
    assert (bound.online.served, bound.online.possible) == (1, 1)


def test_request_that_cannot_meet_its_objective_takes_no_slot() -> None:
    rows = [line(0, "engines changed", slots=1)]
    rows += online(1, 1.0, 100, 1000) + online(2, 1.1, 1000, 1900) + online(3, 1.95, 1100, 2000)
    assert compute(*rows).online.possible == 2


def test_slots_of_removed_engine_do_not_count() -> None:
    rows = [line(0, "engines changed", slots=2), line(3, "engines changed", slots=0)]
    rows += online(1, 1.0, 100, 1000) + online(2, 4.0, 100, 1000)
    assert compute(*rows).online.possible == 1


def test_answer_without_events_is_left_out() -> None:
    rows = [line(0, "engines changed", slots=2)]
    rows += online(1, 1.0, 3, 3) + online(2, 2.0, 100, 1000)
    rows[2] = rows[2].replace('"position": "31"', '"position": ""')
    assert compute(*rows).online.total == 1


def test_deferred_request_counts_at_its_retry() -> None:
    rows = [line(0, "engines changed", slots=2), line(1, "request deferred", request_id="x")]
    rows += online(1, 2.0, 100, 1000)
    assert compute(*rows).online.total == 1


def batch(items: int, done: int, due_ms: int, run_ms: int) -> list[str]:
    rows = [line(0, "engines changed", slots=1)]
    rows.append(line(1, "job submission ended", job_id="j", items=items, status=202, due_ms=due_ms))
    for number in range(items):
        ids = {"job_id": "j", "item_id": f"i{number}"}
        rows.append(line(2, "item sent", **ids))
        rows.append(line(2 + run_ms / 1000, "item run ended", **ids))
        if number < done:
            rows.append(line(2 + run_ms / 1000, "item listed", **ids))
    return rows


def test_unfinished_items_with_free_slots_are_a_gap() -> None:
    bound = compute(*batch(items=5, done=2, due_ms=9000, run_ms=2000))
    assert (bound.batch.total, bound.batch.served, bound.batch.possible) == (5, 2, 4)


def test_online_requests_reduce_slots_of_items() -> None:
    rows = batch(items=4, done=1, due_ms=8000, run_ms=2000)
    for number in range(4):
        rows += online(number, 1.0 + number, 100, 1000)
    assert compute(*rows).batch.possible == 2


def test_item_that_never_ran_needs_mean_work_of_others() -> None:
    rows = batch(items=2, done=2, due_ms=9000, run_ms=4000)
    rows[1] = rows[1].replace('"items": 2', '"items": 5')
    bound = compute(*rows)
    assert (bound.batch.total, bound.batch.possible) == (5, 2)


def test_items_of_job_that_never_started_count() -> None:
    rows = [line(0, "engines changed", slots=1)]
    rows.append(line(1, "job submission ended", job_id="j", items=3, status=202, due_ms=1000))
    assert compute(*rows).batch.total == 3


def test_empty_log_gives_zero_bound() -> None:
    bound = compute()
    assert (bound.online.total, bound.batch.possible, bound.windows) == (0, 0, [])


@DETERMINISTIC
@given(
    st.lists(st.tuples(st.floats(0, 4), st.floats(0.1, 2)), max_size=20),
    st.lists(st.tuples(st.floats(0, 4), st.floats(0.5, 6), st.floats(0.1, 3)), max_size=10),
    st.integers(0, 6),
)
def test_more_slots_never_reduce_the_bound(
    requests: list[tuple[float, float]], items: list[tuple[float, float, float]], slots: int
) -> None:
    def bound_with_slots(count: int) -> Bound:
        workload = Workload(
            [OnlineRequest(at, 0.3, slot_seconds=1.0) for at, _ in requests],
            [BatchItem(at, at + due, work) for at, due, work in items],
            [(0.0, count)],
        )
        return compute_bound(workload, 0.1)

    fewer, more = bound_with_slots(slots), bound_with_slots(slots + 1)
    assert fewer.online.possible <= more.online.possible <= len(requests)
    assert more.batch.possible <= len(items)


def test_command_prints_gaps(tmp_path: Path) -> None:
    log = tmp_path / "day.log"
    log.write_text("\n".join(batch(items=5, done=2, due_ms=9000, run_ms=2000)) + "\nnoise\n")
    result = CliRunner().invoke(command, [f"--logs={log}", "--windows"])
    assert result.exit_code == 0, result.output
    assert result.output.splitlines()[2].split() == ["batch", "items", "5", "2", "4", "2"]
    assert result.output.splitlines()[-1].endswith("lines not read: 1")
    assert CliRunner().invoke(command, ["--logs=/none"]).exit_code == 2
