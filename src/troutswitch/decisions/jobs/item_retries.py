"""Rule: when is an item retried, and when is it dead-lettered?

Inputs: the routes in force; the age of the job since this daemon first read of it, in seconds; the
failed runs of the item, here and at earlier owners; the statuses with which its runs ended; the
contents that are refused because of crashes.

The rule, for an item that could start:

- it is dead-lettered if the newest configuration has had no route for it for `ROUTE_GONE_SECONDS`,
  if the route's retention is over, or if it has as many failed runs as the route allows;
- it waits for `REFUSED_RETRY_SECONDS` while crashes forbid its start.

For an item whose run ended early:

- status 422 dead-letters it: the engine reports that the item can never be done;
- status 500 counts as a failed run; the last failed run that the route allows dead-letters it;
- any other end (a stop, a crash, a lost connection, a full engine) is not attributed to the item,
  which is retried without a bound on the number of runs.

Why: an accepted item must complete, so only an engine's answer about it, its retention or the loss
of its route may end it. tests/decisions/jobs/test_failures.py tests the bound on failed runs over
all owners; docs/POLICY.md, "Rules", lists the constants.
"""

import random
from dataclasses import dataclass

from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.jobs.index import JobEntry, JobIndex
from troutswitch.decisions.jobs.item_endings import ItemEndings
from troutswitch.decisions.jobs.item_refusals import ItemRefusals
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import ItemRunEnded
from troutswitch.outcomes import AttemptOutcome

RETRY_SECONDS = 0.2
"""Mean pause after a run that ended early, or while an item has no route."""
FAILED_RETRY_SECONDS = 0.4
"""Pause after a run that the engine reported as failed."""
REFUSED_RETRY_SECONDS = 1.0
"""Pause until the next check of an item that crashes forbid to start."""
ROUTE_GONE_SECONDS = 6.0
"""Time without a route after which an item is dead-lettered: a change of the configuration may
remove a route briefly."""
RUN_FAILED_STATUS = 500
"""HTTP status with which an engine reports that an item's run failed."""
UNPROCESSABLE_STATUS = 422
"""HTTP status with which an engine reports that an item can never be done."""


@dataclass(frozen=True, slots=True)
class StartableItem:
    """An item that may start, its job, and the route that selects its engines."""

    progress: ItemProgress
    entry: JobEntry
    route: Route


class ItemRetries:
    """Decides when unfinished items may start, and when they are dead-lettered."""

    def __init__(
        self,
        routes: RouteTable,
        index: JobIndex,
        refusals: ItemRefusals,
        endings: ItemEndings,
        rng: random.Random,
    ) -> None:
        self._routes = routes
        self._index = index
        self._refusals = refusals
        self._endings = endings
        self._rng = rng

    def prepare_start(self, now: float, progress: ItemProgress) -> StartableItem | None:
        """Returns an item with its job and route if it may start now, otherwise None.

        Sets the retry time of an item that must wait, and dead-letters an item that must end.
        """
        entry = self._index.jobs[progress.job_id]
        route = self._routes.match(entry.manifest.host, progress.item.path)
        if route is None:
            self._on_no_route(now, progress)
            return None
        progress.no_route_since = float("inf")
        if route.retention and now - entry.first_read_at > route.retention:
            self._endings.dead_letter(progress, "its retention is over")
            return None
        if progress.failures >= route.max_attempts:
            reason = f"{progress.failures} runs failed at earlier owners"
            self._endings.dead_letter(progress, reason)
            return None
        if self._refusals.forbids_start(now, progress):
            progress.retry_at = now + REFUSED_RETRY_SECONDS
            return None
        return StartableItem(progress, entry, route)

    def _on_no_route(self, now: float, progress: ItemProgress) -> None:
        if self._routes.may_be_outdated:
            progress.no_route_since = float("inf")
            progress.retry_at = now + RETRY_SECONDS
            return
        progress.no_route_since = min(progress.no_route_since, now)
        if now - progress.no_route_since > ROUTE_GONE_SECONDS:
            self._endings.dead_letter(progress, "its route is gone")
        else:
            progress.retry_at = now + RETRY_SECONDS

    def on_ended_early(self, now: float, progress: ItemProgress, event: ItemRunEnded) -> None:
        """Handles the end of a run that did not complete the item's output."""
        if event.status == UNPROCESSABLE_STATUS:
            self._endings.dead_letter(progress, f"status {event.status}")
            return
        progress.retry_at = now + RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
        if event.status == RUN_FAILED_STATUS and event.kind is not AttemptOutcome.REFUSED:
            self._on_failed(now, progress)

    def _on_failed(self, now: float, progress: ItemProgress) -> None:
        progress.failures += 1
        progress.retry_at = now + FAILED_RETRY_SECONDS
        entry = self._index.jobs.get(progress.job_id)
        route = self._routes.named(entry.manifest.route) if entry is not None else None
        if route is not None and progress.failures >= route.max_attempts:
            self._endings.dead_letter(progress, f"{progress.failures} runs failed")
