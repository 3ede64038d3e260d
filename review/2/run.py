"""Case 2: a batch item's text joins two runs after a shard changes hands twice beside a release.

ORDER is broken if, in the text of a result, event n of one run is followed by event n + 1 of
another run that was not asked for with `Last-Event-Id` n.
"""

import json
import sys
import threading
import time
from base64 import b64decode
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True

from harness import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    CouldNotRun,
    Daemon,
    Deployment,
    ModelServer,
    Record,
    is_troubled,
)

JOB = "job-1"
ITEMS = ["item-a", "item-b"]
EVENTS = 120
ROUTES = [
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
    }
]
PACE = ["--events", str(EVENTS), "--burst", "10", "--first", "0.5", "--pause", "1.3"]
"""Ten events come together, then a pause of 1.3 s."""


def until(condition: object, seconds: float, what: str) -> None:
    """Waits for a condition."""
    end = time.monotonic() + seconds
    while not condition():  # type: ignore[operator]
        if time.monotonic() > end:
            raise CouldNotRun(f"{what} did not come about")
        time.sleep(0.01)


def saved_parts(deployment: Deployment, shard: int) -> set[str]:
    """Returns the keys of the saved parts of items' outputs, as anyone may read them."""
    rows = deployment.newest("keyed.items", shard)
    return {str(row["tlsKey"]) for row in rows if str(row["tlsKey"]).startswith("c:")}


def shard_of_job(deployment: Deployment) -> int:
    """Returns the partition that holds the job's records."""
    for part in range(8):
        for row in deployment.newest("keyed.items", part):
            if f":{JOB}:" in str(row["tlsKey"]) and b64decode(str(row["value"])):
                return part
    raise CouldNotRun("the job's records are not in the store")


def owner_of(deployment: Deployment, shard: int) -> str:
    """Returns the daemon whose log says last that it owns the shard."""
    owner, at = "", ""
    for daemon in deployment.daemons:
        for line in daemon.log.read_text().splitlines():
            row = json.loads(line) if line.startswith("{") else {}
            if row.get("event") == "shard owned" and row["shard"] == shard:
                if row["timestamp"] > at:
                    owner, at = daemon.name, row["timestamp"]
    return owner


def release(deployment: Deployment, old: ModelServer) -> None:
    """Replaces a server: the new one starts first, the old one drains and ends."""
    deployment.add_server("server-2", "2", *PACE)
    time.sleep(0.5)
    deployment.list_server(old, "1", "draining")
    deployment.record.write(f"{old.name} is listed as draining")
    time.sleep(2.5)
    old.process.terminate()
    old.process.wait()
    deployment.append("keyed.servers", old.name, b"")
    deployment.record.write(f"{old.name} has ended")


def disturb(deployment: Deployment, old: ModelServer) -> None:
    """Plays the release and, once the items have begun anew, deals the partitions anew."""
    record = deployment.record
    shard = shard_of_job(deployment)
    until(lambda: len(saved_parts(deployment, shard)) >= 8, 20.0, "saved output")
    first = owner_of(deployment, shard)
    names = sorted(daemon.name for daemon in deployment.daemons)
    following = names[(names.index(first) + 1) % len(names)]
    record.write(f"{first} owns the items; their output is saved up to event 40 or so")
    other = next(daemon for daemon in deployment.daemons if daemon.name == following)
    answer = deployment.read(other, JOB, 0)
    record.write(f"a client reads results at {following}: {answer.status} {answer.body!r}")
    release(deployment, old)
    new = deployment.servers[-1]
    until(lambda: len([r for r in new.rows() if r["kind"] == "begun"]) >= 2, 10.0, "new runs")
    record.write(f"{new.name} runs the items from the beginning")
    until(lambda: len(saved_parts(deployment, shard)) <= 2, 10.0, "the saving of the new output")
    deployment.set_store_faults(deals_anew=True)
    record.write(f"the store deals all partitions anew; {following} is next for the items")
    deployment.set_store_faults()


def poll(deployment: Deployment, reader: Daemon, results: dict[str, tuple[str, str]]) -> None:
    """Reads about twice a second until all items are listed, as clients do."""
    end = time.monotonic() + 70.0
    while len(results) < len(ITEMS) and time.monotonic() < end:
        answer = deployment.read(reader, JOB, len(results), 500)
        if answer.status == 200:
            for row in json.loads(answer.body)["results"]:
                results[row["id"]] = (row["state"], row["message"])
        time.sleep(0.5)


def play(record: Record) -> int:
    """Plays the case and returns its exit code."""
    with Deployment(record, ROUTES) as deployment:
        old = deployment.add_server("server-1", "1", *PACE)
        deployment.start_daemons(3)
        time.sleep(4.0)
        if deployment.submit(deployment.daemons[0], JOB, ITEMS).status != 202:
            raise CouldNotRun("the job was not taken")
        time.sleep(1.0)
        shard = shard_of_job(deployment)
        until(lambda: owner_of(deployment, shard), 5.0, "an owner of the items")
        # The client of the job reads at the daemon that is neither the owner nor the next one.
        names = sorted(daemon.name for daemon in deployment.daemons)
        index = names.index(owner_of(deployment, shard))
        third = names[(index + 2) % len(names)]
        reader = next(daemon for daemon in deployment.daemons if daemon.name == third)
        results: dict[str, tuple[str, str]] = {}
        client = threading.Thread(target=poll, args=(deployment, reader, results), daemon=True)
        client.start()
        if is_troubled():
            disturb(deployment, old)
        client.join(75.0)
        return judge(record, deployment, results)


def judge(record: Record, deployment: Deployment, results: dict[str, tuple[str, str]]) -> int:
    """Compares the results with the runs of the servers."""
    asked = {}
    for server in deployment.servers:
        for row in server.rows():
            if row["kind"] == "begun":
                asked[(server.name, str(row["run"]))] = int(str(row["after"]))
                record.write(f"run {server.name}/{row['run']} of {row['id']} after {row['after']}")
    if len(results) < len(ITEMS):
        record.write(f"could not run: only {sorted(results)} are listed")
        return COULD_NOT_RUN
    broken = 0
    for item, (state, message) in sorted(results.items()):
        lines = [line.split("/") for line in message.split("\n")] if message else []
        numbers = [int(line[3]) for line in lines]
        record.write(f"{item} is {state} with events {spans(lines)}")
        broken += numbers != list(range(1, EVENTS + 1))
        for before, after in zip(lines, lines[1:], strict=False):
            run = (after[0], after[1])
            if run != (before[0], before[1]) and asked[run] != int(before[3]):
                broken += 1
                record.write(
                    f"  after event {before[3]} of run {before[0]}/{before[1]} comes event"
                    f" {after[3]} of run {run[0]}/{run[1]}, which was asked for after {asked[run]}"
                )
    record.write("ORDER is broken" if broken else "ORDER held")
    return BROKEN if broken else HELD


def spans(lines: list[list[str]]) -> str:
    """Returns which run gave which events."""
    parts: list[str] = []
    begin = 0
    for index in range(1, len(lines) + 1):
        if index == len(lines) or lines[index][:2] != lines[begin][:2]:
            run = "/".join(lines[begin][:2])
            parts.append(f"{lines[begin][3]} to {lines[index - 1][3]} of run {run}")
            begin = index
    return ", ".join(parts)


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
