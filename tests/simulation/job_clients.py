"""Simulated clients of batch jobs, which submit jobs, read their results and end them."""

import random
from collections.abc import Callable
from typing import Protocol

from tests.simulation.observed_job import ObservedJob
from tests.simulation.plain_formats import HOST, PARTS_HEADER, PREFIX
from troutswitch.decisions.jobs.messages import (
    JobAccepted,
    JobAnswer,
    JobEnded,
    JobEndRequested,
    JobRefused,
    JobResults,
    JobSubmitted,
    ResultsRequested,
)
from troutswitch.decisions.jobs.reads import JobCall
from troutswitch.decisions.jobs.records import JobItem

READ_INTERVAL_SECONDS = 0.5
"""Interval at which a client reads the results of its job."""
CALL_TIMEOUT_SECONDS = 4.0
"""Timeout of a client's call to a daemon."""
JOB_RETENTION_SECONDS = 120.0
"""Time for which an ended job can be read."""


class ClientEnvironment(Protocol):
    """The part of a simulated fleet that clients use."""

    rng: random.Random
    jobs: dict[str, ObservedJob]
    violations: list[str]

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        ...

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedules a call of a function."""
        ...

    def next_token(self) -> int:
        """Returns a new token for a call to a daemon."""
        ...

    def call_any_daemon(
        self, event: JobCall | JobSubmitted, answer: Callable[[JobAnswer], None]
    ) -> None:
        """Sends a call to a random daemon that is up."""
        ...

    def drop_call(self, token: int) -> None:
        """Discards the answer to a call if it still arrives."""
        ...


class JobClients:
    """All clients of one fleet."""

    def __init__(self, fleet: ClientEnvironment) -> None:
        self._fleet = fleet

    def submit_job(
        self, job_id: str, items: int, tokens: int, tries: int, path: str = "", parts: str = ""
    ) -> ObservedJob:
        """Submits a job, retrying on failure, and then reads its results periodically.

        Items have different paths, or the same `path` and different bodies in all jobs. `parts` has
        the ids of the parts of their prompts, separated by spaces.
        """
        headers = ((PARTS_HEADER, parts),) if parts else ()
        job_items = tuple(
            JobItem(
                f"{job_id}-{n}",
                path or f"{PREFIX}{n}",
                headers,
                f"body {n} of {job_id}".encode() if path else b"body",
                tokens,
            )
            for n in range(items)
        )
        job = ObservedJob(job_id, job_items, self._fleet.now)
        self._fleet.jobs[job_id] = job
        self._submit(job, tries)
        return job

    def _submit(self, job: ObservedJob, tries: int) -> None:
        token = self._fleet.next_token()
        event = JobSubmitted(
            token,
            job.job_id,
            HOST,
            f"{PREFIX}{job.job_id}",
            job.items,
            "d",
            CALL_TIMEOUT_SECONDS,
        )
        self._fleet.call_any_daemon(event, lambda answer: self._on_submitted(job, answer))
        if tries > 1:
            self._fleet.call_later(
                CALL_TIMEOUT_SECONDS + 0.5, lambda: self._resubmit(job, token, tries - 1)
            )

    def _resubmit(self, job: ObservedJob, token: int, tries: int) -> None:
        self._fleet.drop_call(token)
        if job.accepted_at == float("inf"):
            self._submit(job, tries)

    def _on_submitted(self, job: ObservedJob, answer: JobAnswer) -> None:
        if isinstance(answer, JobAccepted) and job.accepted_at == float("inf"):
            job.accepted_at = self._fleet.now
            self._fleet.call_later(READ_INTERVAL_SECONDS, lambda: self._read(job))
        elif isinstance(answer, JobRefused):
            job.refusals.append(answer.status)

    def _read(self, job: ObservedJob) -> None:
        position = self._fleet.rng.choice([0, len(job.results)])
        event = ResultsRequested(
            self._fleet.next_token(), job.job_id, position, CALL_TIMEOUT_SECONDS
        )
        self._fleet.call_any_daemon(event, lambda answer: self._on_read(job, answer))
        if self._fleet.now < job.accepted_at + JOB_RETENTION_SECONDS:
            self._fleet.call_later(READ_INTERVAL_SECONDS, lambda: self._read(job))

    def _on_read(self, job: ObservedJob, answer: JobAnswer) -> None:
        if isinstance(answer, JobRefused) and answer.status == 404:
            self._fleet.violations.append(f"an accepted job was not found: {job.job_id}")
        if isinstance(answer, JobResults):
            self._fleet.violations += job.add_results(answer)

    def end_job(self, job: ObservedJob) -> None:
        """Asks a random daemon to end a job."""
        event = JobEndRequested(self._fleet.next_token(), job.job_id, CALL_TIMEOUT_SECONDS)
        self._fleet.call_any_daemon(event, lambda answer: self._on_ended(job, answer))

    def _on_ended(self, job: ObservedJob, answer: JobAnswer) -> None:
        if isinstance(answer, JobEnded):
            job.ended_at = min(job.ended_at, self._fleet.now)
