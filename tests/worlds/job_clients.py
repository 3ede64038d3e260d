"""Clients of batch jobs in the virtual world: they submit jobs, read results, and end jobs."""

import random
from collections.abc import Callable
from typing import Protocol

from tests.worlds.job_truth import JobTruth
from tests.worlds.plain_formats import HOST, PREFIX
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
"""Interval between a client's reads of results."""
CALL_SECONDS = 4.0
"""Timeout of a client's call."""
JOB_KEPT_SECONDS = 120.0
"""Time for which a client may read its job."""


class ClientWorld(Protocol):
    """What clients need of their world."""

    rng: random.Random
    jobs: dict[str, JobTruth]
    violations: list[str]

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""
        ...

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Calls a function later."""
        ...

    def next_token(self) -> int:
        """Returns a token for a call."""
        ...

    def ask_any(self, event: JobCall | JobSubmitted, answer: Callable[[JobAnswer], None]) -> None:
        """Makes a call at a daemon that a client may reach."""
        ...

    def drop_call(self, token: int) -> None:
        """Has a client stop waiting for the answer to a call."""
        ...


class JobClients:
    """All clients of one world."""

    def __init__(self, world: ClientWorld) -> None:
        self._world = world

    def hand_in(self, job_id: str, items: int, tokens: int, tries: int, path: str = "") -> JobTruth:
        """Submits a job, again after each failure, and then reads its results.

        Items have paths of their own, or one `path` and bodies of their own.
        """
        rows = tuple(
            JobItem(
                f"{job_id}-{n}",
                path or f"{PREFIX}{n}",
                (),
                f"body {n}".encode() if path else b"body",
                tokens,
            )
            for n in range(items)
        )
        truth = JobTruth(job_id, rows, self._world.now)
        self._world.jobs[job_id] = truth
        self._try_hand_in(truth, tries)
        return truth

    def _try_hand_in(self, truth: JobTruth, tries: int) -> None:
        token = self._world.next_token()
        event = JobSubmitted(
            token, truth.job_id, HOST, f"{PREFIX}{truth.job_id}", truth.items, "d", CALL_SECONDS
        )
        self._world.ask_any(event, lambda answer: self._on_handed_in(truth, answer))
        if tries > 1:
            self._world.after(
                CALL_SECONDS + 0.5, lambda: self._hand_in_again(truth, token, tries - 1)
            )

    def _hand_in_again(self, truth: JobTruth, token: int, tries: int) -> None:
        self._world.drop_call(token)
        if truth.accepted_at == float("inf"):
            self._try_hand_in(truth, tries)

    def _on_handed_in(self, truth: JobTruth, answer: JobAnswer) -> None:
        if isinstance(answer, JobAccepted) and truth.accepted_at == float("inf"):
            truth.accepted_at = self._world.now
            self._world.after(READ_INTERVAL_SECONDS, lambda: self._read(truth))
        elif isinstance(answer, JobRefused):
            truth.refusals.append(answer.status)

    def _read(self, truth: JobTruth) -> None:
        position = self._world.rng.choice([0, len(truth.results)])
        event = ResultsRequested(self._world.next_token(), truth.job_id, position, CALL_SECONDS)
        self._world.ask_any(event, lambda answer: self._on_read(truth, answer))
        if self._world.now < truth.accepted_at + JOB_KEPT_SECONDS:
            self._world.after(READ_INTERVAL_SECONDS, lambda: self._read(truth))

    def _on_read(self, truth: JobTruth, answer: JobAnswer) -> None:
        if isinstance(answer, JobRefused) and answer.status == 404:
            self._world.violations.append(f"an accepted job was not found: {truth.job_id}")
        if isinstance(answer, JobResults):
            self._world.violations += truth.take_results(answer)

    def end_job(self, truth: JobTruth) -> None:
        """Ends a job."""
        event = JobEndRequested(self._world.next_token(), truth.job_id, CALL_SECONDS)
        self._world.ask_any(event, lambda answer: self._on_ended(truth, answer))

    def _on_ended(self, truth: JobTruth, answer: JobAnswer) -> None:
        if isinstance(answer, JobEnded):
            truth.ended_at = min(truth.ended_at, self._world.now)
