"""Case 1: one wrong byte in one event of one batch item ends a daemon, and its callers' requests.

LOST is broken if more than three requests on kept connections, passed on to sound servers, end with
a closed connection and no answer.
"""

import http.client
import json
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True

from harness import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    HOST,
    Daemon,
    Deployment,
    Record,
    is_troubled,
)

CALLERS_PER_DAEMON = 16
SERVERS = 6
CALM_SECONDS = 6.0
TRAFFIC_SECONDS = 18.0
ITEMS = 48
ROUTES = [
    {
        "name": "ask",
        "pathPrefix": "/ask/",
        "routeType": "idempotent",
        "timeoutMs": 4000,
        "targetLatencyMs": 3000,
        "maxAttempts": 2,
        "priority": 0,
    },
    {
        "name": "lot",
        "pathPrefix": "/lot/",
        "routeType": "batch",
        "timeoutMs": 30000,
        "targetLatencyMs": 500,
        "gapTargetMs": 300,
        "maxAttempts": 3,
        "priority": 2,
        "resumable": True,
        "completionTargetMs": 20000,
        "retentionS": 60,
        "maxQueuedTokens": 1600000,
    },
]


class Caller(threading.Thread):
    """A caller that keeps its connection for many requests, one at a time."""

    def __init__(self, daemon: Daemon, record: Record, until: float) -> None:
        super().__init__(daemon=True)
        self.target = daemon
        self.record = record
        self.until = until
        self.statuses: dict[int, int] = {}
        self.unanswered: list[tuple[str, int]] = []
        """Requests whose connection ended without a byte of an answer, and the connection's age in
        requests."""

    def run(self) -> None:
        """Sends requests until the time is over."""
        time.sleep(random.random())
        while time.monotonic() < self.until:
            self._use_connection()
            time.sleep(0.2)

    def _use_connection(self) -> None:
        connection = http.client.HTTPConnection(self.target.ip, Daemon.FRONT, timeout=5.5)
        before = 0
        try:
            connection.connect()
            while time.monotonic() < self.until:
                request_id = f"{random.getrandbits(64):016x}"
                headers = {"Host": HOST, "X-Troutswitch-Request-Id": request_id}
                headers["X-Troutswitch-Deadline-Ms"] = "4000"
                try:
                    connection.request("POST", "/ask/x", request_id.encode(), headers)
                    response = connection.getresponse()
                    response.read()
                except (OSError, http.client.HTTPException) as error:
                    self.unanswered.append((request_id, before))
                    text = f"{type(error).__name__}: {error}"
                    self.record.write(
                        f"request {request_id} at {self.target.name}, number {before + 1} on its"
                        f" connection, ended without an answer: {text}"
                    )
                    return
                self.statuses[response.status] = self.statuses.get(response.status, 0) + 1
                before += 1
                if response.will_close:
                    return
        except OSError:
            return  # not connected
        finally:
            connection.close()


def read_all(deployment: Deployment, job: str) -> dict[str, tuple[str, str]]:
    """Reads what is listed of a job, at whichever daemon answers."""
    listed: dict[str, tuple[str, str]] = {}
    for daemon in deployment.daemons:
        listed.clear()
        while True:
            answer = deployment.read(daemon, job, len(listed))
            if answer.status != 200:
                break
            rows = json.loads(answer.body)["results"]
            if not rows:
                return listed
            listed |= {row["id"]: (row["state"], row["message"]) for row in rows}
    return listed


def play(record: Record) -> int:
    """Plays the case and returns its exit code."""
    with Deployment(record, ROUTES) as deployment:
        for number in range(SERVERS):
            # The first server spoils one in 25 of its answers to items, one byte each.
            spoil = ["--spoil-every", "25"] if number == 0 and is_troubled() else []
            deployment.add_server(f"server-{number}", "1", "--work", "2.0", *spoil)
        deployment.start_daemons(3)
        until = time.monotonic() + CALM_SECONDS + TRAFFIC_SECONDS
        callers = [
            Caller(daemon, record, until)
            for daemon in deployment.daemons
            for _ in range(CALLERS_PER_DAEMON)
        ]
        for caller in callers:
            caller.start()
        time.sleep(CALM_SECONDS)
        jobs = {f"job-{n}": [f"item-{n}-{k}" for k in range(ITEMS // 4)] for n in range(4)}
        for job, items in jobs.items():
            for daemon in deployment.daemons:
                if deployment.submit(daemon, job, items).status == 202:
                    break
        for caller in callers:
            caller.join(until + 10 - time.monotonic())
        time.sleep(4.0)
        unlisted = [
            item
            for job, items in jobs.items()
            for item in set(items) - set(read_all(deployment, job))
        ]
        return judge(record, deployment, callers, unlisted)


def judge(
    record: Record, deployment: Deployment, callers: list[Caller], unlisted: list[str]
) -> int:
    """Compares what callers and servers saw with the rule."""
    sound = {
        str(row["id"])
        for server in deployment.servers[1:]
        for row in server.rows()
        if row["kind"] == "begun" and str(row["path"]).startswith("/ask/")
    }
    spoiled = [
        row["id"]
        for server in deployment.servers
        for row in server.rows()
        if row["kind"] == "begun" and row["spoiled"]
    ]
    ends = sum(len(daemon.own_ends) for daemon in deployment.daemons)
    unanswered = [entry for caller in callers for entry in caller.unanswered]
    lost = [request for request, before in unanswered if before >= 1 and request in sound]
    statuses: dict[int, int] = {}
    for caller in callers:
        for status, count in caller.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    record.write(f"callers' answers by status: {statuses}")
    record.write(f"items whose answer had one wrong byte: {spoiled}")
    record.write(f"daemons that ended by themselves: {ends}")
    record.write(f"requests without an answer: {len(unanswered)}")
    record.write(f"of these, on a kept connection and passed on to a sound server: {len(lost)}")
    record.write(f"items not listed at the end: {len(unlisted)}")
    if sum(statuses.values()) < 100 or (is_troubled() and not spoiled):
        record.write("could not run: too little traffic, or no item reached the first server")
        return COULD_NOT_RUN
    verdict = BROKEN if len(lost) > 3 else HELD
    record.write("LOST is broken" if verdict == BROKEN else "LOST held")
    return verdict


def main() -> int:
    """Runs the case."""
    record = Record(Path(__file__).resolve().parent / "record.txt")
    record.write(f"trouble: {is_troubled()}")
    try:
        return play(record)
    except Exception as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN


sys.exit(main())
