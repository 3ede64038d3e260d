"""Rule: when is an item retried, and when is it dead-lettered?

Inputs: the routes in force; the age of the job since this daemon first read of it, in seconds; the
failed runs of the item, here and at earlier owners; the statuses with which its runs ended; the
contents that are refused because of crashes.

The rule, for an item that could start:

- it is dead-lettered if the newest configuration has had no route for it for `ROUTE_GONE_SECONDS`,
  if the route's retention is over, or if it has as many failed runs as the route allows;
- it waits, and is checked every `REFUSED_RETRY_SECONDS` on average, while crashes forbid its start.

For an item whose run ended early:

- status 422 dead-letters it: the engine reports that the item can never be done;
- status 500 counts as a failed run; the last failed run that the route allows dead-letters it;
- any other end (a stop, a crash, a lost connection, a full engine) is not attributed to the item,
  which is retried without a bound on the number of runs. After `RUNS_BEFORE_BACKOFF` runs in a row
  that brought no event, the pause before the next run doubles with each, up to `MAX_RETRY_SECONDS`,
  or up to `MAX_UNSENT_RETRY_SECONDS` after runs that the engine did not begin. A stop by this
  daemon does not count as such a run, nor does an engine that could not be connected to: after it
  the item is soon run at another.

Why: an accepted item must complete, so only an engine's answer about it, its retention or the loss
of its route may end it. A run that fails again and again must not occupy an engine's slot all the
time. tests/decisions/jobs/test_failures.py tests the bound on failed runs over
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
RUNS_BEFORE_BACKOFF = 8
"""Runs in a row without an event after which the pause does not grow yet. Engines that crash under
other items may cut several."""
MAX_RETRY_SECONDS = 6.0
"""Upper bound of the mean pause after a run that ended early. An item counts as abandoned when no
engine has run it for 20 s, and it may wait some seconds for a slot."""
MAX_UNSENT_RETRY_SECONDS = 0.8
"""Upper bound of the mean pause after a run that the engine did not begin, which costs no slot."""
UNREACHABLE_RETRY_SECONDS = 0.05
"""Mean pause after a run whose engine could not be connected to. Many entries of the engine list
may be wrong, and each is ejected after two failures."""
FAILED_RETRY_SECONDS = 0.4
"""Pause after a run that the engine reported as failed."""
REFUSED_RETRY_SECONDS = 0.8
"""Mean pause until the next check of an item that crashes forbid to start. Owners check at
different times, so that the first one can tell the others that it tries an item of a path."""
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
            progress.retry_at = now + REFUSED_RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
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

    def on_ended_early(
        self, now: float, progress: ItemProgress, event: ItemRunEnded, *, is_stopped: bool
    ) -> None:
        """Handles the end of a run that did not complete the item's output.

        `is_stopped` is whether this daemon stopped the run.
        """
        if event.status == UNPROCESSABLE_STATUS:
            self._endings.dead_letter(progress, f"status {event.status}")
            return
        pause = self._pause(progress, event.kind, is_stopped=is_stopped)
        progress.retry_at = now + pause * self._rng.uniform(0.5, 1.5)
        if event.status == RUN_FAILED_STATUS and event.kind is not AttemptOutcome.REFUSED:
            self._on_failed(now, progress)

    def _pause(self, progress: ItemProgress, kind: AttemptOutcome, *, is_stopped: bool) -> float:
        """Returns the mean pause after a run that ended early, in seconds."""
        if is_stopped:
            return RETRY_SECONDS
        if kind is AttemptOutcome.UNREACHABLE:
            return UNREACHABLE_RETRY_SECONDS
        is_unsent = kind is AttemptOutcome.REFUSED
        return self._growing_pause(
            progress, MAX_UNSENT_RETRY_SECONDS if is_unsent else MAX_RETRY_SECONDS
        )

    @staticmethod
    def _growing_pause(progress: ItemProgress, longest: float) -> float:
        """Counts a run that ended early, and returns the mean pause after it, in seconds.

        Events of the item's output set the count back.
        """
        progress.fruitless_runs += 1
        doublings = max(0, progress.fruitless_runs - RUNS_BEFORE_BACKOFF)
        pause = RETRY_SECONDS * 2.0**doublings
        if pause > longest:
            progress.fruitless_runs -= 1  # the pause doesn't grow any further
        return min(pause, longest)

    def _on_failed(self, now: float, progress: ItemProgress) -> None:
        progress.failures += 1
        progress.retry_at = max(progress.retry_at, now + FAILED_RETRY_SECONDS)
        entry = self._index.jobs.get(progress.job_id)
        route = self._routes.named(entry.manifest.route) if entry is not None else None
        if route is not None and progress.failures >= route.max_attempts:
            self._endings.dead_letter(progress, f"{progress.failures} runs failed")
