"""Observations of a soak as tests need them: all well, until a test breaks one."""

from troutswitch.soak.checks import item_path
from troutswitch.soak.evidence import (
    Evidence,
    Exchange,
    JobSeen,
    Kind,
    Outcome,
    ResultSeen,
    Run,
    StruckSpan,
)
from troutswitch.soak.schedule import Action, LinkFault, Strike
from troutswitch.soak.tenants import tenant_of
from troutswitch.standins.content import digest, event_bytes, event_texts, plain_answer

ENGINE = "server-0-1"


def answered(request_id: str, kind: Kind, at: float = 10.0, daemon: str = "daemon-0") -> Exchange:
    """A request with its whole answer."""
    is_stream = kind in (Kind.STREAM, Kind.STREAM_ONCE)
    events = b"".join(event_bytes(request_id))
    return Exchange(
        request_id,
        kind,
        f"/{kind}/{request_id}",
        b"body",
        daemon,
        at,
        outcome=Outcome.WHOLE,
        ended_at=at + 0.1,
        status=200,
        stamp=f"{ENGINE}.{request_id}",
        answer=events if is_stream else plain_answer(request_id, b"body"),
    )


def run_of(held: Exchange, at: float = 10.05) -> Run:
    """The line that an engine wrote as it began a request."""
    return Run(
        "begun",
        held.request_id,
        at,
        ENGINE,
        held.path,
        digest(held.body),
        "m",
        tenant=tenant_of(held.request_id),
    )


def listed_job(job_id: str = "job") -> JobSeen:
    """An accepted job with both results read."""
    items = {f"{job_id}-0": b"a", f"{job_id}-1": b"b"}
    job = JobSeen(job_id, items, 5.0, statuses=[202], accepted_at=5.5, totals={2})
    job.results = [
        ResultSeen("daemon-0", position, item, "completed", "\n".join(event_texts(item)))
        for position, item in enumerate(items)
    ]
    return job


def item_run(job: JobSeen, number: int, at: float = 6.0, kind: str = "begun") -> Run:
    """The line of an engine that began an item."""
    item = list(job.items)[number]
    path = item_path(job.job_id, number)
    return Run(
        kind, item, at, ENGINE, path, digest(job.items[item]), "m", tenant=tenant_of(job.job_id)
    )


def struck(action: Action, begin: float, end: float, target: str = "daemon-0") -> StruckSpan:
    """A strike that happened."""
    is_planned = action in (Action.STOP_DAEMON, Action.RELOAD_DAEMON)
    strike = Strike(begin, action, 0, end - begin, 0.5, LinkFault.DELAY, is_planned)
    return StruckSpan(strike, target, begin, end)


def all_well() -> Evidence:
    """One request of each kind and one job, all as promised."""
    evidence = Evidence(0.0)
    for kind in (Kind.READ, Kind.ONCE, Kind.STREAM, Kind.STREAM_ONCE):
        held = answered(f"request-{kind}", kind)
        evidence.exchanges.append(held)
        evidence.runs.append(run_of(held))
    job = listed_job()
    evidence.jobs.append(job)
    evidence.runs += [item_run(job, 0), item_run(job, 1)]
    return evidence
