"""An ended job is opened again by a second copy of its manifest. See claim.txt."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from fleet2 import (
    TROUBLE,
    CannotRun,
    Engine,
    StoreProxy,
    batch_route,
    configuration,
    end_job,
    job_body,
    play,
    submit,
)

TURNED_AWAY_SECONDS = 2.0
RESENT_AT = 1.7
ENDED_AT = 1.85
CONTACT_SECONDS = 3.0
CANCEL_SECONDS = 3.0


def case(fleet):
    fleet.start_store()
    fleet.put("keyed.op", "config", configuration(1, [batch_route()]))
    engines = [Engine(fleet, f"i-{n}", slots=12) for n in range(2)]
    proxy = StoreProxy(fleet)
    first, second = fleet.start_daemon(1), fleet.start_daemon(2)
    third = fleet.start_daemon(3, proxy.address)
    for daemon in (first, second, third):
        fleet.wait_for(daemon.is_ready, 20, f"{daemon.name} ready")
    time.sleep(4)
    items = [f"a{n:07x}" for n in range(40)]
    body = job_body(items, 211, 25)

    began = time.monotonic()

    def until(seconds):
        time.sleep(max(0.0, began + seconds - time.monotonic()))

    if TROUBLE:
        proxy.set("silent")
    until(0.3)
    if submit(fleet, first, "j0b1", body) != 202:
        raise CannotRun("the job was not accepted")
    until(RESENT_AT)
    resent = threading.Thread(target=submit, args=(fleet, third, "j0b1", body))
    resent.start()
    until(ENDED_AT)
    if end_job(fleet, second, "j0b1") != 200:
        raise CannotRun("the end was not acknowledged")
    ended = fleet.now()
    until(TURNED_AWAY_SECONDS)
    if TROUBLE:
        proxy.set("pass")
    calm = fleet.now()
    resent.join()
    until(25)
    bound = max(ended + CANCEL_SECONDS, calm + CONTACT_SECONDS)
    late = [
        (round(at, 2), item)
        for engine in engines
        for at, item, _, what in engine.arrivals
        if what == "run" and at > bound
    ]
    fleet.log(f"end acknowledged at {ended:.3f}; runs that began after {bound:.3f}: {len(late)}")
    if late:
        return f"UNASKED: {len(late)} items of the ended job ran later, the last {late[-1]}"
    return ""


play(Path(__file__).resolve().parent / "record.txt", case)
