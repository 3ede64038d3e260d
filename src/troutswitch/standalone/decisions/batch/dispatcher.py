"""Dispatches the items of all owned shards to engine slots granted by stewards."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.decisions.invariants import ensure
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.constants import (
    MAX_WRITER_QUEUE_RECORDS,
    SLOT_REQUEST_ENGINES,
    SLOT_REQUEST_SECONDS,
)
from troutswitch.standalone.daemons.messages import BatchSlotRequest, SlotGrant
from troutswitch.standalone.decisions.batch.jobs import Job
from troutswitch.standalone.decisions.batch.owner import ItemReference, ReadyItem, ShardOwner
from troutswitch.standalone.decisions.batch.ownership import Ownership
from troutswitch.standalone.decisions.effects import (
    CancelAttempt,
    Effect,
    SendDatagram,
    StartBatchAttempt,
)
from troutswitch.standalone.decisions.engines import EngineRegistry
from troutswitch.standalone.decisions.events import BatchAttemptEnded
from troutswitch.standalone.decisions.log_writer import LogWriter
from troutswitch.standalone.decisions.membership import Membership
from troutswitch.standalone.decisions.stewardship import Stewardship


@dataclass(slots=True)
class HeldGrant:
    """Slots granted to this daemon on one engine until `expires_at`.

    At most `non_preemptible` items on them may be non-repeatable, which cannot be
    cancelled.
    """

    slots: int
    non_preemptible: int
    expires_at: float
    priority: int
    incarnation: str


@dataclass(slots=True)
class RunningItem:
    """A batch attempt in flight, with the epoch in which it was dispatched."""

    attempt_id: str
    shard: int
    epoch: int
    reference: ItemReference
    engine: str
    repeatable: bool
    is_cancelled: bool = False


@dataclass
class BatchCounts:
    """Counters for metrics and for the simulation."""

    attempts: int = 0
    yielded: int = 0


@dataclass(slots=True)
class _EngineWork:
    """Attempts running on one engine, oldest first."""

    running: dict[str, RunningItem] = field(default_factory=dict)


class BatchDispatcher:
    """Requests slots from stewards and fills them, earliest deadline first."""

    def __init__(
        self,
        membership: Membership,
        engines: EngineRegistry,
        stewardship: Stewardship,
        writer: LogWriter,
        rng: random.Random,
    ) -> None:
        self.counts = BatchCounts()
        self.grants: dict[str, HeldGrant] = {}
        self._ownership: Ownership | None = None
        self._membership = membership
        self._engines = engines
        self._stewardship = stewardship
        self._writer = writer
        self._rng = rng
        self._running: dict[str, RunningItem] = {}
        self._by_engine: dict[str, _EngineWork] = {}
        self._attempt_count = 0
        self._next_request_at = float("-inf")
        engines.add_load_hook(self._on_engine_polled)

    def set_ownership(self, ownership: Ownership) -> None:
        """Sets the shards whose items are dispatched."""
        self._ownership = ownership

    @property
    def _shards(self) -> Ownership:
        ensure(self._ownership is not None, "the dispatcher has no shards yet")
        assert self._ownership is not None
        return self._ownership

    def running_count(self) -> int:
        """Returns the number of batch attempts in flight."""
        return len(self._running)

    # Slot requests.

    def next_due(self) -> float:
        """Returns the time of the next slot requests, if there may be work for slots."""
        return self._next_request_at if self._shards.owners or self._running else float("inf")

    def on_timer(self, now: float) -> list[Effect]:
        """Requests slots for waiting items and renews grants with running items."""
        if now < self._next_request_at:
            return []
        self._next_request_at = now + SLOT_REQUEST_SECONDS
        return self._request_slots(now) + self.fill(now)

    def _demand(self, now: float) -> dict[str, int]:
        demand: dict[str, int] = {}
        for owner in self._shards.open_owners():
            for service, count in owner.demand(now).items():
                demand[service] = demand.get(service, 0) + count
        return demand

    def _request_slots(self, now: float) -> list[Effect]:
        if self._writer.queued_records() > MAX_WRITER_QUEUE_RECORDS:
            return []  # results accumulate while the log is unavailable
        effects: list[Effect] = []
        requested: set[str] = set()
        for service, waiting in self._demand(now).items():
            effects.extend(self._request_slots_for_service(now, service, waiting, requested))
        for name in self._by_engine:
            if name not in requested:
                effects.extend(self._request_slots_from(name, 0))
        return effects

    def _request_slots_for_service(
        self, now: float, service: str, waiting: int, requested: set[str]
    ) -> list[Effect]:
        candidates = [engine for engine in self._engines.usable(now, service)]
        chosen = self._rng.sample(candidates, min(SLOT_REQUEST_ENGINES, len(candidates)))
        effects: list[Effect] = []
        for engine in chosen:
            requested.add(engine.name)
            wanted = -(-waiting // len(chosen))
            effects.extend(self._request_slots_from(engine.name, min(wanted, 512)))
        return effects

    def _request_slots_from(self, name: str, wanted: int) -> list[Effect]:
        steward = self._stewardship.steward_of(name)
        address = self._membership.address_of(steward) if steward is not None else None
        if address is None:
            return []
        work = self._by_engine.get(name)
        running_count = len(work.running) if work is not None else 0
        return [
            SendDatagram(
                address, BatchSlotRequest(self._membership.name, name, running_count, wanted)
            )
        ]

    def on_grant(self, now: float, message: SlotGrant) -> list[Effect]:
        """Applies a grant: fills new slots, or cancels the items that exceed it."""
        self.grants[message.engine] = HeldGrant(
            message.slots,
            message.non_preemptible,
            now + message.seconds,
            message.priority,
            message.incarnation,
        )
        effects = self._yield_excess(message.engine, message.slots)
        return effects + self.fill(now)

    def _yield_excess(self, engine_name: str, slots: int) -> list[Effect]:
        """Cancels the newest repeatable items beyond the grant; they are queued again."""
        engine = self._engines.engines.get(engine_name)
        work = self._by_engine.get(engine_name)
        if engine is None or work is None:
            return []
        active = [item for item in work.running.values() if not item.is_cancelled]
        excess = len(active) - slots
        effects: list[Effect] = []
        for item in reversed(active):
            if excess <= 0:
                break
            if item.repeatable:
                excess -= 1
                item.is_cancelled = True
                self.counts.yielded += 1
                effects.append(CancelAttempt(item.attempt_id, engine.address))
        return effects

    # Filling slots.

    def fill(self, now: float) -> list[Effect]:
        """Starts items on free slots; polls engines that are not fresh."""
        effects: list[Effect] = []
        for name, grant in self.grants.items():
            engine = self._engines.engines.get(name)
            if engine is None or grant.expires_at <= now or self._engines.is_leaving(engine):
                continue
            work = self._by_engine.get(name)
            free = grant.slots - (len(work.running) if work is not None else 0)
            if free <= 0:
                continue
            self._engines.on_service_used(now, engine.service)
            if not self._engines.is_fresh(now, engine):
                effects.extend(self._engines.poll(now, engine))
            elif engine.incarnation == grant.incarnation:
                effects.extend(self._fill_engine(now, name, engine.service, free, grant))
        return effects

    def _on_engine_polled(self, now: float, name: str) -> list[Effect]:
        """Fills slots after a poll of an engine on which this daemon has a grant."""
        return self.fill(now) if name in self.grants else []

    def _fill_engine(
        self, now: float, name: str, service: str, free: int, grant: HeldGrant
    ) -> list[Effect]:
        effects: list[Effect] = []
        for owner, job in self._jobs_by_deadline(service):
            while free > 0 and (
                job.repeatable or self._non_preemptible_count(name) < grant.non_preemptible
            ):
                ready_item, preparation = owner.next_item(now, job)
                effects.extend(preparation)
                if ready_item is None:
                    if not preparation:
                        break
                    free -= 1
                    continue
                effects.append(self._start_attempt(owner, job, ready_item, name, grant))
                free -= 1
            if free <= 0:
                break
        return effects

    def _non_preemptible_count(self, name: str) -> int:
        work = self._by_engine.get(name)
        if work is None:
            return 0
        return sum(1 for item in work.running.values() if not item.repeatable)

    def _jobs_by_deadline(self, service: str) -> list[tuple[ShardOwner, Job]]:
        pairs = [
            (owner, job) for owner in self._shards.open_owners() for job in owner.open_jobs(service)
        ]
        return sorted(pairs, key=lambda pair: (pair[1].deadline, pair[1].job_id))

    def _start_attempt(
        self, owner: ShardOwner, job: Job, ready_item: ReadyItem, name: str, grant: HeldGrant
    ) -> Effect:
        self._attempt_count += 1
        self.counts.attempts += 1
        attempt_id = f"{self._writer.writer}-b{self._attempt_count}"
        item = RunningItem(
            attempt_id, owner.shard, owner.epoch, ready_item.reference, name, job.repeatable
        )
        self._running[attempt_id] = item
        self._by_engine.setdefault(name, _EngineWork()).running[attempt_id] = item
        return StartBatchAttempt(
            attempt_id,
            name,
            self._engines.engines[name].address,
            grant.incarnation,
            job.job_id,
            ready_item.item,
            grant.priority,
            ready_item.partial.position,
            ready_item.partial.text,
        )

    # End of an attempt.

    def on_attempt_ended(self, now: float, event: BatchAttemptEnded) -> list[Effect]:
        """Passes the end of an attempt to the owner if its epoch has not changed."""
        item = self._running.pop(event.attempt_id, None)
        if item is None:
            return []
        self._remove_from_engine(item)
        effects = self._update_engine(now, item, event)
        owner = self._shards.owners.get(item.shard)
        if owner is not None and owner.epoch == item.epoch:
            effects.extend(owner.on_attempt_ended(now, item.reference, event))
        return effects + self.fill(now)

    def _remove_from_engine(self, item: RunningItem) -> None:
        work = self._by_engine[item.engine]
        del work.running[item.attempt_id]
        if not work.running:
            del self._by_engine[item.engine]

    def _update_engine(
        self, now: float, item: RunningItem, event: BatchAttemptEnded
    ) -> list[Effect]:
        engine = self._engines.engines.get(item.engine)
        if engine is None:
            return []
        if event.leaving:
            return self._engines.mark_leaving(now, engine.name, engine.incarnation)
        if event.kind is AttemptOutcome.UNREACHABLE:
            self.grants.pop(item.engine, None)
        return []

    def on_owner_lost(self, now: float, owner: ShardOwner) -> list[Effect]:
        """Cancels the running items of a shard that is no longer owned."""
        return self._cancel(lambda item: item.shard == owner.shard)

    def cancel_job(self, shard: int, job_id: str) -> list[Effect]:
        """Cancels the running items of a cancelled job."""
        return self._cancel(lambda item: item.shard == shard and item.reference.job_id == job_id)

    def _cancel(self, matches: Callable[[RunningItem], bool]) -> list[Effect]:
        effects: list[Effect] = []
        for item in self._running.values():
            engine = self._engines.engines.get(item.engine)
            if matches(item) and not item.is_cancelled and engine is not None:
                item.is_cancelled = True
                effects.append(CancelAttempt(item.attempt_id, engine.address))
        return effects
