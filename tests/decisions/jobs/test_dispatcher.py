"""Start of items in granted slots. Load: more items than slots, at engines that differ in speed."""

import random
from dataclasses import replace
from types import SimpleNamespace
from typing import cast

from tests.decisions.forwarding.harness import engine
from tests.decisions.jobs.fixtures import ROUTE, STORE_LIMITS, item, job_index, route_table
from troutswitch.daemons.messages import OTHER_TENANTS, TenantItems
from troutswitch.decisions.forwarding.engine_cost import SPEED_POLICIES
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.jobs.batch_capacity import SlotCapacity
from troutswitch.decisions.jobs.dependencies import JobDependencies
from troutswitch.decisions.jobs.dispatcher import ItemDispatcher
from troutswitch.decisions.jobs.engine_choice import EngineChoice
from troutswitch.decisions.jobs.item_parts import ItemParts
from troutswitch.decisions.jobs.item_versions import ItemVersions
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.messages import ItemRunEnded, OutputEvent
from troutswitch.decisions.jobs.order import AvailableCapacity, MostInTime
from troutswitch.decisions.jobs.ranking import ItemRanking
from troutswitch.decisions.jobs.run_ends import RunEnds
from troutswitch.decisions.jobs.runs import ItemRuns
from troutswitch.decisions.slots.messages import FleetShare, StartItems
from troutswitch.outcomes import AttemptOutcome

NOW = 12.0
MEAN_ONLY, EASY = 0.0, 8.0
"""First reads of jobs whose items have 8 and 16 s left, and take 6 s at mean speed."""


class Daemon:
    """A daemon's items, with engines "fast" and "slow" at 55 and 145 percent of the usual time."""

    def __init__(
        self,
        *read_at: float,
        speed: str = "weighted_share",
        paced: bool = True,
        tenants: tuple[str, ...] = (),
    ) -> None:
        self.registry = EngineRegistry()
        records = [engine(name, service="service", slots=4) for name in ("fast", "slow")]
        self.registry.on_list(0.0, records)
        if paced:
            for name, percent in (("fast", 55), ("slow", 145)):
                self.registry.on_pace(self.registry.engines[name], percent, NOW)
        index = job_index({f"job{n}": at for n, at in enumerate(read_at)})
        for number, tenant in enumerate(tenants):
            entry = index.jobs[f"job{number}"]
            entry.manifest = replace(entry.manifest, tenant=tenant)
        self.items = [item(f"job{n}") for n in range(len(read_at))]
        self.ranking = ItemRanking(route_table(), index, MostInTime())
        self.ranking.run_times.on_completed(6.0, 60, 60)
        self.ranking.rank(NOW, self.items, AvailableCapacity(8.0, 1.0))
        self.runs = ItemRuns(
            route_table(), self.registry, lambda event, **fields: None, STORE_LIMITS
        )
        policy = SPEED_POLICIES[speed](RunTimes(), route_table())
        slots = SimpleNamespace(
            share=lambda now: FleetShare(8.0, 0), is_coordinated=lambda now, engine_id: True
        )
        dependencies = SimpleNamespace(
            engines=self.registry, slots=slots, speed=policy, log=lambda event, **fields: None
        )
        choice = EngineChoice(route_table(), self.registry, SlotCapacity(), "z", random.Random(1))

        def prepare_start(now: float, progress: ItemProgress) -> object:
            return SimpleNamespace(
                progress=progress, entry=index.jobs[progress.job_id], route=ROUTE
            )

        def startable(now: float, listed_at: float) -> list[ItemProgress]:
            return [progress for progress in self.items if progress.may_start(now)]

        parts = SimpleNamespace(
            items=SimpleNamespace(startable=startable, unfinished=lambda: self.items),
            runs=self.runs,
            ranking=self.ranking,
            retries=SimpleNamespace(prepare_start=prepare_start),
            refusals=SimpleNamespace(
                on_started=lambda now, progress: None,
                on_done=lambda now, progress: None,
                keeps_apart=lambda progress, running: False,
            ),
            endings=SimpleNamespace(complete=lambda progress: None),
            versions=ItemVersions(self.registry, 7, lambda event, **fields: None),
        )
        self.ends = RunEnds(cast(ItemParts, parts), self.registry, policy)
        self.dispatcher = ItemDispatcher(
            cast(ItemParts, parts), choice, cast(JobDependencies, dependencies)
        )

    def started(self, engine_id: str, count: int = 1, tenant: str | None = None) -> list[str]:
        runs = self.dispatcher.start_granted(NOW, StartItems(engine_id, count, tenant))
        return [self.runs.by_number[run.run].progress.job_id for run in runs]


def test_slow_engine_gets_the_item_that_has_time_there() -> None:
    assert Daemon(MEAN_ONLY, EASY).started("slow") == ["job1"]


def test_slot_of_a_slow_engine_is_left_if_a_faster_one_has_a_slot_for_the_only_item() -> None:
    daemon = Daemon(MEAN_ONLY)
    assert daemon.started("slow") == []
    assert daemon.started("fast") == ["job0"]


def test_slot_of_a_slow_engine_is_used_if_no_faster_one_is_free() -> None:
    """Guards against slots that stay unused while items wait."""
    daemon = Daemon(MEAN_ONLY)
    daemon.registry.engines["fast"].peers_batch = 4
    assert daemon.started("slow") == ["job0"]


def test_items_start_by_rank_if_no_pace_is_known_or_speed_is_ignored() -> None:
    for daemon in (
        Daemon(MEAN_ONLY, EASY, paced=False),
        Daemon(MEAN_ONLY, EASY, speed="ignored"),
    ):
        assert daemon.started("slow", 2) == ["job0", "job1"]


def test_mean_run_time_does_not_depend_on_which_engine_ran_the_item() -> None:
    """Guards against estimates that are too short because fast engines ran most items."""
    for engine_id, seconds in (("fast", 3.3), ("slow", 8.7)):
        daemon = Daemon(EASY)
        daemon.dispatcher.start_granted(NOW, StartItems(engine_id, 1))
        (number,) = daemon.runs.by_number
        run = daemon.runs.by_number[number]
        run.progress.add_events(tuple(OutputEvent(str(n), "text") for n in range(1, 61)))
        daemon.ends.on_run_ended(
            NOW + seconds, ItemRunEnded(number, AttemptOutcome.COMPLETED, 200, "", ())
        )
        assert abs(daemon.ranking.run_times.event_seconds - 0.1) < 1e-9


def test_granted_slot_goes_to_the_tenant_that_the_grant_names() -> None:
    """The load: one item of a tenant behind three more urgent ones of another, at one daemon."""
    daemon = Daemon(0.0, 0.5, 1.0, EASY, tenants=("large", "large", "large", "small"))
    daemon.dispatcher.waiting_by_tenant = (TenantItems("large", 3, 0), TenantItems("small", 1, 0))
    assert daemon.started("fast", 1, "small") == ["job3"]
    assert list(daemon.dispatcher.waiting_by_tenant) == [TenantItems("large", 3, 0)]
    assert daemon.started("fast", 1, "large") == ["job0"]


def test_granted_slot_of_a_tenant_without_an_item_is_used_by_another() -> None:
    """Guards against slots that stay idle until the next report, after a start elsewhere."""
    daemon = Daemon(0.0, 0.5, tenants=("large", "large"))
    daemon.dispatcher.waiting_by_tenant = (TenantItems("large", 2, 0),)
    assert daemon.started("fast", 2, "small") == ["job0", "job1"]


def test_grant_to_other_tenants_starts_items_of_tenants_without_a_row() -> None:
    daemon = Daemon(0.0, 0.5, tenants=("named", "unnamed"))
    rows = (TenantItems("named", 1, 0), TenantItems(OTHER_TENANTS, 1, 0))
    daemon.dispatcher.waiting_by_tenant = rows
    assert daemon.started("fast", 1, OTHER_TENANTS) == ["job1"]


def test_round_counts_the_waiting_items_by_tenant_in_paced_services_only() -> None:
    """The load: two items in time and a late one of two tenants, with slots for all."""
    tenants = ("large", "small", "large")
    for paced, rows in (
        (True, [TenantItems("large", 1, 1), TenantItems("small", 1, 0)]),
        (False, []),
    ):
        daemon = Daemon(EASY, EASY, -20.0, paced=paced, tenants=tenants)
        daemon.dispatcher.start_round(NOW)
        assert list(daemon.dispatcher.waiting_by_tenant) == rows
        assert (daemon.dispatcher.waiting.in_time, daemon.dispatcher.waiting.late) == (2, 1)
    without = Daemon(EASY, EASY)
    without.dispatcher.start_round(NOW)
    assert list(without.dispatcher.waiting_by_tenant) == []
