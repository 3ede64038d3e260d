"""Each check of the soak catches an observation that breaks its promise, and no other."""

import signal
from dataclasses import replace

import pytest

from tests.soak.evidences import all_well, answered, item_run, listed_job, run_of, struck
from troutswitch.soak import checks
from troutswitch.soak.evidence import (
    EngineLeft,
    Evidence,
    Exchange,
    Kind,
    Outcome,
    ResultSeen,
    Run,
    Sample,
)
from troutswitch.soak.processes import ProcessEnd
from troutswitch.soak.schedule import Action
from troutswitch.standins.model_engine import ENDED_CODE


def promises(evidence: Evidence) -> set[str]:
    return {violation.promise for violation in checks.find_violations(evidence)}


def of_kind(evidence: Evidence, kind: Kind) -> Exchange:
    return next(held for held in evidence.exchanges if held.kind is kind)


def test_nothing_is_found_where_all_is_well() -> None:
    assert checks.find_violations(all_well()) == []


@pytest.mark.parametrize("kind", [Kind.ONCE, Kind.STREAM_ONCE])
def test_a_second_run_of_a_request_that_must_not_be_repeated_is_found(kind: Kind) -> None:
    evidence = all_well()
    evidence.runs.append(run_of(of_kind(evidence, kind), 11.0))
    assert promises(evidence) == {"TWICE"}


@pytest.mark.parametrize("kind", [Kind.READ, Kind.STREAM])
def test_a_second_run_of_a_repeatable_request_is_none(kind: Kind) -> None:
    evidence = all_well()
    evidence.runs.append(run_of(of_kind(evidence, kind), 11.0))
    assert promises(evidence) == set()


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refused_request_that_ran_is_found(status: int) -> None:
    evidence = all_well()
    held = of_kind(evidence, Kind.ONCE)
    held.status, held.stamp, held.answer = status, "", b""
    assert promises(evidence) == {"REFUSED"}


def test_an_item_of_a_refused_job_that_ran_is_found() -> None:
    evidence = all_well()
    job = listed_job("refused")
    job.statuses, job.results, job.totals = [503, 429], [], set()
    evidence.jobs.append(job)
    evidence.runs.append(item_run(job, 0))
    assert promises(evidence) == {"REFUSED"}


def test_an_item_of_a_job_without_an_answer_may_run() -> None:
    evidence = all_well()
    job = listed_job("unsure")
    job.statuses, job.results, job.totals = [503, 0], [], set()
    evidence.jobs.append(job)
    evidence.runs.append(item_run(job, 0))
    assert promises(evidence) == set()


@pytest.mark.parametrize("kind", [Kind.READ, Kind.ONCE])
def test_a_success_that_is_not_the_whole_answer_is_found(kind: Kind) -> None:
    evidence = all_well()
    held = of_kind(evidence, kind)
    held.answer = held.answer[:-1]
    assert promises(evidence) == {"MIXED"}


def test_another_request_s_answer_is_found() -> None:
    evidence = all_well()
    other = answered("other", Kind.READ)
    held = of_kind(evidence, Kind.READ)
    held.stamp, held.answer = other.stamp, other.answer
    assert promises(evidence) == {"MIXED"}


def test_a_success_without_a_signature_is_found() -> None:
    evidence = all_well()
    of_kind(evidence, Kind.READ).stamp = ""
    assert promises(evidence) == {"MIXED"}


def test_bytes_that_are_no_answer_are_found() -> None:
    evidence = all_well()
    held = of_kind(evidence, Kind.READ)
    held.outcome, held.reason = Outcome.MALFORMED, "BadStatusLine"
    assert promises(evidence) == {"MIXED"}


def test_a_success_where_no_request_waits_is_found() -> None:
    evidence = all_well()
    of_kind(evidence, Kind.READ).stray = b"HTTP/1.1 200 OK\r\n"
    assert promises(evidence) == {"MIXED"}


def test_a_failure_under_an_engine_s_signature_with_another_status_is_found() -> None:
    evidence = all_well()
    held = of_kind(evidence, Kind.READ)
    held.status = 502
    assert promises(evidence) == {"MIXED"}


def test_an_engine_s_own_failure_may_be_passed_on() -> None:
    evidence = all_well()
    held = of_kind(evidence, Kind.READ)
    held.status = 500
    evidence.runs.append(replace(run_of(held), kind="failed", status=500))
    assert promises(evidence) == set()


@pytest.mark.parametrize("kind", [Kind.STREAM, Kind.STREAM_ONCE])
def test_a_stream_that_lacks_or_repeats_an_event_is_found(kind: Kind) -> None:
    events = all_well()
    held = of_kind(events, kind)
    pieces = held.answer.split(b"\n\n")
    for broken in (pieces[:1] + pieces[2:], pieces[:2] + pieces[1:], [*pieces[:-2], b""]):
        held.answer = b"\n\n".join(broken)
        assert promises(events) == {"ORDER"}


def test_a_cut_stream_has_to_be_a_beginning() -> None:
    evidence = all_well()
    held = of_kind(evidence, Kind.STREAM)
    held.outcome = Outcome.CUT
    held.answer = held.answer[:-5]
    assert promises(evidence) == set()
    held.answer = held.answer[3:]
    assert promises(evidence) == {"ORDER"}


@pytest.mark.parametrize(
    "changed",
    [{"path": "/read/else"}, {"body": "0"}, {"model": ""}, {"request_id": "nobody-s"}],
)
def test_a_run_that_nobody_asked_for_is_found(changed: dict[str, str]) -> None:
    evidence = all_well()
    run = run_of(of_kind(evidence, Kind.READ))
    evidence.runs.append(replace(run, **changed))  # type: ignore[arg-type]
    assert promises(evidence) == {"UNASKED"}


def probe(request_id: str, version: int, at: float) -> Exchange:
    held = answered(request_id, Kind.VERSION, at)
    held.version = version
    return held


def with_probes(*versions: int) -> Evidence:
    evidence = all_well()
    for number, version in enumerate(versions):
        held = probe(f"probe-{number}", version, 20.0 + number)
        evidence.exchanges.append(held)
        evidence.runs.append(run_of(held, held.sent_at))
    return evidence


def test_an_older_configuration_after_a_newer_one_is_found() -> None:
    assert promises(with_probes(1, 2, 2)) == set()
    assert promises(with_probes(1, 2, 1)) == {"CONFIG"}


def test_a_new_life_may_begin_with_an_older_configuration() -> None:
    evidence = with_probes(2, 1)
    evidence.ends.append(ProcessEnd("daemon-0", 1, 20.5, -9, signal.SIGKILL))
    assert promises(evidence) == set()


def cut_beside_a_stop() -> Evidence:
    evidence = all_well()
    held = of_kind(evidence, Kind.ONCE)
    held.outcome, held.status, held.answer, held.stamp = Outcome.CUT, 0, b"", ""
    evidence.strikes.append(struck(Action.STOP_DAEMON, 9.0, 12.0))
    return evidence


def test_a_request_that_a_planned_stop_cut_is_found() -> None:
    assert promises(cut_beside_a_stop()) == {"LOST"}


def test_a_request_that_nobody_read_may_be_lost_at_once() -> None:
    evidence = cut_beside_a_stop()
    evidence.runs = [run for run in evidence.runs if run.request_id != "request-once"]
    assert promises(evidence) == set()
    of_kind(evidence, Kind.ONCE).ended_at += checks.LOSS_SLACK_SECONDS
    assert promises(evidence) == {"LOST"}


def test_a_refusal_that_the_end_of_the_process_cut_is_no_loss() -> None:
    evidence = cut_beside_a_stop()
    evidence.runs = [run for run in evidence.runs if run.request_id != "request-once"]
    of_kind(evidence, Kind.ONCE).status = 503
    assert promises(evidence) == set()


def test_a_cut_beside_harm_is_no_planned_one() -> None:
    evidence = cut_beside_a_stop()
    evidence.strikes.append(struck(Action.PAUSE_ENGINE, 8.0, 8.5, "server-0-1"))
    assert promises(evidence) == set()


def test_a_cut_at_another_daemon_is_none_of_this_stop() -> None:
    evidence = cut_beside_a_stop()
    of_kind(evidence, Kind.ONCE).daemon = "daemon-1"
    assert promises(evidence) == set()


@pytest.mark.parametrize("kind", ["begun", "rejected"])
def test_work_to_an_engine_that_left_is_found(kind: str) -> None:
    evidence = all_well()
    evidence.left.append(EngineLeft("server-0-1", 10.0))
    bound = checks.DRAIN_SECONDS + checks.DRAIN_SLACK_SECONDS
    held = answered("late", Kind.READ, 10.0 + bound)
    evidence.exchanges.append(held)
    evidence.runs.append(replace(run_of(held, 9.9 + bound), kind=kind))
    assert promises(evidence) == set()
    evidence.runs.append(replace(run_of(held, 10.1 + bound), kind=kind))
    assert promises(evidence) == {"DRAIN"}


@pytest.mark.parametrize(
    ("code", "asked_by", "is_own"),
    [
        (1, 0, True),
        (0, 0, True),
        (-signal.SIGSEGV, 0, True),
        (1, signal.SIGTERM, True),
        (0, signal.SIGTERM, False),
        (-signal.SIGTERM, signal.SIGTERM, False),
        (-signal.SIGKILL, signal.SIGKILL, False),
    ],
)
def test_a_process_that_ends_by_itself_is_found(code: int, asked_by: int, is_own: bool) -> None:
    evidence = all_well()
    evidence.ends.append(ProcessEnd("daemon-0", 1, 10.0, code, asked_by))
    assert promises(evidence) == ({"ENDED"} if is_own else set())


@pytest.mark.parametrize(
    "sample",
    [
        Sample("daemon-0", 1.0, checks.MEMORY_MB_MOST + 1, 10, 0),
        Sample("daemon-0", 1.0, 10.0, checks.DESCRIPTORS_MOST + 1, 0),
        Sample("daemon-0", 1.0, 10.0, 10, checks.LOG_BYTES_BASE * 2),
    ],
)
def test_use_beyond_its_bound_is_found(sample: Sample) -> None:
    evidence = all_well()
    evidence.samples.append(Sample("daemon-0", 0.0, 40.0, 50, 10_000))
    assert promises(evidence) == set()
    evidence.samples.append(sample)
    assert promises(evidence) == {"BOUND"}


def with_row(row: ResultSeen) -> Evidence:
    evidence = all_well()
    evidence.jobs[0].results.append(row)
    return evidence


def test_a_result_that_changes_is_found() -> None:
    first = listed_job().results[0]
    assert promises(with_row(replace(first, daemon="daemon-1"))) == set()
    assert "TWICE" in promises(with_row(replace(first, daemon="daemon-1", text="else")))


def test_an_item_at_two_positions_is_found() -> None:
    first = listed_job().results[0]
    assert promises(with_row(replace(first, position=2))) == {"TWICE"}


def test_a_result_whose_text_is_not_whole_is_found() -> None:
    first = listed_job().results[0]
    row = replace(first, position=2, item_id="job-1", text="job-1-1")
    assert "MIXED" in promises(with_row(row))


def test_a_foreign_item_and_a_wrong_total_are_found() -> None:
    first = listed_job().results[0]
    assert promises(with_row(replace(first, position=2, item_id="foreign"))) == {"MIXED"}
    evidence = all_well()
    evidence.jobs[0].totals.add(3)
    assert promises(evidence) == {"MIXED"}


def test_an_item_that_is_given_up_too_early_is_found() -> None:
    evidence = all_well()
    job = evidence.jobs[0]
    job.results[0] = replace(job.results[0], state="dead_lettered", text="")
    assert promises(evidence) == {"MIXED"}
    failed = [item_run(job, 0, kind="failed")] * checks.ATTEMPTS_MOST
    evidence.runs += failed
    assert promises(evidence) == set()


def test_an_item_that_begins_long_after_its_job_ended_is_found() -> None:
    evidence = all_well()
    job = evidence.jobs[0]
    job.end_asked_at = job.ended_at = 8.0
    evidence.runs.append(item_run(job, 0, 8.0 + checks.CANCEL_SECONDS))
    assert promises(evidence) == set()
    late: Run = item_run(job, 0, 8.1 + checks.CANCEL_SECONDS)
    evidence.runs.append(late)
    assert promises(evidence) == {"UNASKED"}


def test_a_job_that_is_denied_long_after_its_acceptance_is_found() -> None:
    evidence = all_well()
    job = evidence.jobs[0]
    job.denied.append(("daemon-0", job.accepted_at + checks.SETTLE_SECONDS))
    assert promises(evidence) == set()
    job.denied.append(("daemon-0", job.accepted_at + checks.SETTLE_SECONDS + 0.1))
    assert promises(evidence) == {"LOST"}


def test_what_does_not_come_true_in_the_calm_end_is_found() -> None:
    evidence = all_well()
    evidence.unmet.append(("LOST", "job is not wholly listed"))
    assert promises(evidence) == {"LOST"}


def ended_under(count: int, begin: float = 10.0) -> list[Run]:
    """Lines of engines that ended under one request, each as a life of its own."""
    return [
        Run("ended under", f"ending-{number}", begin + number, f"server-0-{number}", ENDING)
        for number in range(count)
    ]


def sent_on(count: int, begin: float) -> list[Run]:
    return [
        Run("begun", f"late-{number}", begin + number, f"server-1-{number}", ENDING, model="m")
        for number in range(count)
    ]


ENDING = "/read/ending-0"


@pytest.mark.parametrize(("times", "is_found"), [(3, False), (4, True)])
def test_a_request_that_ends_engines_and_goes_on_is_found(times: int, is_found: bool) -> None:
    evidence = all_well()
    evidence.runs = ended_under(3) + sent_on(times, 12.0 + checks.KNOWN_SECONDS + 1.0)
    found = checks.ending_requests_stop(evidence)
    assert [violation.promise for violation in found] == (["BUDGET"] if is_found else [])


def test_engines_that_a_request_reaches_before_all_can_know_are_none() -> None:
    evidence = all_well()
    evidence.runs = ended_under(3) + sent_on(5, 12.5)
    assert not checks.ending_requests_stop(evidence)


def test_two_ends_bind_nobody() -> None:
    evidence = all_well()
    evidence.runs = ended_under(2) + sent_on(9, 30.0)
    assert not checks.ending_requests_stop(evidence)


def test_an_engine_that_ended_under_a_request_did_not_end_by_itself() -> None:
    assert not ProcessEnd("server-0", 1, 10.0, ENDED_CODE, 0).is_own
    assert ProcessEnd("server-0", 1, 10.0, 1, 0).is_own


@pytest.mark.parametrize("told", ["", "forged"])
def test_a_run_for_another_tenant_is_found(told: str) -> None:
    evidence = all_well()
    evidence.runs[0] = replace(evidence.runs[0], tenant=told)
    assert promises(evidence) == {"UNASKED"}


def test_an_item_s_run_for_another_tenant_is_found() -> None:
    evidence = all_well()
    evidence.runs[-1] = replace(evidence.runs[-1], tenant="forged")
    assert promises(evidence) == {"UNASKED"}


def test_a_key_that_an_engine_was_shown_is_found() -> None:
    evidence = all_well()
    evidence.runs[0] = replace(evidence.runs[0], has_key=True)
    assert promises(evidence) == {"UNASKED"}


@pytest.mark.parametrize(("status", "is_found"), [(401, False), (503, False), (200, True)])
def test_a_stranger_that_is_served_is_found(status: int, is_found: bool) -> None:
    evidence = all_well()
    stranger = replace(answered("stranger", Kind.READ), status=status)
    evidence.strangers.append(stranger)
    assert promises(evidence) == ({"ROUTE"} if is_found else set())
    evidence.runs.append(run_of(stranger))
    assert "ROUTE" in promises(evidence)
