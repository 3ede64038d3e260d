"""The bound on small logs whose best is known."""

import json
from datetime import UTC, datetime, timedelta
from pathlib import Path

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.cli.bound import bound as command
from troutswitch.hindsight.bound import Bound, bound
from troutswitch.hindsight.day import BatchItem, Day, DayReader, OnlineRequest
from troutswitch.hindsight.log_lines import read_lines

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


def work_out(*rows: str) -> Bound:
    reader = DayReader()
    day = reader.read(read_lines(rows).lines)
    return bound(day, reader.free_first())


def test_what_waited_without_need_is_a_gap() -> None:
    rows = [line(0, "engines changed", slots=2)]
    rows += online(1, 1.0, 100, 1000) + online(2, 1.0, 100, 1000)
    rows += online(3, 2.5, 800, 1700)  # both slots were free again
    found = work_out(*rows)
    assert (found.online.total, found.online.reached, found.online.possible) == (3, 2, 3)
    assert found.online.gap == 1


def test_what_no_slot_was_free_for_is_no_gap() -> None:
    rows = [line(0, "engines changed", slots=1)]
    rows += online(1, 1.0, 100, 1000)
    rows += online(2, 1.1, 1000, 1900)
    found = work_out(*rows)
    assert (found.online.reached, found.online.possible) == (1, 1)


def test_one_that_cannot_be_in_aim_takes_no_room_from_the_next() -> None:
    rows = [line(0, "engines changed", slots=1)]
    rows += online(1, 1.0, 100, 1000) + online(2, 1.1, 1000, 1900) + online(3, 1.95, 1100, 2000)
    assert work_out(*rows).online.possible == 2


def test_an_engine_that_left_gives_no_more_slots() -> None:
    rows = [line(0, "engines changed", slots=2), line(3, "engines changed", slots=0)]
    rows += online(1, 1.0, 100, 1000) + online(2, 4.0, 100, 1000)
    assert work_out(*rows).online.possible == 1


def test_an_answer_without_events_is_left_out() -> None:
    rows = [line(0, "engines changed", slots=2)]
    rows += online(1, 1.0, 3, 3) + online(2, 2.0, 100, 1000)
    rows[2] = rows[2].replace('"position": "31"', '"position": ""')
    assert work_out(*rows).online.total == 1


def test_a_deferral_counts_where_it_came_back() -> None:
    rows = [line(0, "engines changed", slots=2), line(1, "request deferred", request_id="x")]
    rows += online(1, 2.0, 100, 1000)
    assert work_out(*rows).online.total == 1


def batch(items: int, done: int, due_ms: int, run_ms: int) -> list[str]:
    rows = [line(0, "engines changed", slots=1)]
    rows.append(line(1, "job submission ended", job_id="j", items=items, status=202, due_ms=due_ms))
    for number in range(items):
        held = {"job_id": "j", "item_id": f"i{number}"}
        rows.append(line(2, "item sent", **held))
        rows.append(line(2 + run_ms / 1000, "item run ended", **held))
        if number < done:
            rows.append(line(2 + run_ms / 1000, "item listed", **held))
    return rows


def test_items_for_which_there_was_room_are_a_gap() -> None:
    found = work_out(*batch(items=5, done=2, due_ms=9000, run_ms=2000))
    assert (found.batch.total, found.batch.reached, found.batch.possible) == (5, 2, 4)


def test_online_requests_take_room_from_items() -> None:
    rows = batch(items=4, done=1, due_ms=8000, run_ms=2000)
    for number in range(4):
        rows += online(number, 1.0 + number, 100, 1000)
    assert work_out(*rows).batch.possible == 2


def test_an_item_that_never_ran_needs_what_others_did() -> None:
    rows = batch(items=2, done=2, due_ms=9000, run_ms=4000)
    rows[1] = rows[1].replace('"items": 2', '"items": 5')
    found = work_out(*rows)
    assert (found.batch.total, found.batch.possible) == (5, 2)


def test_a_job_of_which_nothing_started_counts() -> None:
    rows = [line(0, "engines changed", slots=1)]
    rows.append(line(1, "job submission ended", job_id="j", items=3, status=202, due_ms=1000))
    assert work_out(*rows).batch.total == 3


def test_an_empty_log_has_no_bound() -> None:
    found = work_out()
    assert (found.online.total, found.batch.possible, found.windows) == (0, 0, [])


@DETERMINISTIC
@given(
    st.lists(st.tuples(st.floats(0, 4), st.floats(0.1, 2)), max_size=20),
    st.lists(st.tuples(st.floats(0, 4), st.floats(0.5, 6), st.floats(0.1, 3)), max_size=10),
    st.integers(0, 6),
)
def test_more_slots_never_make_the_bound_smaller(
    requests: list[tuple[float, float]], items: list[tuple[float, float, float]], slots: int
) -> None:
    def found(count: int) -> Bound:
        day = Day(
            [OnlineRequest(at, 0.3, slot_seconds=1.0) for at, _ in requests],
            [BatchItem(at, at + due, work) for at, due, work in items],
            [(0.0, count)],
        )
        return bound(day, 0.1)

    fewer, more = found(slots), found(slots + 1)
    assert fewer.online.possible <= more.online.possible <= len(requests)
    assert more.batch.possible <= len(items)


def test_the_command_tells_the_gaps(tmp_path: Path) -> None:
    log = tmp_path / "day.log"
    log.write_text("\n".join(batch(items=5, done=2, due_ms=9000, run_ms=2000)) + "\nnoise\n")
    told = CliRunner().invoke(command, [f"--logs={log}", "--windows"])
    assert told.exit_code == 0, told.output
    assert told.output.splitlines()[2].split() == ["batch", "items", "5", "2", "4", "2"]
    assert told.output.splitlines()[-1].endswith("lines not read: 1")
    assert CliRunner().invoke(command, ["--logs=/none"]).exit_code == 2
