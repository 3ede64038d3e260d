"""Interface of the batch jobs of one daemon to its other decisions.

It builds the parts (intake, reads, ownership, owner, retention), passes each event and store
outcome to the part that handles it, and emits the instructions of all parts. It owns the drain:
how long the daemon keeps its shards to save the output of running items.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import assert_never

from troutswitch.decisions.jobs.content_copies import ContentCopies
from troutswitch.decisions.jobs.dependencies import JobDependencies, JobInstruction, JobSettings
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
from troutswitch.decisions.jobs.owner import JobOwner
from troutswitch.decisions.jobs.ownership import ShardOwnership
from troutswitch.decisions.jobs.reads import JobCall, JobReads
from troutswitch.decisions.jobs.replicas import JobReplicas
from troutswitch.decisions.jobs.retention import JobRetention
from troutswitch.decisions.jobs.token_limits import TokenLimits
from troutswitch.decisions.storage.messages import StoreOutcome
from troutswitch.outcomes import NotRun

DRAIN_SECONDS = 1.5
"""Maximum time for which a draining daemon keeps its shards to save running items."""

JobEvent = (
    JobSubmitted
    | ResultsRequested
    | BodyRequested
    | JobEndRequested
    | ItemRunEnded
    | ItemBegun
    | ItemProgressed
)
"""Calls of clients and events of runs."""


class JobCoordinator:
    """All decisions about batch jobs on one daemon."""

    def __init__(self, dependencies: JobDependencies, settings: JobSettings) -> None:
        numbers, rng, log = dependencies.numbers, dependencies.rng, dependencies.log
        self._tenant_keys = dependencies.tenant_keys
        self._emit = dependencies.emit
        self._log = log
        self._drain_deadline = float("inf")
        self.replicas = JobReplicas(numbers, rng)
        token_limits = TokenLimits(dependencies.routes, self.replicas.index)
        self.copies = ContentCopies(self.replicas, numbers, log)
        self.intake = JobIntake(
            dependencies, settings.limits, self.replicas, token_limits, self.copies, self._answer
        )
        self.reads = JobReads(self.replicas, numbers, self._answer, log)
        self.ownership = ShardOwnership(
            settings.member, settings.min_member_ttl, self.replicas, numbers, rng, log
        )
        self.owner = JobOwner(dependencies, settings, self.replicas, self.ownership, token_limits)
        self.retention = JobRetention(
            self.replicas, self.ownership, numbers, settings.job_kept, log
        )

    def _answer(self, token: int, answer: JobAnswer) -> None:
        self._emit(AnswerJobCall(token, answer))

    # Events.

    def on_event(self, now: float, event: JobEvent) -> None:
        """Handles a call of a client or an event of a run."""
        match event:
            case JobSubmitted() | ResultsRequested() | BodyRequested() | JobEndRequested():
                self._on_call(now, event)
            case ItemRunEnded():
                self.owner.on_run_ended(now, event)
            case ItemBegun():
                self.owner.on_first_token(event)
            case ItemProgressed():
                self.owner.on_progressed(event)
            case _:
                assert_never(event)

    def _on_call(self, now: float, event: JobCall | JobSubmitted) -> None:
        """Handles a client's call; refuses it if its API key is unknown."""
        tenant = self._tenant_keys.identify_for_jobs(event.caller_key)
        if isinstance(tenant, NotRun):
            refusal = JobRefused(tenant.status, tenant.reason, tenant.retry_after)
            self._log("job call refused", job_id=event.job_id, reason=tenant.reason)
            self._answer(event.token, refusal)
            return
        call = replace(event, tenant=tenant.name)
        if isinstance(call, JobSubmitted):
            self._emit_all(self.intake.on_submitted(now, call))
        else:
            self._emit_all(self.reads.on_call(now, call))

    def on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a store call."""
        if self.intake.owns(call):
            self._emit_all(self.intake.on_answer(now, call, outcome))
        elif self.copies.owns(call):
            self.copies.on_answer(now, call, outcome)
        elif self.reads.owns(call):
            self._emit_all(self.reads.on_answer(now, call, outcome))
        elif self.ownership.owns(call):
            self.ownership.on_answer(now, call, outcome)
        elif self.owner.owns(call):
            self.owner.on_answer(now, call, outcome)
        elif self.retention.owns(call):
            self.retention.on_answer(now, outcome)
        else:
            self._emit_all(self.replicas.on_answer(now, call, outcome))

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(
            self.replicas.next_due(),
            self.intake.next_due(),
            self.copies.next_due(),
            self.reads.next_due(),
            self.ownership.next_due(),
            self.owner.next_due(),
            self.retention.next_due(),
        )

    def on_timer(self, now: float) -> None:
        """Runs the due work of all parts."""
        self._emit_all(self.ownership.on_timer(now))
        self._emit_all(self.owner.on_timer(now))
        self._emit_all(self.retention.on_timer(now))
        self._continue_drain(now)
        self._emit_all(self.intake.on_timer(now))
        self._emit_all(self.copies.on_timer(now))
        self._emit_all(self.reads.on_timer(now))
        # Last: the other parts may have requested reads.
        self._emit_all(self.replicas.on_timer(now))

    def drain(self, now: float) -> None:
        """Stops running items, saves their output, then releases the shards."""
        self.owner.is_draining = True
        self._drain_deadline = now + DRAIN_SECONDS

    def _continue_drain(self, now: float) -> None:
        if not self.owner.is_draining or self.ownership.is_leaving:
            return
        if self.owner.is_drained() or now >= self._drain_deadline:
            self._log("shards released", saved=self.owner.is_drained())
            self._emit_all(self.ownership.leave())

    def _emit_all(self, instructions: Iterable[JobInstruction]) -> None:
        for instruction in instructions:
            self._emit(instruction)
