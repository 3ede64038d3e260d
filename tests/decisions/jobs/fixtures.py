"""Items, jobs and a route for tests of batch jobs."""

from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import (
    Backend,
    FleetConfiguration,
    RequestLimits,
    Route,
    RouteKind,
)
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import OutputEvent
from troutswitch.decisions.jobs.records import JobItem, Manifest, StoreLimits, manifest_record

TARGET_SECONDS = 20.0
STORE_LIMITS = StoreLimits(262_144, 2_097_152, 4)
ROUTE = Route(
    "route",
    "host",
    "/p/",
    RouteKind.JOBS,
    (Backend("service", 1.0),),
    30.0,
    0.5,
    3,
    completion_target=TARGET_SECONDS,
)


def item(job_id: str, number: int = 0, events: int = 0) -> ItemProgress:
    job_item = JobItem(f"{job_id}-{number}", "/p/", (), b"", 100)
    progress = ItemProgress(0, job_id, job_item, number)
    if events:
        progress.add_events((OutputEvent(str(events), "text"),))
    return progress


def route_table() -> RouteTable:
    routes = RouteTable()
    routes.replace(FleetConfiguration(1, (ROUTE,), {}, RequestLimits()))
    return routes


def job_index(read_at: dict[str, float]) -> JobIndex:
    """Returns an index of jobs; `read_at` has the time at which each was first read."""
    index = JobIndex()
    for job_id, time in read_at.items():
        index.apply(time, manifest_record(Manifest(job_id, "route", "host", 2, 200, "d", 0)))
    return index
