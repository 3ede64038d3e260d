"""Rule: may another job be accepted, and is its route near its limit of queued tokens?

Inputs: the route's limit of queued tokens for each tenant (0: no limit), from the configuration in
force; the tenant's queued tokens, which are those of its accepted items that are not listed, from
this daemon's replica of the index. The replica may lag: `JobIntake` reads the index to its end
before it refuses a job, and appends the manifest only at the end that it has read.

The rule: a job fits if its tokens and the queued tokens are within the limit. A route is crowded
above `CROWDED_SHARE` of the limit; owners then report the progress of their jobs in the index, so
that new jobs fit as soon as possible.

Why: an accepted job must be done, so a tenant's jobs must not accumulate without a bound.
tests/proofs/test_jobs.py tests the limit over all daemons; docs/POLICY.md, "Rules", lists the
constant.
"""

from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.jobs.index import JobIndex
from troutswitch.decisions.jobs.records import Manifest

CROWDED_SHARE = 0.3
"""Share of a route's limit above which owners report the progress of its jobs."""


class TokenLimits:
    """Compares queued tokens with the limits of routes."""

    def __init__(self, routes: RouteTable, index: JobIndex) -> None:
        self._routes = routes
        self._index = index

    def queued_tokens(self, manifest: Manifest) -> int:
        """Returns the queued tokens of a job's tenant on the job's route."""
        return self._index.queued_tokens(manifest.route, manifest.tenant)

    def fits(self, route: Route, manifest: Manifest) -> bool:
        """Returns whether a job that is not accepted yet fits its route's limit."""
        limit = route.max_queued_tokens
        return limit <= 0 or self.queued_tokens(manifest) + manifest.tokens <= limit

    def is_crowded(self, job_id: str) -> bool:
        """Returns whether an accepted job's route is crowded for the job's tenant."""
        entry = self._index.jobs.get(job_id)
        route = self._routes.named(entry.manifest.route) if entry is not None else None
        if entry is None or route is None or route.max_queued_tokens <= 0:
            return False
        return self.queued_tokens(entry.manifest) > CROWDED_SHARE * route.max_queued_tokens
