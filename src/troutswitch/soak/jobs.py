"""Clients of batch jobs: they submit, read and end jobs, each call at a randomly drawn daemon."""

import http.client
import json
import random
import threading
import time
from base64 import b64encode
from collections.abc import Mapping
from dataclasses import dataclass

from troutswitch.platform import names
from troutswitch.platform.stand_in_forms import results_path
from troutswitch.soak.callers import DaemonEndpoint, connect, request_headers
from troutswitch.soak.checks import item_path
from troutswitch.soak.observations import Observations, ObservedJob, ObservedResult
from troutswitch.standins.content import LONG_ITEM_PREFIX

ITEMS_PER_JOB = (1, 6)
"""Range of items per job; small, so that many jobs complete within a short soak."""
MAX_SUBMIT_ATTEMPTS = 30
"""Attempts after which a submission is given up; with the delays they take 6 s or more."""
RETRY_SECONDS = 0.2
"""Delay before a submission is repeated."""
JOB_INTERVAL_SECONDS = (0.2, 1.0)
"""Range of the pause between two jobs of a client."""
READ_INTERVAL_SECONDS = 0.1
"""Pause between two reads of results; the platform's clients read only twice a second."""
END_REQUEST_SHARE = 0.02
"""Share of a reader's calls that end a job instead of reading it; a job is read about ten times."""
MAX_ITEM_BODY_BYTES = 1000
ITEM_TOKENS = 52
"""Tokens of an item: those of its prompt and the most that it may generate."""
LONG_ITEMS_PER_JOB = (1, 3)
LONG_JOB_INTERVAL_SECONDS = (1.5, 3.0)
"""Range of the pause between two jobs of long items, each of which takes seconds."""
MAX_LONG_ITEM_BODY_BYTES = 8000
ACCEPTED = 202
TOO_MANY_REQUESTS = 429
NOT_FOUND_STATUSES = (404, 410)


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Status and body of a call about a job; status 0 if the answer was not received completely."""

    status: int
    body: bytes


def call_job(
    endpoint: DaemonEndpoint, method: str, path: str, call_id: str, job_id: str, body: bytes = b""
) -> JobAnswer:
    """Makes one call about a job on a new connection, with the key of the job's tenant."""
    try:
        connection = connect(endpoint.address)
    except OSError:
        return JobAnswer(0, b"")
    try:
        connection.request(method, path, body, request_headers(call_id, job_id))
        response = connection.getresponse()
        return JobAnswer(response.status, response.read())
    except (OSError, http.client.HTTPException):
        return JobAnswer(0, b"")
    finally:
        connection.close()


def read_results(endpoint: DaemonEndpoint, job: ObservedJob, position: int) -> int:
    """Reads results from a position on, records them, and returns the status of the answer."""
    path = results_path(job.job_id, position)
    answer = call_job(endpoint, "GET", path, f"read-{job.job_id}", job.job_id)
    if answer.status in NOT_FOUND_STATUSES:
        job.not_found_replies.append((endpoint.daemon, time.monotonic()))
    if answer.status != 200:
        return answer.status
    page = json.loads(answer.body)
    job.totals.add(page["total"])
    for number, row in enumerate(page["results"], position):
        result = ObservedResult(endpoint.daemon, number, row["id"], row["state"], row["message"])
        job.results.append(result)
    return answer.status


def items_listed_by(job: ObservedJob, daemon: str) -> set[str]:
    """Returns the ids of the items whose results a daemon has listed."""
    return {row.item_id for row in job.results if row.daemon == daemon}


class JobClient:
    """A client with two threads: one submits jobs, the other reads and ends them."""

    def __init__(
        self, name: str, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.name = name
        self.endpoints = endpoints
        self.observations = observations
        self.stop_requested = threading.Event()
        self._rng = random.Random(f"{seed}-{name}")
        self._reader_rng = random.Random(f"{seed}-{name}-reads")
        self._accepted: list[ObservedJob] = []
        self.threads = [
            threading.Thread(target=self._submit_jobs, daemon=True),
            threading.Thread(target=self._read_jobs, daemon=True),
        ]

    def _submit_jobs(self) -> None:
        count = 0
        while not self.stop_requested.wait(self._pause_seconds):
            count += 1
            job = self._draw_job(f"{self.name}-{count}")
            with self.observations.lock:
                self.observations.jobs.append(job)
            self._submit(job)

    @property
    def _pause_seconds(self) -> float:
        """Seconds until the next job."""
        return self._rng.uniform(*JOB_INTERVAL_SECONDS)

    def _draw_job(self, job_id: str) -> ObservedJob:
        count = self._rng.randint(*ITEMS_PER_JOB)
        sizes = [self._rng.randint(0, MAX_ITEM_BODY_BYTES) for _ in range(count)]
        items = {f"{job_id}-i{n}": self._rng.randbytes(size) for n, size in enumerate(sizes)}
        return ObservedJob(job_id, items, time.monotonic())

    def _encode(self, job: ObservedJob) -> bytes:
        """Returns the body of a job's submission."""
        return encode_submission(job, {})

    def _submit(self, job: ObservedJob) -> None:
        body = self._encode(job)
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            endpoint = self._rng.choice(self.endpoints)
            answer = call_job(endpoint, "POST", f"/item/{job.job_id}", job.job_id, job.job_id, body)
            job.statuses.append(answer.status)
            if answer.status == ACCEPTED:
                job.accepted_at = time.monotonic()
                self._accepted.append(job)
                return
            if answer.status == TOO_MANY_REQUESTS or self.stop_requested.wait(RETRY_SECONDS):
                return

    def _read_jobs(self) -> None:
        rng = self._reader_rng
        while not self.stop_requested.wait(READ_INTERVAL_SECONDS):
            if not self._accepted:
                continue
            job = rng.choice(self._accepted[-20:])
            endpoint = rng.choice(self.endpoints)
            if rng.random() < END_REQUEST_SHARE:
                self._end_job(endpoint, job)
                continue
            read_results(endpoint, job, rng.randint(0, len(job.items) // 2))

    def _end_job(self, endpoint: DaemonEndpoint, job: ObservedJob) -> None:
        job.end_requested_at = job.end_requested_at or time.monotonic()
        path = f"{names.JOB_PATH}{job.job_id}"
        answer = call_job(endpoint, "DELETE", path, f"end-{job.job_id}", job.job_id)
        if answer.status == 200 and not job.ended_at:
            job.ended_at = time.monotonic()


class LongJobClient(JobClient):
    """A client whose items have long outputs, which are saved while they run."""

    def _draw_job(self, job_id: str) -> ObservedJob:
        count = self._rng.randint(*LONG_ITEMS_PER_JOB)
        sizes = [self._rng.randint(0, MAX_LONG_ITEM_BODY_BYTES) for _ in range(count)]
        items = {
            f"{job_id}-i{n}": LONG_ITEM_PREFIX + self._rng.randbytes(size)
            for n, size in enumerate(sizes)
        }
        return ObservedJob(job_id, items, time.monotonic())

    @property
    def _pause_seconds(self) -> float:
        return self._rng.uniform(*LONG_JOB_INTERVAL_SECONDS)


def encode_submission(job: ObservedJob, sizes: Mapping[str, int]) -> bytes:
    """Returns the body of the request that submits a job.

    `sizes` has the tokens of items that state other than `ITEM_TOKENS`.
    """
    rows = [
        {
            "id": item,
            "path": item_path(job.job_id, number),
            "headers": {names.MODEL: "m", names.TOKEN_USAGE: "40,12"},
            "body": b64encode(body).decode(),
            "tokens": sizes.get(item, ITEM_TOKENS),
        }
        for number, (item, body) in enumerate(job.items.items())
    ]
    return json.dumps({"requests": rows}).encode()
