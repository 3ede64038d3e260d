"""Command `explain`: order of the lines, cause and exit codes."""

import json
from pathlib import Path

from click.testing import CliRunner

from troutswitch.cli.explain import explain, read_timeline
from troutswitch.hindsight.log_lines import read_lines


def line(time: str, daemon: str, event: str, **fields: object) -> str:
    return json.dumps({"timestamp": time, "daemon": daemon, "event": event, **fields})


LINES = [
    line("T2", "b", "attempt ended", request_id="x", kind="cut", first_ms=9, total_ms=30),
    line("T1", "a", "request sent", request_id="x", engine="s1"),
    "not a line of ours",
    '{"timestamp": "T3", "cut',
    line("T3", "a", "request sent", request_id="other"),
    line("T4", "b", "request given up", request_id="x", reason="deadline reached"),
]


def test_lines_of_several_daemons_are_sorted_by_time() -> None:
    timeline = read_timeline("x", read_lines(LINES))
    assert [entry.event for entry in timeline.lines] == [
        "request sent",
        "attempt ended",
        "request given up",
    ]
    assert timeline.bad_lines == 2
    assert timeline.cause() == "given up at b: deadline reached"


def test_command_prints_cause_and_sets_exit_code(tmp_path: Path) -> None:
    for number, rows in enumerate((LINES[:2], LINES[2:])):
        (tmp_path / f"{number}.log").write_text("\n".join(rows))
    paths = [f"--logs={tmp_path / name}" for name in ("0.log", "1.log")]
    result = CliRunner().invoke(explain, ["x", *paths])
    assert result.exit_code == 0
    assert result.output.splitlines()[-1] == "cause: given up at b: deadline reached"
    assert CliRunner().invoke(explain, ["y", *paths]).exit_code == 1
    assert CliRunner().invoke(explain, ["x", "--logs=/none"]).exit_code == 2


def test_cause_of_dead_lettered_item_includes_reason_when_listed_later() -> None:
    """The cause of an item given up after a 422 was only "listed at", without the reason."""
    rows = [
        line("T1", "a", "item dead-lettered", item_id="i", reason="status 422"),
        line("T2", "a", "item listed", item_id="i", state="dead", position=0),
    ]
    assert read_timeline("i", read_lines(rows)).cause() == "listed dead at a: status 422"


def test_cause_of_refusal_includes_decision_fields() -> None:
    fields = {"reason": "above the tenant's quota", "status": 429, "tenant": "t", "decided_by": "b"}
    rows = [line("T1", "a", "request refused", request_id="x", configuration_version=7, **fields)]
    assert read_timeline("x", read_lines(rows)).cause() == (
        "refused at a: above the tenant's quota "
        "(status=429, tenant=t, decided_by=b, configuration_version=7)"
    )


def test_cause_of_a_denied_request_has_the_coordinators_inputs_and_reason() -> None:
    """The line of the coordinator has no request id; it names the daemon and the number."""
    denial = {"group": "s||0", "number": 7, "retry_after_ms": 700}
    rows = [
        line("T1", "a", "slot request queued", request_id="x", flow="t", position=9, wait_ms=300),
        line("T2", "c", "queued request denied", peer="a", reason="too late", **denial),
        line("T2", "c", "queued request denied", peer="b", reason="other", **denial),
        line("T3", "a", "slot request denied", request_id="x", wait_ms=900, slots=16, **denial),
        line("T4", "a", "request deferred", request_id="x", reason="no slot", retry_after_ms=700),
    ]
    assert read_timeline("x", read_lines(rows)).cause() == (
        "asked to come back at a: no slot (retry_after_ms=700); "
        "slot request queued: flow=t, position=9, wait_ms=300; "
        "slot request denied: wait_ms=900, slots=16; the coordinator's reason: too late"
    )


def test_cause_of_a_request_that_waited_says_how_long_and_why() -> None:
    rows = [
        line("T1", "a", "slot request queued", request_id="x", flow="t", position=2, wait_ms=40),
        line("T2", "a", "slot granted after wait", request_id="x", flow="t", waited_ms=55),
        line("T3", "a", "attempt ended", request_id="x", kind="completed", first_ms=9, total_ms=30),
    ]
    assert read_timeline("x", read_lines(rows)).cause() == (
        "completed at a, first 9 ms, in all 30 ms; "
        "slot request queued: flow=t, position=2, wait_ms=40; "
        "slot granted after wait: flow=t, waited_ms=55"
    )
