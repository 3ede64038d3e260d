"""After a rolling restart, accepted jobs wait for ever beside an idle service. See claim.txt."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from fleet2 import (
    TROUBLE,
    CannotRun,
    Engine,
    batch_route,
    configuration,
    job_body,
    play,
    results,
    service,
    submit,
)

IDLE, USED = "leyenda-lm", "notice-lm"
ITEMS = 8
TRAFFIC_SECONDS = 5.0
COMPLETION_SECONDS = 18.0
GRACE_SECONDS = 8.0


def case(fleet):
    fleet.start_store()
    fleet.put("keyed.op", "config", configuration(1, [batch_route(USED)], [service(USED)]))
    engines = [Engine(fleet, f"i-{USED}-{n}", USED) for n in range(2)]
    daemons = [fleet.start_daemon(1)]
    fleet.wait_for(daemons[0].is_ready, 20, "gateway-1 ready")
    time.sleep(3)
    online = batch_route(IDLE, name="online", pathPrefix="/online/", routeType="streaming")
    services = [service(USED), service(IDLE)]
    fleet.put("keyed.op", "config", configuration(2, [batch_route(USED), online], services))
    engines += [Engine(fleet, f"i-{IDLE}-{n}", IDLE) for n in range(2)]
    time.sleep(3)
    daemons.append(fleet.start_daemon(2))
    fleet.wait_for(daemons[1].is_ready, 20, "gateway-2 ready")
    time.sleep(4)

    def run_job(job_id, seconds):
        items = [f"{job_id}-{n}" for n in range(ITEMS)]
        if submit(fleet, daemons[0], job_id, job_body(items, 60, 20)) != 202:
            raise CannotRun("the job was not accepted")
        listed = {}
        ends = time.monotonic() + seconds
        while time.monotonic() < ends and len(listed) < ITEMS:
            time.sleep(0.5)
            for daemon in daemons:
                status, page = results(fleet, daemon, job_id, len(listed))
                if status == 200:
                    listed |= {row["id"]: row["state"] for row in page["results"]}
        fleet.log(job_id, "listed:", listed)
        return [item for item in items if item not in listed]

    if run_job("before", 20):
        raise CannotRun("the first job was not done")
    if TROUBLE:
        for daemon in daemons:
            daemon.signal(signal.SIGTERM)
            daemon.process.wait(GRACE_SECONDS + 2)
            fleet.log(daemon.name, "ended")
            time.sleep(0.5)
            daemon.start()
            fleet.wait_for(daemon.is_ready, 20, f"{daemon.name} ready")
            time.sleep(4)
    time.sleep(4)
    missing = run_job("after", TRAFFIC_SECONDS + COMPLETION_SECONDS)
    arrived = {item for engine in engines for _, item, _, _ in engine.arrivals}
    never = [item for item in missing if item not in arrived]
    busy = sum(engine.running + engine.waiting for engine in engines)
    fleet.log(f"not listed: {missing}, never at a server: {never}, servers busy: {busy}")
    if never and not busy:
        return f"LOST: {len(never)} of {ITEMS} accepted items never reached a server, all idle"
    return ""


play(Path(__file__).resolve().parent / "record.txt", case)
