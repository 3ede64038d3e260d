"""Stand-ins and a driver for the cases in review/4 to review/8.

The daemons are started with the command of deploy/system.toml, the store is the project's own
stand-in. Engines, the operator, clients and the proxy between a daemon and the store are here; they
do what PROTOCOL.md says, and run as threads of the script.
"""

import base64
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "batch.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = """gracePeriodS = 8
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4.5
drainTimeoutMs = 2000
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
iterationMs = 120
completionS = 18
statusIntervalS = 120
cancelTimeoutMs = 3000
settleTimeoutMs = 1000
quotaOvershoot = 0.1
"""


class CannotRun(Exception):
    """The case could not be set up; exit code 2."""


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request, client_address):
        pass


class Fleet:
    """Everything that a case starts. `log` writes to the file `record` with the time since the start."""

    def __init__(self, record):
        self.began = time.monotonic()
        self.record = open(record, "w", buffering=1)
        self.folder = Path(tempfile.mkdtemp(prefix="review2-"))
        self.processes = {}
        self.engines = []
        self.lock = threading.Lock()
        self.log(f"trouble={int(TROUBLE)}")

    def now(self):
        return time.monotonic() - self.began

    def log(self, *words):
        with self.lock:
            self.record.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")

    # Processes.

    def environment(self, **more):
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        return kept | {"PYTHONPATH": str(ROOT / "target" / "deps")} | more

    def spawn(self, name, command, **more):
        if command[0] == "python3":
            command = [sys.executable, *command[1:]]
        output = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=self.environment(**more),
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        self.processes[name] = process
        self.log("started", name, f"pid={process.pid}")
        return process

    def start_store(self):
        self.store = ("127.0.0.1", free_port())
        script = str(Path(__file__).resolve().parent / "store2.py")
        self.spawn("store", ["python3", script, str(self.store[1])])
        self.wait_for(lambda: self.store_call("GET", "/log-newest?topic=keyed.op&part=0"), 15)

    def store_call(self, method, path, body=None):
        connection = http.client.HTTPConnection(*self.store, timeout=5)
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            data = response.read()
            return data if response.status == 200 else None
        except OSError:
            return None
        finally:
            connection.close()

    def put(self, topic, key, value):
        name, text = key.encode(), json.dumps(value).encode() if value is not None else b""
        record = (1 + len(name) + len(text)).to_bytes(4, "big") + bytes([len(name)]) + name + text
        return self.store_call("POST", f"/log-append?topic={topic}&part=0", record)

    def newest(self, topic, part=0):
        """All records of a partition, by key (the keys name jobs and items)."""
        rows, after = {}, ""
        while True:
            data = self.store_call("GET", f"/log-newest?topic={topic}&part={part}&afterRevision={after}")
            page = json.loads(data)
            for row in page["requests"]:
                rows[row["tlsKey"]] = (row["offset"], base64.b64decode(row["value"]))
                after = row["tlsKey"]
            if not page["more"]:
                return rows

    def start_daemon(self, number, store=None):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        ip = f"127.0.0.{10 + number}"
        ports = [free_port(ip) for _ in range(4)]
        address = store or self.store
        path = self.folder / f"node-{number}.toml"
        path.write_text(
            f'nodeName = "gateway-{number}"\nrole = "gateway"\nmachineClass = "edge"\n'
            f'serves = ["edge"]\nzone = "z"\nregion = "r"\nip = "{ip}"\n'
            f"internalPorts = [{min(ports[2:])}, {max(ports[2:])}]\nseedNodes = []\n"
            f'bootstrap = true\nheartbeatMs = 1200\n[listen]\nfront = "{ip}:{ports[0]}"\n'
            f'ready = "{ip}:{ports[1]}"\n[limits]\nmemoryMb = 320\nmaxFds = 8200\n'
            f'[platform]\naddress = "{address[0]}:{address[1]}"\nform = "log"\nparts = 8\n'
            f"writes_per_s = 800\nreads_per_s = 2000\nrecord_bytes = 262144\n"
            f"call_bytes = 2097152\nttl_min_ms = 1000\n[timingBounds]\n{BOUNDS}"
        )
        daemon = Daemon(self, number, command, path, ip, ports)
        daemon.start()
        return daemon

    def wait_for(self, condition, seconds, what="condition"):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"{what} did not come within {seconds} s")

    def close(self):
        for engine in self.engines:
            engine.stop()
        for process in self.processes.values():
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                except ProcessLookupError:
                    pass
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        if os.environ.get("KEEP_LOGS"):
            target = Path(os.environ["KEEP_LOGS"])
            shutil.copytree(self.folder, target, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.log("all processes ended")
        self.record.close()


class Daemon:
    """One gateway daemon, started with the command of the deploy file."""

    def __init__(self, fleet, number, command, path, ip, ports):
        self.fleet, self.number, self.command, self.path = fleet, number, command, path
        self.ip, self.front, self.ready = ip, ports[0], ports[1]
        self.name = f"gateway-{number}"

    def start(self):
        self.process = self.fleet.spawn(
            self.name, self.command, TROUTSWITCH_NODE_FILE=str(self.path)
        )

    def signal(self, number):
        self.fleet.log(self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.ready, timeout=1)
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def call(self, method, path, body=None, headers=None, timeout=5.5, host=HOST):
        """Makes one call on a connection of its own; returns (status, body), status 0 without."""
        fields = {"Host": host, **(headers or {})}
        connection = http.client.HTTPConnection(self.ip, self.front, timeout=timeout)
        try:
            connection.request(method, path, body, fields)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            return 0, str(error).encode()
        finally:
            connection.close()


class StoreProxy:
    """Stands between one daemon and the store. `mode` is pass, busy (503), silent, reset or slow.

    That is how the store "turns some machines away (503, 429, a reset, silence)". While it is slow,
    an answer comes `SLOW_SECONDS` after the call was done.
    """

    SLOW_SECONDS = 0.24  # 60 times the 4 ms of an answer

    def __init__(self, fleet):
        self.fleet, self.mode, self.calls = fleet, "pass", 0
        proxy = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *rest):
                pass

            def do_GET(self):
                proxy.serve(self)

            do_POST = do_GET

        self.address = ("127.0.0.1", free_port())
        self.server = Server(self.address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def serve(self, handler):
        body = handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        if self.mode in ("pass", "slow"):
            connection = http.client.HTTPConnection(*self.fleet.store, timeout=40)
            try:
                connection.request(handler.command, handler.path, body or None)
                response = connection.getresponse()
                status, data = response.status, response.read()
            except OSError:
                handler.close_connection = True
                return
            finally:
                connection.close()
            if self.mode == "slow":
                time.sleep(self.SLOW_SECONDS)
            if self.mode != "silent":  # an answer on its way when the silence began is lost too
                self.reply(handler, status, data)
                return
        if self.mode == "busy":
            self.reply(handler, 503, b"{}")
        elif self.mode == "silent":
            handler.close_connection = True
            time.sleep(60)  # "a connection on which an answer is lost says nothing more"
        else:
            handler.close_connection = True

    @staticmethod
    def reply(handler, status, data):
        try:
            handler.send_response_only(status)
            handler.send_header("Content-Length", str(len(data)))
            handler.end_headers()
            handler.wfile.write(data)
        except OSError:
            handler.close_connection = True

    def set(self, mode):
        self.fleet.log("store for this daemon:", mode)
        self.mode = mode


class Engine:
    """A server of PROTOCOL.md: `slots` requests at once, queues the rest, streams events.

    The body of a request is JSON: `events`, `gap_ms`. Event n of request ID has the data `ID-n`.
    A request larger than `memory` tokens (0: no limit) is rejected as if the server were full.
    `arrivals` has (time, id, first event, run or not) of each request.
    """

    def __init__(self, fleet, name, service="svc", slots=12, memory=0):
        self.fleet, self.name, self.service, self.slots = fleet, name, service, slots
        self.memory = memory
        self.address = ("127.0.0.1", free_port())
        self.arrivals, self.finished = [], {}
        self.running = self.waiting = 0
        self.state, self.sequence, self.is_stopped = "ready", 0, False
        self.room = threading.Semaphore(slots)
        self.guard = threading.Lock()
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *rest):
                pass

            def do_GET(self):
                if self.path == "/health":
                    engine.health(self)
                else:
                    engine.answer(self)

            def do_POST(self):
                engine.serve(self)

        self.server = Server(self.address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()
        fleet.engines.append(self)

    def beat(self):
        while not self.is_stopped:
            self.register()
            for _ in range(12):
                if not self.is_stopped:
                    time.sleep(0.1)

    def register(self):
        self.sequence += 1
        self.fleet.put(
            "keyed.servers",
            self.name,
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": "z",
                "version": "1",
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
            },
        )

    def stop(self):
        self.is_stopped = True

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    def health(self, handler):
        handler.send_response_only(200)
        handler.send_header("X-Troutswitch-Instance-Id", self.name)
        handler.send_header("X-Troutswitch-Server-Load", self.load())
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    def refuse(self, handler, status, request_id):
        handler.send_response_only(status)
        handler.send_header("X-Troutswitch-Request-Id", request_id)
        handler.send_header("X-Troutswitch-Not-Executed", "1")
        handler.send_header("X-Troutswitch-Server-Load", self.load())
        handler.send_header("Content-Length", "0")
        handler.end_headers()

    def serve(self, handler):
        fields = handler.headers
        request_id = fields.get("X-Troutswitch-Request-Id", "")
        body = handler.rfile.read(int(fields.get("Content-Length") or 0))
        after = fields.get("Last-Event-Id", "")
        expected = fields.get("X-Troutswitch-Expect-Instance")
        if not request_id or expected not in (None, self.name):
            self.note(request_id, after, "421")
            return self.refuse(handler, 421 if request_id else 400, request_id)
        usage = fields.get("X-Troutswitch-Token-Usage", "0")
        if 0 < self.memory < sum(int(count) for count in usage.split(",")):
            self.note(request_id, after, "too large")
            return self.refuse(handler, 503, request_id)
        self.waiting += 1
        while not self.room.acquire(timeout=0.05):
            if not self.is_connected(handler):
                self.waiting -= 1
                handler.close_connection = True
                self.note(request_id, after, "left")
                return None
        self.waiting -= 1
        self.running += 1
        try:
            self.run(handler, request_id, after, json.loads(body))
        except OSError:
            handler.close_connection = True
            self.fleet.log(self.name, "run broken off", request_id)
        finally:
            self.running -= 1
            self.room.release()

    def answer(self, handler):
        """Answers a GET with its path."""
        request_id = handler.headers.get("X-Troutswitch-Request-Id", "")
        self.note(request_id, "", f"run {handler.path}")
        body = f"content of {handler.path}".encode()
        handler.send_response_only(200)
        handler.send_header("X-Troutswitch-Request-Id", request_id)
        handler.send_header("X-Troutswitch-Response-Stamp", "1.2.3")
        handler.send_header("X-Troutswitch-Server-Load", self.load())
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def note(self, request_id, after, what):
        self.fleet.log(self.name, what, request_id, f"after={after}")
        with self.guard:
            self.arrivals.append((self.fleet.now(), request_id, after, what))

    @staticmethod
    def is_connected(handler):
        try:
            return handler.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False

    def run(self, handler, request_id, after, work):
        self.note(request_id, after, "run")
        handler.send_response_only(200)
        handler.send_header("X-Troutswitch-Request-Id", request_id)
        handler.send_header("X-Troutswitch-Response-Stamp", "1.2.3")
        handler.send_header("X-Troutswitch-Server-Load", self.load())
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(int(after or 0) + 1, work["events"] + 1):
            time.sleep(work["gap_ms"] / 1000)
            if not self.is_connected(handler):
                raise OSError
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")
        with self.guard:
            self.finished[request_id] = self.fleet.now()
        self.fleet.log(self.name, "finished", request_id)


def batch_route(service="svc", **more):
    return {
        "name": "batch",
        "host": HOST,
        "pathPrefix": "/batch/",
        "routeType": "batch",
        "service": service,
        "timeoutMs": 30000,
        "targetLatencyMs": 500,
        "maxAttempts": 3,
        "priority": 2,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 300,
        "maxQueuedTokens": 1_600_000,
        "completionTargetMs": 20000,
        "retentionS": 60,
    } | more


def service(name, slots=12, memory=0):
    engine = {"slots": slots} | ({"kvCacheTokens": memory} if memory else {})
    return {"name": name, "maxConnections": 210, "engine": engine, "healthPath": "/health"}


def configuration(version, routes, services=None):
    return {
        "version": version,
        "routes": routes,
        "services": services or [service("svc")],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def job_body(items, events, gap_ms, most_out=None, padding=0):
    """A job; `most_out` has the most tokens that an item generates, if not its events, by item.

    The body of each item has `padding` bytes more than it needs.
    """
    text = json.dumps({"events": events, "gap_ms": gap_ms, "padding": "x" * padding})
    work = base64.b64encode(text.encode()).decode()

    def most(item):
        return (most_out or {}).get(item, events)

    return json.dumps(
        {
            "requests": [
                {
                    "id": item,
                    "path": f"/batch/{item}",
                    "headers": {
                        "X-Troutswitch-Model": "m",
                        "X-Troutswitch-Token-Usage": f"1200,{most(item)}",
                        "X-Troutswitch-Prompt-Prefix": f"9c2e41:227,{zlib.crc32(item.encode()):08x}:973",
                    },
                    "body": work,
                    "tokens": 1200 + most(item),
                }
                for item in items
            ]
        }
    ).encode()


def submit(fleet, daemon, job_id, body, wait=4.0):
    """Sends a job as PROTOCOL.md shows it; its client waits for `wait` seconds."""
    headers = {"X-Troutswitch-Request-Id": job_id, "Content-Type": "application/json"}
    fleet.log("job", job_id, "sent to", daemon.name)
    status, text = daemon.call("POST", f"/batch/{job_id}", body, headers, wait)
    fleet.log("job", job_id, "answered by", daemon.name, status, text[:60])
    return status


def end_job(fleet, daemon, job_id):
    status, text = daemon.call("DELETE", f"/lots/{job_id}")
    fleet.log("end of", job_id, "answered by", daemon.name, status, text[:60])
    return status


def results(fleet, daemon, job_id, position=0):
    status, text = daemon.call("GET", f"/lots/{job_id}?afterRevision={position}")
    return status, json.loads(text) if status == 200 else None


def play(record, case):
    """Runs a case, writes `record`, and exits: 0 if the rule held, 1 if it was broken, 2 if it could not run."""
    fleet = Fleet(record)
    code = 2
    try:
        verdict = case(fleet)
        fleet.log("BROKEN" if verdict else "held", verdict or "")
        print("BROKEN: " + verdict if verdict else "held")
        code = 1 if verdict else 0
    except CannotRun as error:
        fleet.log("could not run:", error)
        print(f"could not run: {error}")
    except Exception as error:  # the case is at fault, not the system
        fleet.log("could not run:", repr(error))
        print(f"could not run: {error!r}")
    finally:
        fleet.close()
    sys.exit(code)
