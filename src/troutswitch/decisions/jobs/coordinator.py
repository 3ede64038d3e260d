"""Batch jobs of one daemon: intake, reads, ownership and runs, behind one door."""

import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from troutswitch.decisions.crashes.interface import Suspects
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.jobs.intake import JobIntake
from troutswitch.decisions.jobs.messages import (
    AnswerJobCall,
    BodyRequested,
    ItemBegun,
    ItemProgressed,
    ItemRunEnded,
    JobAnswer,
    JobEndRequested,
    JobRefused,
    JobSubmitted,
    ResultsRequested,
)
from troutswitch.decisions.jobs.owner import BatchSlots, JobOwner
from troutswitch.decisions.jobs.ownership import ShardOwnership
from troutswitch.decisions.jobs.reads import JobCall, JobReads
from troutswitch.decisions.jobs.records import StoreLimits
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.retention import JobRetention
from troutswitch.decisions.policies import BatchPolicies
from troutswitch.decisions.storage.follower import CallNumbers
from troutswitch.decisions.storage.messages import StoreOutcome
from troutswitch.decisions.tenants.tenant_keys import TenantKeys
from troutswitch.outcomes import NotRun

DRAIN_SECONDS = 1.5
"""Longest time for which a stopping daemon keeps its shards to save running items."""

JobEvent = (
    JobSubmitted
    | ResultsRequested
    | BodyRequested
    | JobEndRequested
    | ItemRunEnded
    | ItemBegun
    | ItemProgressed
)


class JobCoordinator:
    """All decisions about batch jobs on one daemon."""

    def __init__(
        self,
        member: str,
        zone: str,
        ttl_least: float,
        job_kept: float,
        routes: RouteTable,
        engines: EngineRegistry,
        numbers: CallNumbers,
        room: StoreLimits,
        rng: random.Random,
        emit: Callable[[object], None],
        slots: BatchSlots,
        policies: BatchPolicies,
        suspects: Suspects,
        callers: TenantKeys,
    ) -> None:
        self._callers = callers
        self._emit = emit
        self._drain_until = float("inf")
        self.replicas = JobReplicas(numbers, rng)
        self.intake = JobIntake(routes, self.replicas, numbers, room, self._answer, self._log)
        self.reads = JobReads(self.replicas, numbers, self._answer, self._log)
        self.ownership = ShardOwnership(member, ttl_least, self.replicas, numbers, rng, self._log)
        self.owner = JobOwner(
            routes,
            engines,
            self.replicas,
            self.ownership,
            numbers,
            room,
            rng,
            self._log,
            slots,
            zone,
            policies,
            suspects,
        )

        self.retention = JobRetention(self.replicas, self.ownership, numbers, job_kept, self._log)

    def _answer(self, token: int, answer: JobAnswer) -> None:
        self._emit(AnswerJobCall(token, answer))

    def _log(self, event: str, **fields: object) -> None:
        self._emit(LogLine(event, fields))

    def on_event(self, now: float, event: JobEvent) -> None:
        """Takes an event of a client or of a run."""
        match event:
            case JobSubmitted() | ResultsRequested() | BodyRequested() | JobEndRequested():
                self._on_call(now, event)
            case ItemRunEnded():
                self.owner.on_run_ended(now, event)
            case ItemBegun():
                self.owner.on_begun(event)
            case ItemProgressed():
                self.owner.on_progressed(event)
            case _:
                raise TypeError(f"no event of jobs: {type(event).__name__}")

    def _on_call(self, now: float, event: JobCall | JobSubmitted) -> None:
        """Takes a client's call, if its key is known."""
        tenant = self._callers.identify_for_jobs(event.caller_key)
        if isinstance(tenant, NotRun):
            refusal = JobRefused(tenant.status, tenant.reason, tenant.retry_after)
            self._log("job call refused", job_id=event.job_id, reason=tenant.reason)
            self._answer(event.token, refusal)
            return
        call = replace(event, tenant=tenant.name)
        if isinstance(call, JobSubmitted):
            self._emit_all(self.intake.on_submitted(now, call))
        else:
            self._emit_all(self.reads.on_asked(now, call))

    def on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Takes the outcome of a store call."""
        if self.intake.owns(call):
            self._emit_all(self.intake.on_answer(now, call, outcome))
        elif self.reads.owns(call):
            self._emit_all(self.reads.on_answer(now, call, outcome))
        elif self.ownership.owns(call):
            self.ownership.on_answer(now, call, outcome)
        elif self.owner.owns(call):
            self.owner.on_answer(now, call, outcome)
        elif self.retention.owns(call):
            self.retention.on_answer(now, outcome)
        else:
            self._emit_all(self.replicas.on_answer(now, call, outcome) or [])

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(
            self.replicas.next_due(),
            self.intake.next_due(),
            self.reads.next_due(),
            self.ownership.next_due(),
            self.owner.next_due(),
            self.retention.next_due(),
        )

    def on_timer(self, now: float) -> None:
        """Does what is due."""
        self._emit_all(self.ownership.on_timer(now))
        self._emit_all(self.owner.on_timer(now))
        self._emit_all(self.retention.on_timer(now))
        self._go_on_draining(now)
        self._emit_all(self.intake.on_timer(now))
        self._emit_all(self.reads.on_timer(now))
        # Last, as the others may have asked for reads.
        self._emit_all(self.replicas.on_timer(now))

    def drain(self, now: float) -> None:
        """Stops running items, saves what they made, then passes the shards on."""
        self.owner.is_draining = True
        self._drain_until = now + DRAIN_SECONDS

    def _go_on_draining(self, now: float) -> None:
        if not self.owner.is_draining or self.ownership.is_leaving:
            return
        if self.owner.is_saved() or now >= self._drain_until:
            self._log("shards passed on", saved=self.owner.is_saved())
            self._emit_all(self.ownership.leave())

    def _emit_all(self, instructions: Iterable[object]) -> None:
        for instruction in instructions:
            self._emit(instruction)
