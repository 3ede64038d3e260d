"""Builders of soak observations that break no promise; tests modify them to break one."""

from troutswitch.soak.checks import item_path
from troutswitch.soak.observations import (
    Exchange,
    InjectedAction,
    JournalEntry,
    Observations,
    ObservedJob,
    ObservedResult,
    Outcome,
    RequestKind,
)
from troutswitch.soak.schedule import ActionKind, LinkFault, ScheduledAction
from troutswitch.soak.tenants import tenant_of
from troutswitch.standins.content import digest, event_bytes, event_texts, plain_answer

ENGINE = "server-0-1"


def completed_exchange(
    request_id: str, kind: RequestKind, at: float = 10.0, daemon: str = "daemon-0"
) -> Exchange:
    """Returns an exchange with the complete answer."""
    is_stream = kind in (RequestKind.STREAM, RequestKind.STREAM_ONCE)
    events = b"".join(event_bytes(request_id))
    return Exchange(
        request_id,
        kind,
        f"/{kind}/{request_id}",
        b"body",
        daemon,
        at,
        outcome=Outcome.COMPLETE,
        ended_at=at + 0.1,
        status=200,
        stamp=f"{ENGINE}.{request_id}",
        answer=events if is_stream else plain_answer(request_id, b"body"),
    )


def started_entry(exchange: Exchange, at: float = 10.05) -> JournalEntry:
    """Returns the journal entry of an engine that started a request."""
    return JournalEntry(
        "begun",
        exchange.request_id,
        at,
        ENGINE,
        exchange.path,
        digest(exchange.body),
        "m",
        tenant=tenant_of(exchange.request_id),
    )


def answered_entry(
    request_id: str, at: float = 10.06, status: int = 200, is_whole: bool = True
) -> JournalEntry:
    """Returns the journal entry of an engine that answers a run."""
    return JournalEntry("answered", request_id, at, ENGINE, status=status, is_whole=is_whole)


def completed_job(job_id: str = "job") -> ObservedJob:
    """Returns an accepted job of two items whose results have been read."""
    items = {f"{job_id}-0": b"a", f"{job_id}-1": b"b"}
    job = ObservedJob(job_id, items, 5.0, statuses=[202], accepted_at=5.5, totals={2})
    job.results = [
        ObservedResult("daemon-0", position, item, "completed", "\n".join(event_texts(item)))
        for position, item in enumerate(items)
    ]
    return job


def item_entry(job: ObservedJob, number: int, at: float = 6.0, kind: str = "begun") -> JournalEntry:
    """Returns the journal entry of an engine about an item, by default its start."""
    item = list(job.items)[number]
    path = item_path(job.job_id, number)
    return JournalEntry(
        kind, item, at, ENGINE, path, digest(job.items[item]), "m", tenant=tenant_of(job.job_id)
    )


def injected_action(
    kind: ActionKind, begin: float, end: float, target: str = "daemon-0"
) -> InjectedAction:
    """Returns a performed action; stops and reloads of a daemon count as planned."""
    is_planned = kind in (ActionKind.STOP_DAEMON, ActionKind.RELOAD_DAEMON)
    scheduled = ScheduledAction(begin, kind, 0, end - begin, 0.5, LinkFault.DELAY, is_planned)
    return InjectedAction(scheduled, target, begin, end)


def clean_observations() -> Observations:
    """Returns one completed exchange of each kind and one completed job."""
    observations = Observations(0.0)
    for kind in (RequestKind.READ, RequestKind.ONCE, RequestKind.STREAM, RequestKind.STREAM_ONCE):
        exchange = completed_exchange(f"request-{kind}", kind)
        observations.exchanges.append(exchange)
        observations.journal_entries.append(started_entry(exchange))
        observations.journal_entries.append(answered_entry(exchange.request_id))
    job = completed_job()
    observations.jobs.append(job)
    observations.journal_entries += [answered_entry(item, 6.1) for item in job.items]
    observations.journal_entries += [item_entry(job, 0), item_entry(job, 1)]
    return observations
