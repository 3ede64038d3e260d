"""Rule: may a job be accepted although other jobs wait, and is its route near its limit?

Inputs: the route's limit on tokens that wait for each tenant (0: none), from the configuration in
force; the tokens of the tenant's accepted items that are not listed, from this daemon's replica of
the index. The replica may lag: `JobIntake` reads the index to its end before it refuses, and
appends the manifest only at the end that it has read.

The rule: a job fits if its tokens and those that wait are within the limit. A route is crowded
above `CROWDED_SHARE` of the limit; owners then report in the index how far their jobs are, so
that new jobs fit as soon as they can.

Why: a job that was accepted must be done, so a tenant's jobs may not pile up without a bound.
tests/proofs/test_jobs.py holds the limit over all daemons; docs/POLICY.md, "Rules", has the
constant.
"""

from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.records import Manifest

CROWDED_SHARE = 0.3
"""Share of a route's limit above which owners report the progress of its jobs."""


class TokenLimits:
    """The tokens that wait, against the limits of routes."""

    def __init__(self, routes: RouteTable, index: JobIndex) -> None:
        self._routes = routes
        self._index = index

    def queued_tokens(self, manifest: Manifest) -> int:
        """Returns the tokens that wait on a job's route for its tenant."""
        return self._index.queued_tokens(manifest.route, manifest.tenant)

    def fits(self, route: Route, manifest: Manifest) -> bool:
        """Returns whether a job that is not accepted yet is within its route's limit."""
        most = route.max_queued_tokens
        return most <= 0 or self.queued_tokens(manifest) + manifest.tokens <= most

    def is_crowded(self, job_id: str) -> bool:
        """Returns whether the tokens that wait on an accepted job's route are near its limit."""
        entry = self._index.jobs.get(job_id)
        route = self._routes.named(entry.manifest.route) if entry is not None else None
        if entry is None or route is None or route.max_queued_tokens <= 0:
            return False
        return self.queued_tokens(entry.manifest) > CROWDED_SHARE * route.max_queued_tokens
