"""Each check of the soak catches an observation that breaks its promise, and no other."""

import signal
from dataclasses import replace

import pytest

from tests.soak.builders import (
    clean_observations,
    completed_exchange,
    completed_job,
    injected_action,
    item_entry,
    started_entry,
)
from troutswitch.soak import checks
from troutswitch.soak.observations import (
    EngineDeparture,
    Exchange,
    JournalEntry,
    Observations,
    ObservedResult,
    Outcome,
    RequestKind,
    ResourceSample,
)
from troutswitch.soak.processes import ProcessExit
from troutswitch.soak.schedule import ActionKind
from troutswitch.standins.model_engine import ENDED_CODE


def promises(observations: Observations) -> set[str]:
    return {violation.promise for violation in checks.find_violations(observations)}


def of_kind(observations: Observations, kind: RequestKind) -> Exchange:
    return next(exchange for exchange in observations.exchanges if exchange.kind is kind)


def test_nothing_is_found_where_all_is_well() -> None:
    assert checks.find_violations(clean_observations()) == []


@pytest.mark.parametrize("kind", [RequestKind.ONCE, RequestKind.STREAM_ONCE])
def test_a_second_run_of_a_request_that_must_not_be_repeated_is_found(kind: RequestKind) -> None:
    observations = clean_observations()
    observations.journal_entries.append(started_entry(of_kind(observations, kind), 11.0))
    assert promises(observations) == {"TWICE"}


@pytest.mark.parametrize("kind", [RequestKind.READ, RequestKind.STREAM])
def test_a_second_run_of_a_repeatable_request_is_none(kind: RequestKind) -> None:
    observations = clean_observations()
    observations.journal_entries.append(started_entry(of_kind(observations, kind), 11.0))
    assert promises(observations) == set()


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refused_request_that_ran_is_found(status: int) -> None:
    observations = clean_observations()
    exchange = of_kind(observations, RequestKind.ONCE)
    exchange.status, exchange.stamp, exchange.answer = status, "", b""
    assert promises(observations) == {"REFUSED"}


def test_an_item_of_a_refused_job_that_ran_is_found() -> None:
    observations = clean_observations()
    job = completed_job("refused")
    job.statuses, job.results, job.totals = [503, 429], [], set()
    observations.jobs.append(job)
    observations.journal_entries.append(item_entry(job, 0))
    assert promises(observations) == {"REFUSED"}


def test_an_item_of_a_job_without_an_answer_may_run() -> None:
    observations = clean_observations()
    job = completed_job("unsure")
    job.statuses, job.results, job.totals = [503, 0], [], set()
    observations.jobs.append(job)
    observations.journal_entries.append(item_entry(job, 0))
    assert promises(observations) == set()


@pytest.mark.parametrize("kind", [RequestKind.READ, RequestKind.ONCE])
def test_a_success_that_is_not_the_whole_answer_is_found(kind: RequestKind) -> None:
    observations = clean_observations()
    exchange = of_kind(observations, kind)
    exchange.answer = exchange.answer[:-1]
    assert promises(observations) == {"MIXED"}


def test_another_request_s_answer_is_found() -> None:
    observations = clean_observations()
    other = completed_exchange("other", RequestKind.READ)
    exchange = of_kind(observations, RequestKind.READ)
    exchange.stamp, exchange.answer = other.stamp, other.answer
    assert promises(observations) == {"MIXED"}


def test_a_success_without_a_signature_is_found() -> None:
    observations = clean_observations()
    of_kind(observations, RequestKind.READ).stamp = ""
    assert promises(observations) == {"MIXED"}


def test_bytes_that_are_no_answer_are_found() -> None:
    observations = clean_observations()
    exchange = of_kind(observations, RequestKind.READ)
    exchange.outcome, exchange.reason = Outcome.MALFORMED, "BadStatusLine"
    assert promises(observations) == {"MIXED"}


def test_a_success_where_no_request_waits_is_found() -> None:
    observations = clean_observations()
    of_kind(observations, RequestKind.READ).stray_bytes = b"HTTP/1.1 200 OK\r\n"
    assert promises(observations) == {"MIXED"}


def test_a_failure_under_an_engine_s_signature_with_another_status_is_found() -> None:
    observations = clean_observations()
    exchange = of_kind(observations, RequestKind.READ)
    exchange.status = 502
    assert promises(observations) == {"MIXED"}


def test_an_engine_s_own_failure_may_be_passed_on() -> None:
    observations = clean_observations()
    exchange = of_kind(observations, RequestKind.READ)
    exchange.status = 500
    observations.journal_entries.append(replace(started_entry(exchange), kind="failed", status=500))
    assert promises(observations) == set()


@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.STREAM_ONCE])
def test_a_stream_that_lacks_or_repeats_an_event_is_found(kind: RequestKind) -> None:
    events = clean_observations()
    exchange = of_kind(events, kind)
    pieces = exchange.answer.split(b"\n\n")
    for broken in (pieces[:1] + pieces[2:], pieces[:2] + pieces[1:], [*pieces[:-2], b""]):
        exchange.answer = b"\n\n".join(broken)
        assert promises(events) == {"ORDER"}


def test_a_cut_stream_has_to_be_a_beginning() -> None:
    observations = clean_observations()
    exchange = of_kind(observations, RequestKind.STREAM)
    exchange.outcome = Outcome.INTERRUPTED
    exchange.answer = exchange.answer[:-5]
    assert promises(observations) == set()
    exchange.answer = exchange.answer[3:]
    assert promises(observations) == {"ORDER"}


@pytest.mark.parametrize(
    "changed",
    [{"path": "/read/else"}, {"body": "0"}, {"model": ""}, {"request_id": "nobody-s"}],
)
def test_a_run_that_nobody_asked_for_is_found(changed: dict[str, str]) -> None:
    observations = clean_observations()
    entry = started_entry(of_kind(observations, RequestKind.READ))
    observations.journal_entries.append(replace(entry, **changed))  # type: ignore[arg-type]
    assert promises(observations) == {"UNASKED"}


def probe(request_id: str, version: int, at: float) -> Exchange:
    exchange = completed_exchange(request_id, RequestKind.VERSION, at)
    exchange.version = version
    return exchange


def with_probes(*versions: int) -> Observations:
    observations = clean_observations()
    for number, version in enumerate(versions):
        exchange = probe(f"probe-{number}", version, 20.0 + number)
        observations.exchanges.append(exchange)
        observations.journal_entries.append(started_entry(exchange, exchange.sent_at))
    return observations


def test_an_older_configuration_after_a_newer_one_is_found() -> None:
    assert promises(with_probes(1, 2, 2)) == set()
    assert promises(with_probes(1, 2, 1)) == {"CONFIG"}


def test_a_new_life_may_begin_with_an_older_configuration() -> None:
    observations = with_probes(2, 1)
    observations.exits.append(ProcessExit("daemon-0", 1, 20.5, -9, signal.SIGKILL))
    assert promises(observations) == set()


def cut_beside_a_stop() -> Observations:
    observations = clean_observations()
    exchange = of_kind(observations, RequestKind.ONCE)
    exchange.outcome, exchange.status, exchange.answer, exchange.stamp = (
        Outcome.INTERRUPTED,
        0,
        b"",
        "",
    )
    observations.actions.append(injected_action(ActionKind.STOP_DAEMON, 9.0, 12.0))
    return observations


def test_a_request_that_a_planned_stop_cut_is_found() -> None:
    assert promises(cut_beside_a_stop()) == {"LOST"}


def test_a_request_that_nobody_read_may_be_lost_at_once() -> None:
    observations = cut_beside_a_stop()
    observations.journal_entries = [
        entry for entry in observations.journal_entries if entry.request_id != "request-once"
    ]
    assert promises(observations) == set()
    of_kind(observations, RequestKind.ONCE).ended_at += checks.LOSS_SLACK_SECONDS
    assert promises(observations) == {"LOST"}


def test_a_refusal_that_the_end_of_the_process_cut_is_no_loss() -> None:
    observations = cut_beside_a_stop()
    observations.journal_entries = [
        entry for entry in observations.journal_entries if entry.request_id != "request-once"
    ]
    of_kind(observations, RequestKind.ONCE).status = 503
    assert promises(observations) == set()


def test_a_cut_beside_harm_is_no_planned_one() -> None:
    observations = cut_beside_a_stop()
    observations.actions.append(injected_action(ActionKind.PAUSE_ENGINE, 8.0, 8.5, "server-0-1"))
    assert promises(observations) == set()


def test_a_cut_at_another_daemon_is_none_of_this_stop() -> None:
    observations = cut_beside_a_stop()
    of_kind(observations, RequestKind.ONCE).daemon = "daemon-1"
    assert promises(observations) == set()


@pytest.mark.parametrize("kind", ["begun", "rejected"])
def test_work_to_an_engine_that_left_is_found(kind: str) -> None:
    observations = clean_observations()
    observations.departures.append(EngineDeparture("server-0-1", 10.0))
    bound = checks.DRAIN_SECONDS + checks.DRAIN_SLACK_SECONDS
    exchange = completed_exchange("late", RequestKind.READ, 10.0 + bound)
    observations.exchanges.append(exchange)
    observations.journal_entries.append(replace(started_entry(exchange, 9.9 + bound), kind=kind))
    assert promises(observations) == set()
    observations.journal_entries.append(replace(started_entry(exchange, 10.1 + bound), kind=kind))
    assert promises(observations) == {"DRAIN"}


@pytest.mark.parametrize(
    ("code", "requested_signal", "is_unexpected"),
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
def test_a_process_that_ends_by_itself_is_found(
    code: int, requested_signal: int, is_unexpected: bool
) -> None:
    observations = clean_observations()
    observations.exits.append(ProcessExit("daemon-0", 1, 10.0, code, requested_signal))
    assert promises(observations) == ({"ENDED"} if is_unexpected else set())


@pytest.mark.parametrize(
    "sample",
    [
        ResourceSample("daemon-0", 1.0, checks.MAX_MEMORY_MB + 1, 10, 0),
        ResourceSample("daemon-0", 1.0, 10.0, checks.MAX_DESCRIPTORS + 1, 0),
        ResourceSample("daemon-0", 1.0, 10.0, 10, checks.BASE_LOG_BYTES * 2),
    ],
)
def test_use_beyond_its_bound_is_found(sample: ResourceSample) -> None:
    observations = clean_observations()
    observations.samples.append(ResourceSample("daemon-0", 0.0, 40.0, 50, 10_000))
    assert promises(observations) == set()
    observations.samples.append(sample)
    assert promises(observations) == {"BOUND"}


def with_row(row: ObservedResult) -> Observations:
    observations = clean_observations()
    observations.jobs[0].results.append(row)
    return observations


def test_a_result_that_changes_is_found() -> None:
    first = completed_job().results[0]
    assert promises(with_row(replace(first, daemon="daemon-1"))) == set()
    assert "TWICE" in promises(with_row(replace(first, daemon="daemon-1", text="else")))


def test_an_item_at_two_positions_is_found() -> None:
    first = completed_job().results[0]
    assert promises(with_row(replace(first, position=2))) == {"TWICE"}


def test_a_result_whose_text_is_not_whole_is_found() -> None:
    first = completed_job().results[0]
    row = replace(first, position=2, item_id="job-1", text="job-1-1")
    assert "MIXED" in promises(with_row(row))


def test_a_foreign_item_and_a_wrong_total_are_found() -> None:
    first = completed_job().results[0]
    assert promises(with_row(replace(first, position=2, item_id="foreign"))) == {"MIXED"}
    observations = clean_observations()
    observations.jobs[0].totals.add(3)
    assert promises(observations) == {"MIXED"}


def test_an_item_that_is_given_up_too_early_is_found() -> None:
    observations = clean_observations()
    job = observations.jobs[0]
    job.results[0] = replace(job.results[0], state="dead_lettered", text="")
    assert promises(observations) == {"MIXED"}
    failed = [item_entry(job, 0, kind="failed")] * checks.MAX_ATTEMPTS
    observations.journal_entries += failed
    assert promises(observations) == set()


def test_an_item_that_begins_long_after_its_job_ended_is_found() -> None:
    observations = clean_observations()
    job = observations.jobs[0]
    job.end_requested_at = job.ended_at = 8.0
    observations.journal_entries.append(item_entry(job, 0, 8.0 + checks.JOB_END_SECONDS))
    assert promises(observations) == set()
    late: JournalEntry = item_entry(job, 0, 8.1 + checks.JOB_END_SECONDS)
    observations.journal_entries.append(late)
    assert promises(observations) == {"UNASKED"}


def test_a_job_that_is_denied_long_after_its_acceptance_is_found() -> None:
    observations = clean_observations()
    job = observations.jobs[0]
    job.not_found_replies.append(("daemon-0", job.accepted_at + checks.SETTLE_SECONDS))
    assert promises(observations) == set()
    job.not_found_replies.append(("daemon-0", job.accepted_at + checks.SETTLE_SECONDS + 0.1))
    assert promises(observations) == {"LOST"}


def test_what_does_not_come_true_in_the_calm_end_is_found() -> None:
    observations = clean_observations()
    observations.unmet_expectations.append(("LOST", "job is not wholly listed"))
    assert promises(observations) == {"LOST"}


def ended_under(count: int, begin: float = 10.0) -> list[JournalEntry]:
    """Lines of engines that ended under one request, each as a life of its own."""
    return [
        JournalEntry(
            "ended under", f"ending-{number}", begin + number, f"server-0-{number}", ENDING
        )
        for number in range(count)
    ]


def sent_on(count: int, begin: float) -> list[JournalEntry]:
    return [
        JournalEntry(
            "begun", f"late-{number}", begin + number, f"server-1-{number}", ENDING, model="m"
        )
        for number in range(count)
    ]


ENDING = "/read/ending-0"


@pytest.mark.parametrize(("times", "is_found"), [(3, False), (4, True)])
def test_a_request_that_ends_engines_and_goes_on_is_found(times: int, is_found: bool) -> None:
    observations = clean_observations()
    observations.journal_entries = ended_under(3) + sent_on(
        times, 12.0 + checks.CRASH_KNOWN_SECONDS + 1.0
    )
    found = checks.crashing_requests_are_stopped(observations)
    assert [violation.promise for violation in found] == (["BUDGET"] if is_found else [])


def test_engines_that_a_request_reaches_before_all_can_know_are_none() -> None:
    observations = clean_observations()
    observations.journal_entries = ended_under(3) + sent_on(5, 12.5)
    assert not checks.crashing_requests_are_stopped(observations)


def test_two_ends_bind_nobody() -> None:
    observations = clean_observations()
    observations.journal_entries = ended_under(2) + sent_on(9, 30.0)
    assert not checks.crashing_requests_are_stopped(observations)


def test_an_engine_that_ended_under_a_request_did_not_end_by_itself() -> None:
    assert not ProcessExit("server-0", 1, 10.0, ENDED_CODE, 0).is_unexpected
    assert ProcessExit("server-0", 1, 10.0, 1, 0).is_unexpected


@pytest.mark.parametrize("tenant", ["", "forged"])
def test_a_run_for_another_tenant_is_found(tenant: str) -> None:
    observations = clean_observations()
    observations.journal_entries[0] = replace(observations.journal_entries[0], tenant=tenant)
    assert promises(observations) == {"UNASKED"}


def test_an_item_s_run_for_another_tenant_is_found() -> None:
    observations = clean_observations()
    observations.journal_entries[-1] = replace(observations.journal_entries[-1], tenant="forged")
    assert promises(observations) == {"UNASKED"}


def test_a_key_that_an_engine_was_shown_is_found() -> None:
    observations = clean_observations()
    observations.journal_entries[0] = replace(observations.journal_entries[0], has_key=True)
    assert promises(observations) == {"UNASKED"}


@pytest.mark.parametrize(("status", "is_found"), [(401, False), (503, False), (200, True)])
def test_a_stranger_that_is_served_is_found(status: int, is_found: bool) -> None:
    observations = clean_observations()
    stranger = replace(completed_exchange("stranger", RequestKind.READ), status=status)
    observations.unknown_key_exchanges.append(stranger)
    assert promises(observations) == ({"ROUTE"} if is_found else set())
    observations.journal_entries.append(started_entry(stranger))
    assert "ROUTE" in promises(observations)
