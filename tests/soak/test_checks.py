"""Each check reports observations that break its promise, and no others."""

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
from troutswitch.soak.part_checks import CRASH_KNOWN_SECONDS
from troutswitch.soak.processes import ProcessExit
from troutswitch.soak.schedule import ActionKind
from troutswitch.standins.model_engine import CRASH_EXIT_CODE


def violated_promises(observations: Observations) -> set[str]:
    return {violation.promise for violation in checks.find_violations(observations)}


def exchange_of_kind(observations: Observations, kind: RequestKind) -> Exchange:
    return next(exchange for exchange in observations.exchanges if exchange.kind is kind)


def test_clean_observations_have_no_violation() -> None:
    assert checks.find_violations(clean_observations()) == []


@pytest.mark.parametrize("kind", [RequestKind.ONCE, RequestKind.STREAM_ONCE])
def test_a_second_run_of_a_non_repeatable_request_is_a_violation(kind: RequestKind) -> None:
    observations = clean_observations()
    observations.journal_entries.append(started_entry(exchange_of_kind(observations, kind), 11.0))
    assert violated_promises(observations) == {"TWICE"}


@pytest.mark.parametrize("kind", [RequestKind.READ, RequestKind.STREAM])
def test_a_second_run_of_a_repeatable_request_is_allowed(kind: RequestKind) -> None:
    observations = clean_observations()
    observations.journal_entries.append(started_entry(exchange_of_kind(observations, kind), 11.0))
    assert violated_promises(observations) == set()


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refused_request_that_ran_is_a_violation(status: int) -> None:
    observations = clean_observations()
    exchange = exchange_of_kind(observations, RequestKind.ONCE)
    exchange.status, exchange.stamp, exchange.answer = status, "", b""
    assert violated_promises(observations) == {"REFUSED"}


def test_an_item_of_a_refused_job_that_ran_is_a_violation() -> None:
    observations = clean_observations()
    job = completed_job("refused")
    job.statuses, job.results, job.totals = [503, 429], [], set()
    observations.jobs.append(job)
    observations.journal_entries.append(item_entry(job, 0))
    assert violated_promises(observations) == {"REFUSED"}


def test_an_item_of_an_unanswered_job_may_run() -> None:
    observations = clean_observations()
    job = completed_job("unsure")
    job.statuses, job.results, job.totals = [503, 0], [], set()
    observations.jobs.append(job)
    observations.journal_entries.append(item_entry(job, 0))
    assert violated_promises(observations) == set()


@pytest.mark.parametrize("kind", [RequestKind.READ, RequestKind.ONCE])
def test_a_success_with_an_incomplete_answer_is_a_violation(kind: RequestKind) -> None:
    observations = clean_observations()
    exchange = exchange_of_kind(observations, kind)
    exchange.answer = exchange.answer[:-1]
    assert violated_promises(observations) == {"MIXED"}


def test_the_answer_to_another_request_is_a_violation() -> None:
    observations = clean_observations()
    other = completed_exchange("other", RequestKind.READ)
    exchange = exchange_of_kind(observations, RequestKind.READ)
    exchange.stamp, exchange.answer = other.stamp, other.answer
    assert violated_promises(observations) == {"MIXED"}


def test_an_unsigned_success_is_a_violation() -> None:
    observations = clean_observations()
    exchange_of_kind(observations, RequestKind.READ).stamp = ""
    assert violated_promises(observations) == {"MIXED"}


def test_a_malformed_answer_is_a_violation() -> None:
    observations = clean_observations()
    exchange = exchange_of_kind(observations, RequestKind.READ)
    exchange.outcome, exchange.reason = Outcome.MALFORMED, "BadStatusLine"
    assert violated_promises(observations) == {"MIXED"}


def test_a_success_on_an_idle_connection_is_a_violation() -> None:
    observations = clean_observations()
    exchange_of_kind(observations, RequestKind.READ).stray_bytes = b"HTTP/1.1 200 OK\r\n"
    assert violated_promises(observations) == {"MIXED"}


def test_a_signed_failure_with_a_status_that_the_engine_did_not_send_is_a_violation() -> None:
    observations = clean_observations()
    exchange = exchange_of_kind(observations, RequestKind.READ)
    exchange.status = 502
    assert violated_promises(observations) == {"MIXED"}


def test_a_failure_that_the_engine_sent_may_be_forwarded() -> None:
    observations = clean_observations()
    exchange = exchange_of_kind(observations, RequestKind.READ)
    exchange.status = 500
    observations.journal_entries.append(replace(started_entry(exchange), kind="failed", status=500))
    assert violated_promises(observations) == set()


@pytest.mark.parametrize("kind", [RequestKind.STREAM, RequestKind.STREAM_ONCE])
def test_a_complete_stream_with_a_missing_or_repeated_event_is_a_violation(
    kind: RequestKind,
) -> None:
    observations = clean_observations()
    exchange = exchange_of_kind(observations, kind)
    pieces = exchange.answer.split(b"\n\n")
    for broken in (pieces[:1] + pieces[2:], pieces[:2] + pieces[1:], [*pieces[:-2], b""]):
        exchange.answer = b"\n\n".join(broken)
        assert violated_promises(observations) == {"ORDER"}


def test_an_interrupted_stream_must_be_a_prefix() -> None:
    observations = clean_observations()
    exchange = exchange_of_kind(observations, RequestKind.STREAM)
    exchange.outcome = Outcome.INTERRUPTED
    exchange.answer = exchange.answer[:-5]
    assert violated_promises(observations) == set()
    exchange.answer = exchange.answer[3:]
    assert violated_promises(observations) == {"ORDER"}


@pytest.mark.parametrize(
    "changes",
    [{"path": "/read/else"}, {"body": "0"}, {"model": ""}, {"request_id": "nobody-s"}],
)
def test_a_run_that_differs_from_every_request_is_a_violation(changes: dict[str, str]) -> None:
    observations = clean_observations()
    entry = started_entry(exchange_of_kind(observations, RequestKind.READ))
    observations.journal_entries.append(replace(entry, **changes))  # type: ignore[arg-type]
    assert violated_promises(observations) == {"UNASKED"}


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


def test_an_older_configuration_after_a_newer_one_is_a_violation() -> None:
    assert violated_promises(with_probes(1, 2, 2)) == set()
    assert violated_promises(with_probes(1, 2, 1)) == {"CONFIG"}


def test_a_restarted_daemon_may_serve_an_older_configuration() -> None:
    observations = with_probes(2, 1)
    observations.exits.append(ProcessExit("daemon-0", 1, 20.5, -9, signal.SIGKILL))
    assert violated_promises(observations) == set()


def interruption_near_a_stop() -> Observations:
    observations = clean_observations()
    exchange = exchange_of_kind(observations, RequestKind.ONCE)
    exchange.outcome, exchange.status, exchange.answer, exchange.stamp = (
        Outcome.INTERRUPTED,
        0,
        b"",
        "",
    )
    observations.actions.append(injected_action(ActionKind.STOP_DAEMON, 9.0, 12.0))
    return observations


def test_a_request_that_a_planned_stop_interrupted_is_a_violation() -> None:
    assert violated_promises(interruption_near_a_stop()) == {"LOST"}


def test_an_unread_request_may_be_lost_only_shortly_after_it_was_sent() -> None:
    observations = interruption_near_a_stop()
    observations.journal_entries = [
        entry for entry in observations.journal_entries if entry.request_id != "request-once"
    ]
    assert violated_promises(observations) == set()
    exchange_of_kind(observations, RequestKind.ONCE).ended_at += checks.LOSS_SLACK_SECONDS
    assert violated_promises(observations) == {"LOST"}


def test_an_interrupted_refusal_is_no_loss() -> None:
    observations = interruption_near_a_stop()
    observations.journal_entries = [
        entry for entry in observations.journal_entries if entry.request_id != "request-once"
    ]
    exchange_of_kind(observations, RequestKind.ONCE).status = 503
    assert violated_promises(observations) == set()


def test_an_interruption_near_a_fault_is_not_attributed_to_a_planned_stop() -> None:
    observations = interruption_near_a_stop()
    observations.actions.append(injected_action(ActionKind.PAUSE_ENGINE, 8.0, 8.5, "server-0-1"))
    assert violated_promises(observations) == set()


def test_an_interruption_at_another_daemon_is_not_attributed_to_a_planned_stop() -> None:
    observations = interruption_near_a_stop()
    exchange_of_kind(observations, RequestKind.ONCE).daemon = "daemon-1"
    assert violated_promises(observations) == set()


@pytest.mark.parametrize("kind", ["begun", "rejected"])
def test_a_request_to_a_departed_engine_after_the_bound_is_a_violation(kind: str) -> None:
    observations = clean_observations()
    observations.departures.append(EngineDeparture("server-0-1", 10.0))
    bound = checks.DRAIN_SECONDS + checks.DRAIN_SLACK_SECONDS
    exchange = completed_exchange("late", RequestKind.READ, 10.0 + bound)
    observations.exchanges.append(exchange)
    observations.journal_entries.append(replace(started_entry(exchange, 9.9 + bound), kind=kind))
    assert violated_promises(observations) == set()
    observations.journal_entries.append(replace(started_entry(exchange, 10.1 + bound), kind=kind))
    assert violated_promises(observations) == {"DRAIN"}


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
def test_an_unexpected_process_exit_is_a_violation(
    code: int, requested_signal: int, is_unexpected: bool
) -> None:
    observations = clean_observations()
    observations.exits.append(ProcessExit("daemon-0", 1, 10.0, code, requested_signal))
    assert violated_promises(observations) == ({"ENDED"} if is_unexpected else set())


@pytest.mark.parametrize(
    "sample",
    [
        ResourceSample("daemon-0", 1.0, checks.MAX_MEMORY_MB + 1, 10, 0),
        ResourceSample("daemon-0", 1.0, 10.0, checks.MAX_DESCRIPTORS + 1, 0),
        ResourceSample("daemon-0", 1.0, 10.0, 10, checks.BASE_LOG_BYTES * 2),
    ],
)
def test_resource_use_above_its_bound_is_a_violation(sample: ResourceSample) -> None:
    observations = clean_observations()
    observations.samples.append(ResourceSample("daemon-0", 0.0, 40.0, 50, 10_000))
    assert violated_promises(observations) == set()
    observations.samples.append(sample)
    assert violated_promises(observations) == {"BOUND"}


def with_result(row: ObservedResult) -> Observations:
    observations = clean_observations()
    observations.jobs[0].results.append(row)
    return observations


def test_a_changed_result_is_a_violation() -> None:
    first = completed_job().results[0]
    assert violated_promises(with_result(replace(first, daemon="daemon-1"))) == set()
    assert "TWICE" in violated_promises(with_result(replace(first, daemon="daemon-1", text="else")))


def test_an_item_at_two_positions_is_a_violation() -> None:
    first = completed_job().results[0]
    assert violated_promises(with_result(replace(first, position=2))) == {"TWICE"}


def test_a_result_with_an_incomplete_text_is_a_violation() -> None:
    first = completed_job().results[0]
    row = replace(first, position=2, item_id="job-1", text="job-1-1")
    assert "MIXED" in violated_promises(with_result(row))


def test_an_item_of_another_job_and_a_wrong_total_are_violations() -> None:
    first = completed_job().results[0]
    assert violated_promises(with_result(replace(first, position=2, item_id="foreign"))) == {
        "MIXED"
    }
    observations = clean_observations()
    observations.jobs[0].totals.add(3)
    assert violated_promises(observations) == {"MIXED"}


def test_an_item_given_up_before_all_attempts_failed_is_a_violation() -> None:
    observations = clean_observations()
    job = observations.jobs[0]
    job.results[0] = replace(job.results[0], state="dead_lettered", text="")
    assert violated_promises(observations) == {"MIXED"}
    failed = [item_entry(job, 0, kind="failed")] * checks.MAX_ATTEMPTS
    observations.journal_entries += failed
    assert violated_promises(observations) == set()


def test_an_item_that_starts_long_after_the_end_of_its_job_is_a_violation() -> None:
    observations = clean_observations()
    job = observations.jobs[0]
    job.end_requested_at = job.ended_at = 8.0
    observations.journal_entries.append(item_entry(job, 0, 8.0 + checks.JOB_END_SECONDS))
    assert violated_promises(observations) == set()
    late: JournalEntry = item_entry(job, 0, 8.1 + checks.JOB_END_SECONDS)
    observations.journal_entries.append(late)
    assert violated_promises(observations) == {"UNASKED"}


def test_a_job_that_is_not_found_long_after_its_acceptance_is_a_violation() -> None:
    observations = clean_observations()
    job = observations.jobs[0]
    job.not_found_replies.append(("daemon-0", job.accepted_at + checks.SETTLE_SECONDS))
    assert violated_promises(observations) == set()
    job.not_found_replies.append(("daemon-0", job.accepted_at + checks.SETTLE_SECONDS + 0.1))
    assert violated_promises(observations) == {"LOST"}


def test_an_unmet_expectation_of_the_recovery_phase_is_a_violation() -> None:
    observations = clean_observations()
    observations.unmet_expectations.append(("LOST", "results of job are incomplete"))
    assert violated_promises(observations) == {"LOST"}


def crash_entries(count: int, begin: float = 10.0) -> list[JournalEntry]:
    """Returns journal entries of different engines that crashed under one request."""
    return [
        JournalEntry(
            "ended under", f"ending-{number}", begin + number, f"server-0-{number}", CRASHING_PATH
        )
        for number in range(count)
    ]


def late_starts(count: int, begin: float) -> list[JournalEntry]:
    return [
        JournalEntry(
            "begun",
            f"late-{number}",
            begin + number,
            f"server-1-{number}",
            CRASHING_PATH,
            model="m",
        )
        for number in range(count)
    ]


CRASHING_PATH = "/read/ending-0"


@pytest.mark.parametrize(("times", "is_violation"), [(3, False), (4, True)])
def test_a_crashing_request_that_reaches_too_many_engines_is_a_violation(
    times: int, is_violation: bool
) -> None:
    observations = clean_observations()
    observations.journal_entries = crash_entries(3) + late_starts(
        times, 12.0 + CRASH_KNOWN_SECONDS + 1.0
    )
    found = checks.crashing_requests_are_stopped(observations)
    assert [violation.promise for violation in found] == (["BUDGET"] if is_violation else [])


def test_starts_before_all_daemons_know_of_the_crashes_are_allowed() -> None:
    observations = clean_observations()
    observations.journal_entries = crash_entries(3) + late_starts(5, 12.5)
    assert not checks.crashing_requests_are_stopped(observations)


def test_a_request_that_crashed_two_engines_may_run_on() -> None:
    observations = clean_observations()
    observations.journal_entries = crash_entries(2) + late_starts(9, 30.0)
    assert not checks.crashing_requests_are_stopped(observations)


def test_the_exit_of_an_engine_that_a_request_crashed_is_not_unexpected() -> None:
    assert not ProcessExit("server-0", 1, 10.0, CRASH_EXIT_CODE, 0).is_unexpected
    assert ProcessExit("server-0", 1, 10.0, 1, 0).is_unexpected


@pytest.mark.parametrize("tenant", ["", "forged"])
def test_a_run_for_another_tenant_is_a_violation(tenant: str) -> None:
    observations = clean_observations()
    observations.journal_entries[0] = replace(observations.journal_entries[0], tenant=tenant)
    assert violated_promises(observations) == {"UNASKED"}


def test_an_item_run_for_another_tenant_is_a_violation() -> None:
    observations = clean_observations()
    observations.journal_entries[-1] = replace(observations.journal_entries[-1], tenant="forged")
    assert violated_promises(observations) == {"UNASKED"}


def test_a_key_that_an_engine_received_is_a_violation() -> None:
    observations = clean_observations()
    observations.journal_entries[0] = replace(observations.journal_entries[0], has_key=True)
    assert violated_promises(observations) == {"UNASKED"}


@pytest.mark.parametrize(("status", "is_violation"), [(401, False), (503, False), (200, True)])
def test_a_served_request_with_an_unknown_key_is_a_violation(
    status: int, is_violation: bool
) -> None:
    observations = clean_observations()
    exchange = replace(completed_exchange("stranger", RequestKind.READ), status=status)
    observations.unknown_key_exchanges.append(exchange)
    assert violated_promises(observations) == ({"ROUTE"} if is_violation else set())
    observations.journal_entries.append(started_entry(exchange))
    assert "ROUTE" in violated_promises(observations)
