"""The promises, each a pure function from what was seen to the violations found.

Checks that hold whatever the timing look at all evidence. Those that hold only while nothing
but planned work goes on look at calm spans, with bounds far above the promised ones.
"""

from collections import defaultdict

from troutswitch.soak.evidence import (
    AT_MOST_ONCE,
    Evidence,
    Exchange,
    JobSeen,
    Kind,
    Outcome,
    Run,
)
from troutswitch.soak.schedule import CONTACT_SECONDS, Action
from troutswitch.soak.tenant_checks import only_for_its_tenant, strangers_do_not_run
from troutswitch.soak.violations import Check, Violation
from troutswitch.standins.content import digest, event_bytes, event_texts, plain_answer

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""
LOSS_SLACK_SECONDS = 3.0
"""A request that nobody read may be lost this long after it was sent. The platform's bound is
shorter; the soak's own proxies and callers lag on a full machine (cuts were seen 0.2 s late)."""
GRACE_SECONDS = 8.0
"""`gracePeriodS` of the daemons' settings."""
DRAIN_SECONDS = 2.0
"""`drainTimeoutMs` of the daemons' settings."""
DRAIN_SLACK_SECONDS = 4.0
"""Generous beside the bound: a shared machine may hold a process up for seconds."""
CANCEL_SECONDS = 8.0
"""Bound on new runs of an ended job's items: twice `ackTimeoutMs` of the daemons' settings."""
SETTLE_SECONDS = 5.0
"""Bound on a daemon's hearing of a job: five times `settleTimeoutMs` of the settings."""
CRASHES_TO_REFUSE = 3
"""Engines that may end under a request before it is refused."""
KNOWN_SECONDS = 6.0
"""Time by which all daemons know of an engine's end: twice `contactMs` of the daemons' settings."""
SENT_ON_MOST = 3
"""Times that such a request may reach engines after that."""
ATTEMPTS_MOST = 3
"""`maxAttempts` of all routes."""
MEMORY_MB_MOST = 600.0
"""Bound on a daemon's memory: four daemons in the users' 4 GB with their stand-ins."""
DESCRIPTORS_MOST = 1000
"""Bound on a daemon's descriptors, below the usual limit of 1024."""
LOG_BYTES_BASE = 2_000_000
"""Log volume of a daemon beside its requests: start, stops, dependencies."""
LOG_BYTES_REQUEST = 20_000
"""Log volume that one request may cost over all daemons, about thirty lines."""


def _begun(evidence: Evidence) -> dict[str, list[Run]]:
    held: dict[str, list[Run]] = defaultdict(list)
    for run in evidence.runs:
        if run.kind == "begun":
            held[run.request_id].append(run)
    return held


def at_most_once(evidence: Evidence) -> list[Violation]:
    """TWICE: a request that must not be repeated runs once at most."""
    begun = _begun(evidence)
    return [
        Violation("TWICE", held.request_id, f"ran {len(begun[held.request_id])} times")
        for held in evidence.exchanges
        if held.kind in AT_MOST_ONCE and len(begun.get(held.request_id, ())) > 1
    ]


def true_refusals(evidence: Evidence) -> list[Violation]:
    """REFUSED: a request that must not be repeated and was answered "not run" never runs."""
    begun = _begun(evidence)
    found = [
        Violation("REFUSED", held.request_id, f"answered {held.status}, and ran")
        for held in evidence.exchanges
        if held.kind in AT_MOST_ONCE
        and held.status in PROMISES_NOT_RUN
        and held.request_id in begun
    ]
    for job in evidence.jobs:
        is_refused = job.statuses and all(status in PROMISES_NOT_RUN for status in job.statuses)
        if is_refused:
            ran = [item for item in job.items if item in begun]
            found += [Violation("REFUSED", item, "its job was refused, and it ran") for item in ran]
    return found


def whole_answers(evidence: Evidence) -> list[Violation]:
    """MIXED: a success is the whole answer to its own request, signed; nothing comes unasked."""
    found: list[Violation] = []
    for held in evidence.exchanges:
        if held.stray.startswith(b"HTTP/") and b" 2" in held.stray[:12]:
            found.append(Violation("MIXED", held.request_id, "a success where no request waits"))
        if held.outcome is Outcome.MALFORMED:
            found.append(Violation("MIXED", held.request_id, f"no answer: {held.reason}"))
        if held.outcome is Outcome.WHOLE and 200 <= held.status < 300:
            found += _whole_success(held)
    return found


def _whole_success(held: Exchange) -> list[Violation]:
    if not held.stamp.endswith(f".{held.request_id}"):
        return [Violation("MIXED", held.request_id, f"signed {held.stamp!r}")]
    if held.kind in (Kind.STREAM, Kind.STREAM_ONCE):
        return _whole_stream(held)
    if held.answer != plain_answer(held.request_id, held.body):
        return [Violation("MIXED", held.request_id, f"{len(held.answer)} bytes, not its answer")]
    return []


def _whole_stream(held: Exchange) -> list[Violation]:
    if held.answer == b"".join(event_bytes(held.request_id)):
        return []
    return [Violation("ORDER", held.request_id, "complete without being its whole stream")]


def streams_in_order(evidence: Evidence) -> list[Violation]:
    """ORDER: what came of a stream that was cut is a beginning of it, nothing else."""
    return [
        Violation("ORDER", held.request_id, "a cut stream is no beginning of its events")
        for held in evidence.exchanges
        if held.kind in (Kind.STREAM, Kind.STREAM_ONCE)
        and held.outcome is Outcome.CUT
        and held.status == 200
        and not b"".join(event_bytes(held.request_id)).startswith(held.answer)
    ]


def failures_as_given(evidence: Evidence) -> list[Violation]:
    """MIXED: a failure that an engine signed has the status that the engine gave."""
    failed = {run.request_id for run in evidence.runs if run.kind == "failed"}
    return [
        Violation("MIXED", held.request_id, f"status {held.status} under a server's signature")
        for held in evidence.exchanges
        if held.outcome is Outcome.WHOLE
        and held.stamp
        and held.status >= 300
        and not (held.status == 500 and held.request_id in failed)
    ]


def only_what_was_asked(evidence: Evidence) -> list[Violation]:
    """UNASKED: engines run what callers sent, unchanged."""
    asked = {held.request_id: (held.path, digest(held.body)) for held in evidence.exchanges}
    for job in evidence.jobs:
        for number, (item, body) in enumerate(job.items.items()):
            asked[item] = (item_path(job.job_id, number), digest(body))
    return [
        Violation("UNASKED", run.request_id, f"{run.engine} ran {run.path}, not what was sent")
        for run in evidence.runs
        if run.kind == "begun"
        and (asked.get(run.request_id) != (run.path, run.body) or run.model != "m")
    ]


def item_path(job_id: str, number: int) -> str:
    """Returns the path of a batch item."""
    return f"/item/{job_id}/{number}"


def no_regress(evidence: Evidence) -> list[Violation]:
    """CONFIG: a daemon that served a version serves no older one in the same life."""
    found: list[Violation] = []
    ends = defaultdict(list)
    for end in evidence.ends:
        ends[end.name].append(end.at)
    probes: dict[str, list[Exchange]] = defaultdict(list)
    for held in evidence.exchanges:
        if held.kind is Kind.VERSION and held.status == 200 and held.outcome is Outcome.WHOLE:
            probes[held.daemon].append(held)
    for daemon, rows in probes.items():
        for newer in rows:
            over = min((at for at in ends[daemon] if at > newer.ended_at), default=float("inf"))
            found += [
                Violation("CONFIG", daemon, f"version {older.version} after {newer.version}")
                for older in rows
                if older.version < newer.version and newer.ended_at < older.sent_at < over
            ]
    return found


def planned_stops_cut_nothing(evidence: Evidence) -> list[Violation]:
    """LOST: around a planned stop or reload, a request that was read gets its whole answer."""
    begun = _begun(evidence)
    found: list[Violation] = []
    for span in evidence.strikes:
        if span.strike.action not in (Action.STOP_DAEMON, Action.RELOAD_DAEMON):
            continue
        for held in evidence.exchanges:
            if _is_lost(evidence, held, span.target, span.begin, held.request_id in begun):
                what = (
                    f"{held.outcome} {held.ended_at - span.begin:.2f} s after "
                    f"{span.strike.action} of {span.target}, {held.ended_at - held.sent_at:.2f} s "
                    f"after it was sent: {held.reason}"
                )
                found.append(Violation("LOST", held.request_id, what))
    return found


def _is_lost(
    evidence: Evidence, held: Exchange, target: str, stop_at: float, was_sent_on: bool
) -> bool:
    if held.daemon != target or held.outcome not in (Outcome.CUT, Outcome.MALFORMED):
        return False
    if not stop_at - GRACE_SECONDS <= held.sent_at <= stop_at + GRACE_SECONDS:
        return False
    if not stop_at <= held.ended_at <= stop_at + GRACE_SECONDS + 1.0:
        return False
    if not evidence.is_calm(held.sent_at - CONTACT_SECONDS, held.ended_at):
        return False
    return was_sent_on or held.status == 200 or held.ended_at - held.sent_at > LOSS_SLACK_SECONDS


def no_work_to_a_leaving_engine(evidence: Evidence) -> list[Violation]:
    """DRAIN: after its bound nothing more begins at an engine that said that it leaves."""
    found: list[Violation] = []
    for left in evidence.left:
        late = left.at + DRAIN_SECONDS + DRAIN_SLACK_SECONDS
        found += [
            Violation("DRAIN", run.request_id, f"{run.at - left.at:.1f} s after {run.engine} left")
            for run in evidence.runs
            if run.kind in ("begun", "rejected")
            and run.engine == left.engine
            and run.at > late
            and evidence.is_calm(left.at - CONTACT_SECONDS, run.at)
        ]
    return found


def no_own_ends(evidence: Evidence) -> list[Violation]:
    """A process ends only when it is asked to, and a planned stop ends with code 0."""
    return [
        Violation("ENDED", end.name, f"life {end.incarnation} ended with code {end.code}")
        for end in evidence.ends
        if end.is_own
    ]


def bounded_use(evidence: Evidence) -> list[Violation]:
    """Memory, descriptors and log volume of daemons stay within their bounds."""
    log_most = LOG_BYTES_BASE + LOG_BYTES_REQUEST * len(evidence.exchanges)
    found: list[Violation] = []
    for sample in evidence.samples:
        if sample.memory_mb > MEMORY_MB_MOST:
            found.append(Violation("BOUND", sample.process, f"{sample.memory_mb:.0f} MB"))
        if sample.descriptors > DESCRIPTORS_MOST:
            found.append(Violation("BOUND", sample.process, f"{sample.descriptors} descriptors"))
        if sample.log_bytes > log_most:
            found.append(Violation("BOUND", sample.process, f"{sample.log_bytes} bytes of log"))
    return found


def results_keep(evidence: Evidence) -> list[Violation]:
    """TWICE, MIXED: a position holds one result for good, whole, of one item of its own job."""
    found: list[Violation] = []
    for job in evidence.jobs:
        found += _one_result_each(job) + _whole_results(evidence, job)
    return found


def _one_result_each(job: JobSeen) -> list[Violation]:
    found: list[Violation] = []
    held: dict[int, tuple[str, str, str]] = {}
    places: dict[str, int] = {}
    for row in job.results:
        content = (row.item_id, row.state, row.text)
        if held.setdefault(row.position, content) != content:
            found.append(Violation("TWICE", job.job_id, f"position {row.position} has changed"))
        if places.setdefault(row.item_id, row.position) != row.position:
            found.append(Violation("TWICE", row.item_id, "stands at two positions"))
    if job.totals - {len(job.items)}:
        found.append(Violation("MIXED", job.job_id, f"totals {sorted(job.totals)}"))
    return found


def _whole_results(evidence: Evidence, job: JobSeen) -> list[Violation]:
    found: list[Violation] = []
    failures: dict[str, int] = defaultdict(int)
    for run in evidence.runs:
        failures[run.request_id] += run.kind == "failed"
    for row in job.results:
        if row.item_id not in job.items:
            found.append(Violation("MIXED", row.item_id, f"is no item of {job.job_id}"))
        elif row.state == "completed":
            if row.text != "\n".join(event_texts(row.item_id)):
                found.append(Violation("MIXED", row.item_id, "its text is not whole"))
        elif failures[row.item_id] < ATTEMPTS_MOST and not job.end_asked_at:
            found.append(Violation("MIXED", row.item_id, "given up too early"))
    return found


def jobs_are_found(evidence: Evidence) -> list[Violation]:
    """LOST: no daemon denies a job long after it was accepted."""
    return [
        Violation("LOST", job.job_id, f"{daemon} answered that there is no such job")
        for job in evidence.jobs
        for daemon, at in job.denied
        if job.accepted_at
        and at > job.accepted_at + SETTLE_SECONDS
        and evidence.is_calm(at - SETTLE_SECONDS, at)
    ]


def ended_jobs_stop(evidence: Evidence) -> list[Violation]:
    """UNASKED: no item of an ended job begins after the bound."""
    owners = {item: job for job in evidence.jobs if job.ended_at for item in job.items}
    return [
        Violation("UNASKED", run.request_id, "began long after its job had ended")
        for run in evidence.runs
        if run.kind == "begun"
        and run.request_id in owners
        and run.at > owners[run.request_id].ended_at + CANCEL_SECONDS
        and evidence.is_calm(run.at - CANCEL_SECONDS, run.at)
    ]


def ending_requests_stop(evidence: Evidence) -> list[Violation]:
    """BUDGET: a request under which three engines ended reaches few more once all can know."""
    found: list[Violation] = []
    ended: dict[str, list[float]] = defaultdict(list)
    for run in evidence.runs:
        if run.kind == "ended under":
            ended[run.path].append(run.at)
    for path, times in ended.items():
        if len(times) < CRASHES_TO_REFUSE:
            continue
        known_at = sorted(times)[CRASHES_TO_REFUSE - 1] + KNOWN_SECONDS
        late = [
            run
            for run in evidence.runs
            if run.kind == "begun"
            and run.path == path
            and run.at > known_at
            and _is_quiet(evidence, run.at - KNOWN_SECONDS, run.at)
        ]
        if len(late) > SENT_ON_MOST:
            found.append(Violation("BUDGET", path, f"was sent to servers {len(late)} times more"))
    return found


def _is_quiet(evidence: Evidence, begin: float, end: float) -> bool:
    """Tells whether nothing but ending requests and planned work touched a span."""
    return not any(
        span.begin <= end and span.end >= begin
        for span in evidence.strikes
        if not span.strike.is_planned and span.strike.action is not Action.ENDING_REQUEST
    )


def calm_end(evidence: Evidence) -> list[Violation]:
    """RECOVER, CONFIG, LOST: what must come true once all faults are over, and didn't."""
    return [Violation(promise, "calm end", what) for promise, what in evidence.unmet]


CHECKS: tuple[Check, ...] = (
    at_most_once,
    true_refusals,
    whole_answers,
    streams_in_order,
    failures_as_given,
    only_what_was_asked,
    no_regress,
    planned_stops_cut_nothing,
    no_work_to_a_leaving_engine,
    no_own_ends,
    bounded_use,
    results_keep,
    jobs_are_found,
    ended_jobs_stop,
    ending_requests_stop,
    only_for_its_tenant,
    strangers_do_not_run,
    calm_end,
)


def find_violations(evidence: Evidence) -> list[Violation]:
    """Runs all checks."""
    return [violation for check in CHECKS for violation in check(evidence)]
