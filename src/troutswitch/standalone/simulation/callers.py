"""Simulated callers: online requests and batch jobs, both with bursts and resends."""

import random
from collections.abc import Callable

from troutswitch.outcomes import NotRun, OnlineOutcome
from troutswitch.standalone.decisions.effects import (
    CallAnswer,
    CallRefused,
    ItemResult,
    JobResults,
    JobView,
)
from troutswitch.standalone.decisions.events import (
    JobCancelRequested,
    JobResultsRequested,
    JobStatusRequested,
    JobSubmitted,
    OnlineArrived,
)
from troutswitch.standalone.log_service.records import BatchItem, content_digest
from troutswitch.standalone.simulation.clock import VirtualClock
from troutswitch.standalone.simulation.daemon import SimulatedDaemon
from troutswitch.standalone.simulation.observer import JobRecord, Observer, OnlineRecord
from troutswitch.standalone.simulation.scenarios import Scenario

CALL_SECONDS = 10.0
REQUEST_SECONDS = 60.0
MAX_ONLINE_ATTEMPTS = 5
RESEND_SECONDS = 2.0
JOB_TENANT = "tenant-batch"
DAY_SECONDS = 86_400.0
RESULTS_PER_PAGE = 32
"""Results requested per call."""

ChooseDaemon = Callable[[], SimulatedDaemon | None]


class OnlineCallers:
    """Sends online requests at a mean rate and in bursts; retries those that were not run."""

    def __init__(
        self,
        scenario: Scenario,
        clock: VirtualClock,
        observer: Observer,
        choose_daemon: ChooseDaemon,
        rng: random.Random,
        ends_at: float,
    ) -> None:
        self._scenario = scenario
        self._clock = clock
        self._observer = observer
        self._choose_daemon = choose_daemon
        self._rng = rng
        self._ends_at = ends_at
        self._count = 0
        self._schedule_arrival()
        self._schedule_burst()

    def _schedule_arrival(self) -> None:
        delay = self._rng.expovariate(self._scenario.workload.online_per_second)
        self._clock.call_later(delay, self._arrive)

    def _arrive(self) -> None:
        if self._clock.now() < self._ends_at:
            self.send_new()
            self._schedule_arrival()

    def _schedule_burst(self) -> None:
        delay = self._rng.expovariate(1.0 / self._scenario.workload.online_burst_interval_seconds)
        self._clock.call_later(delay, self._burst)

    def _burst(self) -> None:
        if self._clock.now() >= self._ends_at:
            return
        for _ in range(self._scenario.workload.requests_per_online_burst):
            self._clock.call_later(self._rng.uniform(0.0, 0.3), self.send_new)
        self._schedule_burst()

    def send_new(self) -> None:
        """Sends one new request."""
        workload = self._scenario.workload
        self._count += 1
        repeatable = self._rng.random() >= workload.non_repeatable_share
        key = "" if repeatable or self._rng.random() < 0.5 else f"once-{self._count}"
        prefix = f"prefix-{int(self._rng.paretovariate(0.8)) % workload.prefixes}"
        prompt = self._rng.randint(*workload.online_prompt)
        tokens = self._rng.randint(*workload.online_tokens)
        tenant = f"tenant-{self._rng.randint(1, 5)}"
        self._send(f"online-{self._count}", tenant, prefix, prompt, tokens, key, repeatable, 1)
        if key and self._rng.random() < 0.5:
            # A caller that resends, possibly through another daemon, before it has an answer.
            self._clock.call_later(
                self._rng.uniform(0.0, 0.5),
                lambda: self._send(
                    f"online-{self._count}-again-{key}", tenant, prefix, prompt, tokens, key,
                    repeatable, MAX_ONLINE_ATTEMPTS,
                ),
            )  # fmt: skip

    def _send(
        self,
        request_id: str,
        tenant: str,
        prefix: str,
        prompt: int,
        tokens: int,
        key: str,
        repeatable: bool,
        attempt: int,
    ) -> None:
        daemon = self._choose_daemon()
        if daemon is None or request_id in self._observer.online:
            return
        now = self._clock.now()
        record = OnlineRecord(request_id, key, repeatable, tokens, now)
        self._observer.online[request_id] = record
        arrival = OnlineArrived(
            request_id, tenant, self._scenario.service, prompt, tokens, prefix,
            now + REQUEST_SECONDS, repeatable, key,
        )  # fmt: skip

        def on_first_token() -> None:
            record.first_token_at = min(record.first_token_at, self._clock.now())

        def on_finish(outcome: OnlineOutcome | None) -> None:
            self._observer.on_online_end(self._clock.now(), request_id, outcome)
            if isinstance(outcome, NotRun) and attempt < MAX_ONLINE_ATTEMPTS:
                again = f"{request_id}+"
                delay = outcome.retry_after or 0.5
                self._clock.call_later(
                    delay,
                    lambda: self._send(
                        again, tenant, prefix, prompt, tokens, key, repeatable, attempt + 1
                    ),
                )

        daemon.send_online(arrival, on_first_token, on_finish)


class BatchCallers:
    """Submits bursts of jobs, resends unanswered ones, cancels some, finally reads all results."""

    def __init__(
        self,
        scenario: Scenario,
        clock: VirtualClock,
        observer: Observer,
        choose_daemon: ChooseDaemon,
        rng: random.Random,
        ends_at: float,
        resends: bool,
    ) -> None:
        self._scenario = scenario
        self._clock = clock
        self._observer = observer
        self._choose_daemon = choose_daemon
        self._rng = rng
        self._ends_at = ends_at
        self._resends = resends
        self._count = 0
        self._tokens = 0
        self._schedule_job_burst()

    def _schedule_job_burst(self) -> None:
        mean = self._scenario.workload.job_burst_interval_seconds
        self._clock.call_later(self._rng.uniform(0.6, 1.4) * mean, self._submit_job_burst)

    def _submit_job_burst(self) -> None:
        if self._clock.now() >= self._ends_at:
            return
        for _ in range(self._rng.randint(*self._scenario.workload.jobs_per_burst)):
            self._create_job()
        self._schedule_job_burst()

    def _create_job(self) -> None:
        workload = self._scenario.workload
        self._count += 1
        name = f"job-{self._count}"
        items = tuple(
            BatchItem(
                f"{name}/{number}",
                "x" * 4 * self._rng.randint(*workload.batch_prompt),
                self._rng.randint(*workload.batch_tokens),
            )
            for number in range(self._rng.randint(*workload.items_per_job))
        )
        repeatable = self._rng.random() >= workload.non_repeatable_share
        key = name if self._rng.random() < 0.7 else ""
        custom_ids = tuple(item.custom_id for item in items)
        record = JobRecord(name, custom_ids, repeatable, name)
        self._observer.jobs[name] = record
        self._submit(record, items, key, 1)
        if self._resends and self._rng.random() < 0.3:
            # A duplicate submission, possibly concurrent and through another daemon.
            delay = self._rng.choice((0.0, 0.05, 1.0, 20.0))
            self._clock.call_later(delay, lambda: self._submit(record, items, key, 1))

    def _token(self) -> str:
        self._tokens += 1
        return f"call-{self._tokens}"

    def _submit(
        self, record: JobRecord, items: tuple[BatchItem, ...], key: str, attempt: int
    ) -> None:
        daemon = self._choose_daemon()
        if daemon is None:
            self._maybe_resubmit(record, items, key, attempt)
            return
        now = self._clock.now()
        token = self._token()
        digest = content_digest(self._scenario.service, record.repeatable, items)
        event = JobSubmitted(
            token, JOB_TENANT, self._scenario.service, key, digest, items, now + DAY_SECONDS,
            record.repeatable, now + CALL_SECONDS,
        )  # fmt: skip

        def on_answer(answer: CallAnswer | None) -> None:
            if isinstance(answer, JobView):
                self._on_accepted(record, answer)
                return
            if isinstance(answer, CallRefused) and answer.not_run:
                record.refusals += 1
            else:
                record.may_exist = True
            self._maybe_resubmit(record, items, key, attempt)

        daemon.call(token, event, on_answer)

    def _maybe_resubmit(
        self, record: JobRecord, items: tuple[BatchItem, ...], key: str, attempt: int
    ) -> None:
        """Resubmits a job that was refused or not answered, or gives up."""
        if attempt < 6 and self._rng.random() < 0.85:
            delay = RESEND_SECONDS * attempt * self._rng.uniform(0.5, 1.5)
            self._clock.call_later(delay, lambda: self._submit(record, items, key, attempt + 1))

    def _on_accepted(self, record: JobRecord, view: JobView) -> None:
        is_first = not record.accepted_id
        self._observer.on_job_accepted(self._clock.now(), record, view)
        if is_first and self._rng.random() < self._scenario.workload.cancel_share:
            self._clock.call_later(self._rng.uniform(0.0, 4.0), lambda: self._cancel(record))

    def _cancel(self, record: JobRecord) -> None:
        daemon = self._choose_daemon()
        if daemon is None:
            return
        record.cancel_requested = True
        token = self._token()
        deadline = self._clock.now() + CALL_SECONDS

        def on_answer(answer: CallAnswer | None) -> None:
            if isinstance(answer, JobView) and answer.status == "cancelled":
                record.cancelled_at = self._clock.now()

        event = JobCancelRequested(token, JOB_TENANT, record.accepted_id, deadline)
        daemon.call(token, event, on_answer)

    # Reads after the load.

    def request_status(self, record: JobRecord, on_view: Callable[[JobView], None]) -> None:
        """Requests a job's state from any daemon."""
        daemon = self._choose_daemon()
        if daemon is None:
            return
        token = self._token()

        def on_answer(answer: CallAnswer | None) -> None:
            if isinstance(answer, JobView):
                on_view(answer)

        deadline = self._clock.now() + CALL_SECONDS
        daemon.call(
            token, JobStatusRequested(token, JOB_TENANT, record.accepted_id, deadline), on_answer
        )

    def read_results(
        self, record: JobRecord, so_far: tuple[ItemResult, ...] = (), first: int = 0
    ) -> None:
        """Reads a job's results page by page, each page from any daemon.

        Several reads of one job may run concurrently; each collects its own pages.
        """
        daemon = self._choose_daemon()
        if daemon is None:
            return
        token = self._token()
        deadline = self._clock.now() + CALL_SECONDS

        def on_answer(answer: CallAnswer | None) -> None:
            if not isinstance(answer, JobResults):
                return
            results = so_far + answer.results
            if answer.next_index is None:
                record.results = list(results)
                record.is_read = True
            else:
                self.read_results(record, results, answer.next_index)

        event = JobResultsRequested(
            token, JOB_TENANT, record.accepted_id, first, RESULTS_PER_PAGE, deadline
        )
        daemon.call(token, event, on_answer)
