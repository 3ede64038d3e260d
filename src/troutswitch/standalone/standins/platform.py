"""Stand-in for the platform: the log service and the machine list."""

import threading
import time

import cbor2
import msgspec

from troutswitch.common import Address
from troutswitch.runtime.http import Response, StartResponse, send
from troutswitch.standalone.machine_list.client import MachineRow, machine_from_row, machine_to_row
from troutswitch.standalone.runtime.http_requests import CBOR_TYPE, Request, json_response
from troutswitch.standalone.runtime.http_server import HttpServer
from troutswitch.standalone.standins.faults import FaultPlan, FaultSwitch
from troutswitch.standalone.standins.stores import LogStore, MachineListStore

PLATFORM_THREADS = 64


class PlatformStandin:
    """The platform as one HTTP server on loopback."""

    def __init__(
        self,
        address: Address,
        list_lag_seconds: float = 1.0,
        seed: int = 0,
    ) -> None:
        self.log = LogStore()
        self.machines = MachineListStore(list_lag_seconds)
        self.faults = FaultSwitch(seed)
        self._lock = threading.Lock()
        self._server = HttpServer(self._application, address, PLATFORM_THREADS, "platform")
        self.address = self._server.address

    def start(self) -> None:
        """Starts serving."""
        self._server.start()

    def stop(self) -> None:
        """Stops serving."""
        self._server.stop()

    def _application(
        self, environ: dict[str, object], start_response: StartResponse
    ) -> list[bytes]:
        request = Request(environ)
        return send(self._respond(request), start_response)

    def _respond(self, request: Request) -> Response:
        if request.path == "/faults":
            return self._set_faults(request)
        handling = self.faults.before_call()
        if handling.is_refused:
            return json_response(503, {"error": "down"})
        response = self._route(request)
        return json_response(500, {"error": "lost"}) if handling.loses_answer else response

    def _set_faults(self, request: Request) -> Response:
        try:
            self.faults.set(msgspec.json.decode(request.body(), type=FaultPlan))
        except msgspec.DecodeError as error:
            return json_response(400, {"error": str(error)})
        return json_response(200, {})

    def _route(self, request: Request) -> Response:
        root, _, name = request.path.strip("/").partition("/")
        match (root, request.method):
            case ("streams", "POST"):
                return self._append(name, request)
            case ("streams", "GET"):
                return self._read(name, request)
            case ("machines", "GET"):
                return self._list_machines()
            case ("machines", "POST"):
                return self._put_machine(request)
            case ("machines", "DELETE"):
                return self._remove_machine(name, request)
            case _:
                return json_response(404, {"error": "unknown path"})

    def _append(self, stream: str, request: Request) -> Response:
        payload = request.body()
        with self._lock:
            offset = self.log.append(stream, payload)
        return json_response(200, {"offset": offset})

    def _read(self, stream: str, request: Request) -> Response:
        offset = int(request.query("offset", "0"))
        limit = int(request.query("limit", "256"))
        with self._lock:
            answer = self.log.read(stream, offset, limit)
        return Response(200, cbor2.dumps(list(answer)), CBOR_TYPE)

    def _list_machines(self) -> Response:
        with self._lock:
            machines = self.machines.read(time.time())
        return Response(200, msgspec.json.encode([machine_to_row(m) for m in machines]))

    def _put_machine(self, request: Request) -> Response:
        try:
            row = msgspec.json.decode(request.body(), type=MachineRow)
            machine = machine_from_row(row)
        except ValueError as error:
            return json_response(400, {"error": str(error)})
        with self._lock:
            self.machines.put(time.time(), machine)
        return json_response(200, {})

    def _remove_machine(self, name: str, request: Request) -> Response:
        with self._lock:
            if request.query("leaving"):
                self.machines.mark_leaving(time.time(), name)
            else:
                self.machines.remove(time.time(), name)
        return json_response(200, {})
