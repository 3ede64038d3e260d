"""Rule: when is an item tried again, and when is it dead-lettered?

Inputs: the routes in force; the age of the job since this daemon first read of it, in seconds; the
failed runs of the item, here and at earlier owners; the statuses with which its runs ended; the
contents that crashes have refused.

The rule, for an item that could start:

- without a route for `ROUTE_GONE_SECONDS`, in a configuration that is known to be the newest, past
  the route's retention, or with as many failed runs as the route allows, it is dead-lettered;
- while crashes forbid its start, it waits for `REFUSED_RETRY_SECONDS`.

And for one whose run ended early:

- status 422 dead-letters it, as the engine says that it can never be done;
- status 500 counts as a failed run; the last that the route allows dead-letters it;
- anything else (a stop, a crash, a lost connection, a full engine) says nothing of the item, and
  it is tried again, without a bound on the number of runs.

Why: an accepted item must complete, so only an engine's answer about it, its retention or the loss
of its route may end it. tests/decisions/jobs/test_failures.py holds the bound on failed runs over
all owners; docs/POLICY.md, "Rules", has the constants.
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
"""Pause after a run that the engine says has failed."""
REFUSED_RETRY_SECONDS = 1.0
"""Pause after which an item is checked again that crashes forbid to start."""
ROUTE_GONE_SECONDS = 6.0
"""Time without a route after which an item is dead-lettered: a change of the configuration may
take a route away for a moment."""
RUN_FAILED_STATUS = 500
"""Status with which an engine says that an item's run failed."""
UNPROCESSABLE_STATUS = 422
"""Status with which an engine says that an item can never be done."""


@dataclass(frozen=True, slots=True)
class StartableItem:
    """An item that may start, its job, and the route by which it finds engines."""

    progress: ItemProgress
    entry: JobEntry
    route: Route


class ItemRetries:
    """Decides what becomes of items that have not ended."""

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
        """Returns an item with its job and route if it may start now.

        Returns None if it must wait, for which its retry time is set, or is dead-lettered now.
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
        """Takes the end of a run that did not bring the item's whole output."""
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
