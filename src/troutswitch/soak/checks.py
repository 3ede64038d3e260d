"""Checks of the promises: pure functions that map observations to violations.

The docstring of a check starts with the promise that its violations name. Checks that do not depend
on timing examine all observations. The others examine only spans without faults, in which planned
operations may happen, and use bounds far above the promised ones.
"""

from collections import defaultdict

from troutswitch.soak.answer_checks import successes_were_answered_whole
from troutswitch.soak.hard_load_checks import (
    callers_inside_their_share_are_served,
    memory_stays_under_its_limit,
    refusals_come_while_engines_are_busy,
)
from troutswitch.soak.observations import (
    AT_MOST_ONCE,
    Exchange,
    JournalEntry,
    Observations,
    ObservedJob,
    Outcome,
    RequestKind,
)
from troutswitch.soak.output_checks import is_long_item, results_are_of_one_output
from troutswitch.soak.part_checks import (
    CRASH_KNOWN_SECONDS,
    crashing_parts_are_stopped,
    is_free_of_other_faults,
    requests_beside_a_crashing_part_are_served,
)
from troutswitch.soak.schedule import FAULT_FREE_SECONDS, ActionKind
from troutswitch.soak.skew_checks import skewed_connections_are_served
from troutswitch.soak.tenant_checks import (
    runs_have_the_tenant_of_their_key,
    tenants_stay_within_their_quota,
    unknown_keys_do_not_run,
)
from troutswitch.soak.version_checks import (
    most_resumed_streams_continue,
    streams_continue_at_their_version,
)
from troutswitch.soak.violations import Check, Violation
from troutswitch.soak.writer_checks import (
    configurations_come_into_force,
    listed_engines_are_used,
    no_request_ends_with_an_internal_error,
    requests_beside_odd_records_are_served,
)
from troutswitch.standins.content import digest, event_bytes, event_texts, plain_answer

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""
CONFLICT = 409
"""Status of a submission whose id was used for other content."""
LOSS_SLACK_SECONDS = 3.0
"""Time after sending within which a request that no daemon has read may be lost. The platform's
bound is shorter, but the soak's proxies and callers lag on a busy machine: interruptions were seen
0.2 s late."""
GRACE_SECONDS = 8.0
"""`gracePeriodS` of the daemons' settings."""
DRAIN_SECONDS = 2.0
"""`drainTimeoutMs` of the daemons' settings."""
DRAIN_SLACK_SECONDS = 4.0
"""Added to the bound on a drain, as a shared machine may delay a process by seconds."""
JOB_END_SECONDS = 8.0
"""Time after a job's end until which its items may start: twice `ackTimeoutMs` of the daemons'
settings."""
SETTLE_SECONDS = 5.0
"""Time until all daemons know an accepted job: five times `settleTimeoutMs` of their settings."""
CRASHES_TO_REFUSE = 3
"""Number of engines that a request crashes before it is refused."""
MAX_LATE_STARTS = 3
"""Number of times that such a request may still reach engines after `CRASH_KNOWN_SECONDS`."""
MAX_ATTEMPTS = 3
"""`maxAttempts` of all routes."""
MAX_MEMORY_MB = 600.0
"""Bound on a daemon's memory: four daemons and their stand-ins fit in the users' 4 GB."""
MAX_DESCRIPTORS = 1000
"""Bound on a daemon's file descriptors, below the usual limit of 1024."""
BASE_LOG_BYTES = 2_000_000
"""Log volume of a daemon apart from requests: starts, stops, dependencies."""
LOG_BYTES_PER_REQUEST = 20_000
"""Log volume of one request over all daemons, about thirty lines."""


def _starts_by_request(observations: Observations) -> dict[str, list[JournalEntry]]:
    starts: dict[str, list[JournalEntry]] = defaultdict(list)
    for entry in observations.journal_entries:
        if entry.kind == "begun":
            starts[entry.request_id].append(entry)
    return starts


def at_most_once(observations: Observations) -> list[Violation]:
    """TWICE: a request that must not be repeated runs at most once."""
    starts_by_request = _starts_by_request(observations)
    return [
        Violation(
            "TWICE", exchange.request_id, f"ran {len(starts_by_request[exchange.request_id])} times"
        )
        for exchange in observations.exchanges
        if exchange.kind in AT_MOST_ONCE and len(starts_by_request.get(exchange.request_id, ())) > 1
    ]


def refused_requests_never_run(observations: Observations) -> list[Violation]:
    """REFUSED: a request that must not be repeated never runs if it was answered "not run"."""
    starts_by_request = _starts_by_request(observations)
    found = [
        Violation("REFUSED", exchange.request_id, f"answered {exchange.status}, and ran")
        for exchange in observations.exchanges
        if exchange.kind in AT_MOST_ONCE
        and exchange.status in NOT_RUN_STATUSES
        and exchange.request_id in starts_by_request
    ]
    for job in observations.jobs:
        is_refused = job.statuses and all(status in NOT_RUN_STATUSES for status in job.statuses)
        if is_refused:
            ran = [item for item in job.items if item in starts_by_request]
            found += [Violation("REFUSED", item, "its job was refused, and it ran") for item in ran]
    return found


def one_content_of_an_id_runs(observations: Observations) -> list[Violation]:
    """UNASKED, MIXED: of two contents that are sent under one job's id, one runs at most.

    The other one is answered 409, which says that the id was used for other content.
    """
    starts_by_request = _starts_by_request(observations)
    ran: dict[str, list[ObservedJob]] = defaultdict(list)
    for job in observations.jobs:
        if any(item in starts_by_request for item in job.items):
            ran[job.job_id].append(job)
    found = [
        Violation("MIXED", job_id, "items of two contents ran")
        for job_id, jobs in ran.items()
        if len(jobs) > 1
    ]
    return found + [
        Violation("UNASKED", job.job_id, "was answered 409, and ran")
        for jobs in ran.values()
        for job in jobs
        if job.statuses[-1:] == [CONFLICT]
    ]


def successes_are_complete(observations: Observations) -> list[Violation]:
    """MIXED, ORDER: a success is the complete, signed answer to its own request.

    Malformed answers and successes on idle connections are violations too.
    """
    found: list[Violation] = []
    for exchange in observations.exchanges:
        if exchange.stray_bytes.startswith(b"HTTP/") and b" 2" in exchange.stray_bytes[:12]:
            found.append(Violation("MIXED", exchange.request_id, "a success on an idle connection"))
        if exchange.outcome is Outcome.MALFORMED:
            found.append(
                Violation("MIXED", exchange.request_id, f"malformed answer: {exchange.reason}")
            )
        if exchange.outcome is Outcome.COMPLETE and 200 <= exchange.status < 300:
            found += _check_success(exchange)
    return found


def _check_success(exchange: Exchange) -> list[Violation]:
    if not exchange.stamp.endswith(f".{exchange.request_id}"):
        return [Violation("MIXED", exchange.request_id, f"signed {exchange.stamp!r}")]
    if exchange.kind in (RequestKind.STREAM, RequestKind.STREAM_ONCE):
        return _check_stream(exchange)
    if exchange.answer != plain_answer(exchange.request_id, exchange.body):
        return [
            Violation(
                "MIXED",
                exchange.request_id,
                f"{len(exchange.answer)} bytes that are not its answer",
            )
        ]
    return []


def _check_stream(exchange: Exchange) -> list[Violation]:
    if exchange.answer == b"".join(event_bytes(exchange.request_id, exchange.resumed_after)):
        return []
    return [Violation("ORDER", exchange.request_id, "complete, but not its whole stream")]


def interrupted_streams_are_prefixes(observations: Observations) -> list[Violation]:
    """ORDER: the received part of an interrupted stream is a prefix of the stream."""
    return [
        Violation(
            "ORDER", exchange.request_id, "an interrupted stream is not a prefix of its events"
        )
        for exchange in observations.exchanges
        if exchange.kind in (RequestKind.STREAM, RequestKind.STREAM_ONCE)
        and exchange.outcome is Outcome.INTERRUPTED
        and exchange.status == 200
        and not b"".join(event_bytes(exchange.request_id, exchange.resumed_after)).startswith(
            exchange.answer
        )
    ]


def engine_failures_keep_their_status(observations: Observations) -> list[Violation]:
    """MIXED: a failure that an engine signed has the status that the engine sent."""
    failed = {entry.request_id for entry in observations.journal_entries if entry.kind == "failed"}
    return [
        Violation(
            "MIXED", exchange.request_id, f"status {exchange.status} under a server's signature"
        )
        for exchange in observations.exchanges
        if exchange.outcome is Outcome.COMPLETE
        and exchange.stamp
        and exchange.status >= 300
        and not (exchange.status == 500 and exchange.request_id in failed)
    ]


def engines_run_only_what_was_sent(observations: Observations) -> list[Violation]:
    """UNASKED: engines run only requests that callers sent, unchanged."""
    sent = {
        exchange.request_id: (exchange.path, digest(exchange.body))
        for exchange in observations.exchanges
    }
    for job in observations.jobs:
        for number, (item, body) in enumerate(job.items.items()):
            sent[item] = (item_path(job.job_id, number), digest(body))
    return [
        Violation(
            "UNASKED", entry.request_id, f"{entry.engine} ran {entry.path}, not what was sent"
        )
        for entry in observations.journal_entries
        if entry.kind == "begun"
        and (sent.get(entry.request_id) != (entry.path, entry.body) or entry.model != "m")
    ]


def item_path(job_id: str, number: int) -> str:
    """Returns the path of a batch item."""
    return f"/item/{job_id}/{number}"


def configuration_never_reverts(observations: Observations) -> list[Violation]:
    """CONFIG: a daemon process that has served a version serves no older one afterwards."""
    found: list[Violation] = []
    exits = defaultdict(list)
    for process_exit in observations.exits:
        exits[process_exit.name].append(process_exit.exited_at)
    probes: dict[str, list[Exchange]] = defaultdict(list)
    for exchange in observations.exchanges:
        if (
            exchange.kind is RequestKind.VERSION
            and exchange.status == 200
            and exchange.outcome is Outcome.COMPLETE
        ):
            probes[exchange.daemon].append(exchange)
    for daemon, rows in probes.items():
        for newer in rows:
            exited_at = min(
                (at for at in exits[daemon] if at > newer.ended_at), default=float("inf")
            )
            found += [
                Violation("CONFIG", daemon, f"version {older.version} after {newer.version}")
                for older in rows
                if older.version < newer.version and newer.ended_at < older.sent_at < exited_at
            ]
    return found


def planned_stops_interrupt_nothing(observations: Observations) -> list[Violation]:
    """LOST: around a planned stop or reload, a request that was read gets its complete answer."""
    starts_by_request = _starts_by_request(observations)
    found: list[Violation] = []
    for span in observations.actions:
        if span.scheduled.kind not in (ActionKind.STOP_DAEMON, ActionKind.RELOAD_DAEMON):
            continue
        for exchange in observations.exchanges:
            if _is_lost(
                observations,
                exchange,
                span.target,
                span.begin,
                exchange.request_id in starts_by_request,
            ):
                what = (
                    f"{exchange.outcome} {exchange.ended_at - span.begin:.2f} s after "
                    f"{span.scheduled.kind} of {span.target}, "
                    f"{exchange.ended_at - exchange.sent_at:.2f} s after it was sent: "
                    f"{exchange.reason}"
                )
                found.append(Violation("LOST", exchange.request_id, what))
    return found


def _is_lost(
    observations: Observations,
    exchange: Exchange,
    target: str,
    stop_at: float,
    reached_engine: bool,
) -> bool:
    """Returns whether a planned stop interrupted a request that had been read.

    A request counts as read if it reached an engine, if its answer began with status 200, or if it
    was open for longer than `LOSS_SLACK_SECONDS`.
    """
    if exchange.daemon != target or exchange.outcome not in (
        Outcome.INTERRUPTED,
        Outcome.MALFORMED,
    ):
        return False
    if not stop_at - GRACE_SECONDS <= exchange.sent_at <= stop_at + GRACE_SECONDS:
        return False
    if not stop_at <= exchange.ended_at <= stop_at + GRACE_SECONDS + 1.0:
        return False
    if not observations.is_fault_free(exchange.sent_at - FAULT_FREE_SECONDS, exchange.ended_at):
        return False
    return (
        reached_engine
        or exchange.status == 200
        or exchange.ended_at - exchange.sent_at > LOSS_SLACK_SECONDS
    )


def no_work_to_a_leaving_engine(observations: Observations) -> list[Violation]:
    """DRAIN: no request reaches an engine after the bound on its drain or removal."""
    found: list[Violation] = []
    for departure in observations.departures:
        late = departure.acknowledged_at + DRAIN_SECONDS + DRAIN_SLACK_SECONDS
        found += [
            Violation(
                "DRAIN",
                entry.request_id,
                f"{entry.written_at - departure.acknowledged_at:.1f} s after {entry.engine} left",
            )
            for entry in observations.journal_entries
            if entry.kind in ("begun", "rejected")
            and entry.engine == departure.engine
            and entry.written_at > late
            and observations.is_fault_free(
                departure.acknowledged_at - FAULT_FREE_SECONDS, entry.written_at
            )
        ]
    return found


def no_unexpected_exits(observations: Observations) -> list[Violation]:
    """ENDED: a process exits only on request, and a planned stop by code 0 or by SIGTERM."""
    return [
        Violation(
            "ENDED",
            process_exit.name,
            f"incarnation {process_exit.incarnation} exited with code {process_exit.code}",
        )
        for process_exit in observations.exits
        if process_exit.is_unexpected
    ]


def resource_use_is_bounded(observations: Observations) -> list[Violation]:
    """BOUND: memory, file descriptors and log volume of daemons stay within their bounds."""
    max_log_bytes = BASE_LOG_BYTES + LOG_BYTES_PER_REQUEST * len(observations.exchanges)
    found: list[Violation] = []
    for sample in observations.samples:
        if sample.memory_mb > MAX_MEMORY_MB:
            found.append(Violation("BOUND", sample.process, f"{sample.memory_mb:.0f} MB"))
        if sample.descriptors > MAX_DESCRIPTORS:
            found.append(Violation("BOUND", sample.process, f"{sample.descriptors} descriptors"))
        if sample.log_bytes > max_log_bytes:
            found.append(Violation("BOUND", sample.process, f"{sample.log_bytes} bytes of log"))
    return found


def results_are_stable(observations: Observations) -> list[Violation]:
    """TWICE, MIXED: each position keeps one complete result, of one item of its own job."""
    found: list[Violation] = []
    for job in observations.jobs:
        found += _check_positions(job) + _check_results(observations, job)
    return found


def _check_positions(job: ObservedJob) -> list[Violation]:
    found: list[Violation] = []
    contents: dict[int, tuple[str, str, str]] = {}
    positions: dict[str, int] = {}
    for row in job.results:
        content = (row.item_id, row.state, row.text)
        if contents.setdefault(row.position, content) != content:
            found.append(Violation("TWICE", job.job_id, f"position {row.position} has changed"))
        if positions.setdefault(row.item_id, row.position) != row.position:
            found.append(Violation("TWICE", row.item_id, "is listed at two positions"))
    if job.totals - {len(job.items)}:
        found.append(Violation("MIXED", job.job_id, f"totals {sorted(job.totals)}"))
    return found


def _check_results(observations: Observations, job: ObservedJob) -> list[Violation]:
    found: list[Violation] = []
    failures: dict[str, int] = defaultdict(int)
    for entry in observations.journal_entries:
        failures[entry.request_id] += entry.kind == "failed"
    for row in job.results:
        if row.item_id not in job.items:
            found.append(Violation("MIXED", row.item_id, f"is not an item of {job.job_id}"))
        elif row.state == "completed" and is_long_item(job.items[row.item_id]):
            continue  # checked by `results_are_of_one_output`
        elif row.state == "completed":
            if row.text != "\n".join(event_texts(row.item_id)):
                found.append(Violation("MIXED", row.item_id, "its text is not its complete answer"))
        elif failures[row.item_id] < MAX_ATTEMPTS and not job.end_requested_at:
            found.append(
                Violation("MIXED", row.item_id, "given up before its attempts were used up")
            )
    return found


def accepted_jobs_are_found(observations: Observations) -> list[Violation]:
    """LOST: no daemon answers that a job does not exist long after it was accepted."""
    return [
        Violation("LOST", job.job_id, f"{daemon} answered that there is no such job")
        for job in observations.jobs
        for daemon, at in job.not_found_replies
        if job.accepted_at
        and at > job.accepted_at + SETTLE_SECONDS
        and observations.is_fault_free(at - SETTLE_SECONDS, at)
    ]


def ended_jobs_start_nothing(observations: Observations) -> list[Violation]:
    """UNASKED: no item of an ended job starts after `JOB_END_SECONDS`."""
    owners = {item: job for job in observations.jobs if job.ended_at for item in job.items}
    return [
        Violation("UNASKED", entry.request_id, "started long after its job had ended")
        for entry in observations.journal_entries
        if entry.kind == "begun"
        and entry.request_id in owners
        and entry.written_at > owners[entry.request_id].ended_at + JOB_END_SECONDS
        and observations.is_fault_free(entry.written_at - JOB_END_SECONDS, entry.written_at)
    ]


def crashing_requests_are_stopped(observations: Observations) -> list[Violation]:
    """BUDGET: a request that crashed three engines reaches few more once all daemons know it."""
    found: list[Violation] = []
    crash_times: dict[str, list[float]] = defaultdict(list)
    for entry in observations.journal_entries:
        if entry.kind == "ended under":
            crash_times[entry.path].append(entry.written_at)
    for path, times in crash_times.items():
        if len(times) < CRASHES_TO_REFUSE:
            continue
        known_at = sorted(times)[CRASHES_TO_REFUSE - 1] + CRASH_KNOWN_SECONDS
        late = [
            entry
            for entry in observations.journal_entries
            if entry.kind == "begun"
            and entry.path == path
            and entry.written_at > known_at
            and is_free_of_other_faults(
                observations, entry.written_at - CRASH_KNOWN_SECONDS, entry.written_at
            )
        ]
        if len(late) > MAX_LATE_STARTS:
            found.append(Violation("BUDGET", path, f"was sent to servers {len(late)} times more"))
    return found


def recovery_succeeds(observations: Observations) -> list[Violation]:
    """RECOVER, CONFIG, LOST, BUDGET, SOAK: all expectations that the soak recorded were met.

    These are the expectations of the recovery phase, and that no caller of the soak dies.
    """
    return [
        Violation(promise, "calm end", what) for promise, what in observations.unmet_expectations
    ]


CHECKS: tuple[Check, ...] = (
    at_most_once,
    refused_requests_never_run,
    one_content_of_an_id_runs,
    successes_are_complete,
    successes_were_answered_whole,
    interrupted_streams_are_prefixes,
    engine_failures_keep_their_status,
    engines_run_only_what_was_sent,
    configuration_never_reverts,
    planned_stops_interrupt_nothing,
    no_work_to_a_leaving_engine,
    no_unexpected_exits,
    resource_use_is_bounded,
    results_are_stable,
    results_are_of_one_output,
    accepted_jobs_are_found,
    ended_jobs_start_nothing,
    crashing_requests_are_stopped,
    crashing_parts_are_stopped,
    requests_beside_a_crashing_part_are_served,
    runs_have_the_tenant_of_their_key,
    unknown_keys_do_not_run,
    tenants_stay_within_their_quota,
    callers_inside_their_share_are_served,
    refusals_come_while_engines_are_busy,
    memory_stays_under_its_limit,
    streams_continue_at_their_version,
    most_resumed_streams_continue,
    skewed_connections_are_served,
    no_request_ends_with_an_internal_error,
    requests_beside_odd_records_are_served,
    listed_engines_are_used,
    configurations_come_into_force,
    recovery_succeeds,
)


def find_violations(observations: Observations) -> list[Violation]:
    """Returns the violations that all checks find."""
    return [violation for check in CHECKS for violation in check(observations)]
