"""The runs of batch items that this daemon has at servers, and what servers owe to them."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.decisions.forwarding.engines import RequestSize, Server, ServerRegistry
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import (
    ItemBegun,
    ItemProgressed,
    ItemRunEnded,
    RunItem,
    StopItem,
)
from troutswitch.decisions.jobs.records import Manifest
from troutswitch.outcomes import AttemptKind

FIRST_WAIT_SECONDS = 5.0
"""Longest wait for the first bytes of an item's answer."""
GAP_WAIT_SECONDS = 1.5
"""Longest wait for each further event."""
FULL_SECONDS = 0.2
"""Time for which a server that rejected an item as full is left out."""


@dataclass(slots=True)
class ItemRun:
    """One run of an item at a server."""

    progress: ItemProgress
    server_id: str
    started_at: float
    size: RequestSize
    events_before: int
    is_begun: bool = False
    is_stopped: bool = False


class ItemRuns:
    """All runs in flight, by number."""

    def __init__(self, servers: ServerRegistry, log: Callable[..., None]) -> None:
        self.by_number: dict[int, ItemRun] = {}
        self.started = 0
        self._servers = servers
        self._log = log
        self._numbers = itertools.count(1)

    def start(
        self, now: float, progress: ItemProgress, manifest: Manifest, server: Server
    ) -> RunItem:
        """Starts a run of an item that has none."""
        ensure(not progress.run, "an item runs twice at once")
        number = next(self._numbers)
        progress.run = number
        progress.started_at = min(progress.started_at, now)
        progress.runs += 1
        self.started += 1
        size = RequestSize(progress.item.tokens, progress.item.tokens // 2)
        server_id = server.record.server_id
        self.by_number[number] = ItemRun(progress, server_id, now, size, progress.events_done)
        self._servers.on_sent(now, server_id, True, size)
        self._log(
            "item sent",
            job_id=progress.job_id,
            item_id=progress.item.item_id,
            run=progress.runs,
            server=server_id,
            load=server.in_flight(now),
            resume_after=progress.position,
        )
        return RunItem(
            number,
            server_id,
            server.record.address,
            manifest.host,
            progress.item,
            progress.position,
            FIRST_WAIT_SECONDS,
            GAP_WAIT_SECONDS,
            manifest.tenant,
        )

    def on_begun(self, event: ItemBegun) -> None:
        """A run's prompt was read."""
        run = self.by_number.get(event.run)
        if run is not None and not run.is_begun and not run.is_stopped:
            run.is_begun = True
            self._servers.on_begun(run.server_id, run.size)

    def on_progressed(self, event: ItemProgressed) -> None:
        """Takes what a run made so far."""
        run = self.by_number.get(event.run)
        if run is not None:
            run.progress.add(event.events)

    def stop(self, now: float, number: int) -> StopItem:
        """Stops a run. From now on it counts as gone from its server."""
        run = self.by_number[number]
        ensure(not run.is_stopped, "a run is stopped twice")
        run.is_stopped = True
        self._servers.on_stopped(now, run.server_id, run.size, begun=run.is_begun)
        return StopItem(number)

    def end(self, now: float, event: ItemRunEnded) -> ItemRun | None:
        """Takes the end of a run; returns the run, or None if it was not known."""
        run = self.by_number.pop(event.run, None)
        if run is None:
            return None
        run.progress.run = 0
        run.progress.ran_seconds += now - run.started_at
        self._account(now, run, event)
        run.progress.add(event.events)
        self._log(
            "item run ended",
            job_id=run.progress.job_id,
            item_id=run.progress.item.item_id,
            server=run.server_id,
            kind=event.kind,
            status=event.status,
            reason=event.reason,
            position=run.progress.position,
            stopped=run.is_stopped,
        )
        return run

    def _account(self, now: float, run: ItemRun, event: ItemRunEnded) -> None:
        sound = run.is_stopped or event.status != 0
        failed = not sound and event.kind in (AttemptKind.CUT, AttemptKind.UNREACHABLE)
        if not run.is_stopped:
            self._servers.on_ended(
                now, run.server_id, True, run.size, begun=run.is_begun, failed=failed
            )
        if event.load is not None:
            self._servers.on_load(now, run.server_id, event.load)
        if event.wrong_instance:
            self._servers.mark_draining(run.server_id)
        server = self._servers.servers.get(run.server_id)
        if event.kind is AttemptKind.REFUSED and server is not None:
            server.full_until = now + FULL_SECONDS
