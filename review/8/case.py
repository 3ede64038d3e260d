"""A slow store: more tokens are accepted than the route's limit allows. See claim.txt."""

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
    job_body,
    play,
    submit,
)

LIMIT = 1_600_000
OVERSHOOT = 0.1
ITEMS = 200
EVENTS = 390  # with the prompt of 1,200, an item has 1,590 tokens, a job 318,000
STAGGER_SECONDS = 0.5
BODY_BYTES = 13_000


def case(fleet):
    fleet.start_store()
    fleet.put("keyed.op", "config", configuration(1, [batch_route(maxQueuedTokens=LIMIT)]))
    engines = [Engine(fleet, f"i-{n}", slots=12) for n in range(2)]
    proxies = [StoreProxy(fleet) for _ in range(3)]
    daemons = [fleet.start_daemon(n + 1, proxy.address) for n, proxy in enumerate(proxies)]
    for daemon in daemons:
        fleet.wait_for(daemon.is_ready, 20, f"{daemon.name} ready")
    time.sleep(4)
    tokens, held = 1200 + EVENTS, {}
    worst = [0, ""]
    guard = threading.Lock()

    def send(number, daemon):
        job_id = f"j0b{number}"
        items = [f"{number:x}{n:07x}" for n in range(ITEMS)]
        status = submit(fleet, daemon, job_id, job_body(items, EVENTS, 25, padding=BODY_BYTES))
        if status != 202:
            return
        with guard:
            held[job_id] = items
            finished = {item for engine in engines for item in list(engine.finished)}
            waiting = sum(tokens for items in held.values() for item in items if item not in finished)
            fleet.log(f"tokens held at the 202 of {job_id}: {waiting}")
            worst[:] = max(worst, [waiting, job_id])

    for number in range(1, 5):
        send(number, daemons[number % 3])
    if len(held) != 4:
        raise CannotRun("the first jobs were not accepted")
    if TROUBLE:
        for proxy in proxies:
            proxy.set("slow")
    time.sleep(1.5)
    threads = []
    for number in range(5, 8):
        threads.append(threading.Thread(target=send, args=(number, daemons[number % 3])))
        threads[-1].start()
        time.sleep(STAGGER_SECONDS)
    for thread in threads:
        thread.join()
    bound = LIMIT * (1 + OVERSHOOT)
    fleet.log(f"most tokens held at a 202: {worst[0]} ({worst[1]}), allowed {bound:.0f}")
    if worst[0] > bound:
        return f"QUOTA: {worst[0]} tokens held at the 202 of {worst[1]}, allowed {bound:.0f}"
    return ""


play(Path(__file__).resolve().parent / "record.txt", case)
