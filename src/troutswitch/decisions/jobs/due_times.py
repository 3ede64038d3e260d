"""Due times of jobs: a job is due when its age reaches its route's completion target."""

from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.jobs.index import JobEntry
from troutswitch.decisions.jobs.records import Manifest


def completion_target(routes: RouteTable, manifest: Manifest) -> float:
    """Returns the completion target of a job's route in seconds; 0 if the route is unknown."""
    route = routes.named(manifest.route)
    return route.completion_target if route is not None else 0.0


def due_at(routes: RouteTable, entry: JobEntry) -> float:
    """Returns when a job is due, on this process's clock."""
    return entry.first_read_at - entry.age_at_first_read + completion_target(routes, entry.manifest)
