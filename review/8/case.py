"""Requests on a route that was added later are taken for calls about batch jobs. See claim.txt."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from fleet2 import TROUBLE, Engine, batch_route, configuration, play

SHOP = "shop.example"
REQUESTS = 30


def online_route(name, prefix):
    return {
        "name": name,
        "host": SHOP,
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "service": "svc",
        "timeoutMs": 4000,
        "targetLatencyMs": 250,
        "maxAttempts": 2,
        "priority": 0,
    }


def ask(fleet, daemon, path, number):
    headers = {
        "X-Troutswitch-Request-Id": f"{number:016x}",
        "X-Troutswitch-Deadline-Ms": "4000",
    }
    status, text = daemon.call("GET", path, headers=headers, host=SHOP)
    fleet.log("GET", path, "at", daemon.name, "answered", status, text[:60])
    return status == 200 and text == f"content of {path}".encode()


def case(fleet):
    fleet.start_store()
    first = [batch_route(), online_route("first", "/pages/")]
    fleet.put("keyed.op", "config", configuration(1, first))
    engines = [Engine(fleet, f"i-{n}") for n in range(2)]
    daemons = [fleet.start_daemon(number) for number in (1, 2, 3)]
    for daemon in daemons:
        fleet.wait_for(daemon.is_ready, 20, f"{daemon.name} ready")
    time.sleep(4)
    prefixes = ["/pages/"]
    if TROUBLE:
        fleet.log("the operator adds the route /items/")
        later = [*first, online_route("later", "/items/")]
        fleet.put("keyed.op", "config", configuration(3, later))
        prefixes.append("/items/")
    time.sleep(6)
    served = dict.fromkeys(prefixes, 0)
    number = 0
    for _ in range(REQUESTS):
        for prefix in prefixes:
            number += 1
            served[prefix] += ask(fleet, daemons[number % 3], f"{prefix}{number}", number)
            time.sleep(0.05)
    fleet.log(f"of {REQUESTS} requests each were served:", served)
    fleet.log("runs at servers:", sum(len(engine.arrivals) for engine in engines))
    if TROUBLE and served["/items/"] < served["/pages/"] / 4:
        return f"CONFIG: of {REQUESTS} requests on the route added later, {served['/items/']} served"
    return ""


play(Path(__file__).resolve().parent, case)
