"""When jobs are due: at the age that their route names as its completion target."""

from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.jobs.index import JobEntry
from troutswitch.decisions.jobs.records import Manifest


def completion_target(routes: RouteTable, manifest: Manifest) -> float:
    """Returns the seconds in which a job should be done; 0 if its route is unknown."""
    route = routes.named(manifest.route)
    return route.completion_target if route is not None else 0.0


def due_at(routes: RouteTable, entry: JobEntry) -> float:
    """Returns when a job is due, on this process's clock."""
    return entry.first_read_at - entry.age_at_first_read + completion_target(routes, entry.manifest)
