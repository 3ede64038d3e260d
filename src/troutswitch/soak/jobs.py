"""Clients of batch jobs: they hand in, resend, end and read, each call at a daemon they draw."""

import http.client
import json
import random
import threading
import time
from base64 import b64encode
from dataclasses import dataclass

from troutswitch.platform import names
from troutswitch.platform.stand_in_forms import results_path
from troutswitch.soak.callers import Front, connect, request_headers
from troutswitch.soak.checks import item_path
from troutswitch.soak.evidence import Evidence, JobSeen, ResultSeen

ITEMS = (1, 6)
"""Items of a job: a few, so that many jobs live and end within a short soak."""
HAND_IN_TRIES = 30
"""Tries at which a job is given up as not accepted; with the rests some 6 s and more."""
RETRY_SECONDS = 0.2
JOB_SECONDS = (0.2, 1.0)
"""Rest between two jobs of one client."""
READ_SECONDS = 0.1
"""Rest between two readings; the platform's clients read twice a second, a soak oftener."""
END_SHARE = 0.02
"""Share of a reader's calls that end the job instead; a job is read about ten times."""
BODY_BYTES_MOST = 1000
ACCEPTED = 202
TURNED_AWAY = 429
NO_SUCH_JOB = (404, 410)


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and body of a call about a job; status 0 if no whole answer came."""

    status: int
    body: bytes


def call(
    front: Front, method: str, path: str, call_id: str, job_id: str, body: bytes = b""
) -> Answer:
    """Makes one call about a job on a new connection, with a key of the job's tenant."""
    try:
        connection = connect(front.address)
    except OSError:
        return Answer(0, b"")
    try:
        connection.request(method, path, body, request_headers(call_id, job_id))
        response = connection.getresponse()
        return Answer(response.status, response.read())
    except (OSError, http.client.HTTPException):
        return Answer(0, b"")
    finally:
        connection.close()


def read_results(front: Front, job: JobSeen, position: int) -> int:
    """Reads results from a position, notes them, and returns the answer's status."""
    path = results_path(job.job_id, position)
    answer = call(front, "GET", path, f"read-{job.job_id}", job.job_id)
    if answer.status in NO_SUCH_JOB:
        job.denied.append((front.daemon, time.monotonic()))
    if answer.status != 200:
        return answer.status
    held = json.loads(answer.body)
    job.totals.add(held["total"])
    for number, row in enumerate(held["results"], position):
        seen = ResultSeen(front.daemon, number, row["id"], row["state"], row["message"])
        job.results.append(seen)
    return answer.status


def listed_at(job: JobSeen, daemon: str) -> set[str]:
    """Returns the items that a daemon has shown a result of."""
    return {row.item_id for row in job.results if row.daemon == daemon}


class JobClient:
    """One client on two threads: one hands jobs in, the other reads and ends them."""

    def __init__(self, name: str, seed: int, fronts: list[Front], evidence: Evidence) -> None:
        self.name = name
        self.fronts = fronts
        self.evidence = evidence
        self.asked_to_stop = threading.Event()
        self._random = random.Random(f"{seed}-{name}")
        self._reader_random = random.Random(f"{seed}-{name}-reads")
        self._accepted: list[JobSeen] = []
        self.threads = [
            threading.Thread(target=self._hand_in_jobs, daemon=True),
            threading.Thread(target=self._read_jobs, daemon=True),
        ]

    def _hand_in_jobs(self) -> None:
        count = 0
        while not self.asked_to_stop.wait(self._random.uniform(*JOB_SECONDS)):
            count += 1
            job = self._draw(f"{self.name}-{count}")
            with self.evidence.lock:
                self.evidence.jobs.append(job)
            self._hand_in(job)

    def _draw(self, job_id: str) -> JobSeen:
        count = self._random.randint(*ITEMS)
        sizes = [self._random.randint(0, BODY_BYTES_MOST) for _ in range(count)]
        items = {f"{job_id}-i{n}": self._random.randbytes(size) for n, size in enumerate(sizes)}
        return JobSeen(job_id, items, time.monotonic())

    def _hand_in(self, job: JobSeen) -> None:
        body = write_submission(job)
        for _ in range(HAND_IN_TRIES):
            front = self._random.choice(self.fronts)
            answer = call(front, "POST", f"/item/{job.job_id}", job.job_id, job.job_id, body)
            job.statuses.append(answer.status)
            if answer.status == ACCEPTED:
                job.accepted_at = time.monotonic()
                self._accepted.append(job)
                return
            if answer.status == TURNED_AWAY or self.asked_to_stop.wait(RETRY_SECONDS):
                return

    def _read_jobs(self) -> None:
        drawn = self._reader_random
        while not self.asked_to_stop.wait(READ_SECONDS):
            if not self._accepted:
                continue
            job = drawn.choice(self._accepted[-20:])
            front = drawn.choice(self.fronts)
            if drawn.random() < END_SHARE:
                self._end(front, job)
                continue
            read_results(front, job, drawn.randint(0, len(job.items) // 2))

    def _end(self, front: Front, job: JobSeen) -> None:
        job.end_asked_at = job.end_asked_at or time.monotonic()
        path = f"{names.JOB_PATH}{job.job_id}"
        answer = call(front, "DELETE", path, f"end-{job.job_id}", job.job_id)
        if answer.status == 200 and not job.ended_at:
            job.ended_at = time.monotonic()


def write_submission(job: JobSeen) -> bytes:
    """Writes a job as its client hands it in."""
    rows = [
        {
            "id": item,
            "path": item_path(job.job_id, number),
            "headers": {names.MODEL: "m", names.TOKEN_USAGE: "40,12"},
            "body": b64encode(body).decode(),
            "tokens": 52,
        }
        for number, (item, body) in enumerate(job.items.items())
    ]
    return json.dumps({"requests": rows}).encode()
