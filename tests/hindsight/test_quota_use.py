"""How a tenant's quota was used, read from daemons' logs."""

import json

import pytest

from troutswitch.hindsight.log_lines import read_lines
from troutswitch.hindsight.quota_use import QuotaUse, fullest_window, read_quota_use


def line(second: float, daemon: str, event: str, **fields: object) -> str:
    time = f"2026-01-01T00:00:{second:09.6f}Z"
    return json.dumps({"timestamp": time, "daemon": daemon, "event": event, **fields})


def sent(
    second: float, daemon: str, request_id: str, attempt: int = 1, way: str = "counted"
) -> str:
    fields = {"request_id": request_id, "attempt": attempt, "quota_way": way, "quota_ms": 7}
    return line(second, daemon, "request sent", tenant="t", decided_by="d9", **fields)


def ended(second: float, daemon: str, request_id: str, attempt: int, kind: str) -> str:
    fields = {"request_id": request_id, "attempt": attempt, "kind": kind}
    return line(second, daemon, "attempt ended", **fields)


def use_of(*texts: str) -> QuotaUse:
    return read_quota_use(read_lines(texts).lines, "t")


def test_admissions_of_a_window_are_counted_by_daemon_and_way() -> None:
    use = use_of(
        sent(0.0, "d1", "a"), sent(1.0, "d1", "b", way="alone"), sent(2.0, "d2", "c", way="alone")
    )
    assert use.between(0.5, 2.5) == {("d1", "alone"): 1, ("d2", "alone"): 1}


def test_runs_of_one_admission_leave_out_attempts_that_did_not_run() -> None:
    use = use_of(
        sent(0.0, "d1", "a"),
        ended(0.1, "d1", "a", 1, "refused"),
        sent(0.2, "d1", "a", 2),
        ended(0.3, "d1", "a", 2, "cut"),
        sent(0.4, "d1", "a", 3),
    )
    assert use.runs == pytest.approx([0.2, 0.4])
    assert use.runs_by_admission == {2: 1}


def test_a_request_id_that_is_used_again_is_another_admission() -> None:
    use = use_of(sent(0.0, "d1", "a"), sent(3.0, "d1", "a"))
    assert use.runs_by_admission == {1: 2}


def test_late_decisions_and_changes_of_coordinators_are_listed() -> None:
    use = use_of(
        line(0.0, "d3", "quota coordination begun", group="g"),
        line(1.0, "d1", "quota decision late", tenant="t", decision_ms=45),
        line(2.0, "d1", "request refused", tenant="t", quota_way="alone"),
    )
    assert [(change.daemon, change.group) for change in use.changes] == [("d3", "g")]
    assert use.late_ms == [45]
    assert use.refusals == {"alone": 1}


def test_the_fullest_window_excludes_its_end() -> None:
    assert fullest_window([0.0, 1.0, 4.9, 5.0, 5.5, 6.0], 5.0) == (1.0, 4)
    assert fullest_window([], 5.0) == (0.0, 0)
