"""Clients of jobs whose items need much of an engine's cache, and whose ids are sent twice.

Beside the engines that run them, the list has engines of services that get no work.
"""

import threading
import time

from troutswitch.soak.callers import DaemonEndpoint
from troutswitch.soak.jobs import JobClient, call_job, encode_submission
from troutswitch.soak.observations import Observations, ObservedJob

CACHE_TOKENS = 4_000
"""Tokens that an engine of the soak holds by its configuration."""
MAX_QUEUED_TOKENS = 32_000
"""Limit of the batch route beside sized items: several jobs, so that some are refused."""
SIZES = (52, 800, 2_400, 3_401, 3_600)
"""Tokens of an item; the larger ones need most of a cache. They leave space for some online
requests: callers never leave an engine, and are not held back for an item."""
IDLE_SERVICES = ("a-idle-service", "z-idle-service")
"""Services without work; the groups of the first one come before those of the used service."""
IDLE_ENGINES = 2
"""Number of listed engines of each idle service."""
CONFLICT_SHARE = 0.4
"""Share of jobs whose id is also sent with other content."""
CONFLICTING_PREFIX = "other-"
"""Begin of the ids of items in such other content."""


class SizedJobClient(JobClient):
    """A client that states large sizes, and sends some ids a second time with other content."""

    def __init__(
        self, name: str, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        super().__init__(name, seed, endpoints, observations)
        self._sizes: dict[str, int] = {}

    def _encode(self, job: ObservedJob) -> bytes:
        return encode_submission(job, self._sizes)

    def _submit(self, job: ObservedJob) -> None:
        self._sizes = {item: self._rng.choice(SIZES) for item in job.items}
        if self._rng.random() >= CONFLICT_SHARE:
            super()._submit(job)
            return
        conflicting = ObservedJob(
            job.job_id,
            {CONFLICTING_PREFIX + item: body[::-1] + b"!" for item, body in job.items.items()},
            time.monotonic(),
        )
        with self.observations.lock:
            self.observations.jobs.append(conflicting)
        body = encode_submission(conflicting, {})
        endpoint = self._rng.choice(self.endpoints)
        sender = threading.Thread(target=self._send_once, args=(conflicting, endpoint, body))
        sender.start()
        super()._submit(job)
        sender.join()

    def _send_once(self, job: ObservedJob, endpoint: DaemonEndpoint, body: bytes) -> None:
        """Sends other content under a job's id, once."""
        answer = call_job(endpoint, "POST", f"/item/{job.job_id}", job.job_id, job.job_id, body)
        job.statuses.append(answer.status)
        if answer.status == 202:
            job.accepted_at = time.monotonic()
