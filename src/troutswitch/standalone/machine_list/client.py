"""Client of the machine list.

Protocol: `GET /machines` answers a JSON list of objects with `name`, `kind`,
`address`, `zone`, `service`, `incarnation` and `leaving`.
"""

import msgspec

from troutswitch.common import Address
from troutswitch.decoding import raises_only
from troutswitch.json_values import decode_json
from troutswitch.standalone.decisions.events import Machine
from troutswitch.standalone.runtime.http_client import HttpError, ThreadLocalConnections

MACHINE_LIST_TIMEOUT_SECONDS = 3.0


class MachineRow(msgspec.Struct, frozen=True):
    """One row of the platform's list."""

    name: str
    kind: str
    address: str
    zone: str
    service: str = ""
    incarnation: str = ""
    leaving: bool = False


def machine_to_row(machine: Machine) -> MachineRow:
    """Returns a machine as a row of the list."""
    return MachineRow(
        machine.name,
        machine.kind,
        str(machine.address),
        machine.zone,
        machine.service,
        machine.incarnation,
        machine.leaving,
    )


@raises_only(ValueError)
def machine_from_row(row: MachineRow) -> Machine:
    """Converts a row of the list into a machine.

    Raises:
        ValueError: the address is malformed.
    """
    return Machine(
        row.name,
        row.kind,
        Address.parse_unicast(row.address),
        row.zone,
        row.service,
        row.incarnation,
        row.leaving,
    )


def _decode_row(data: bytes) -> Machine | None:
    try:
        return machine_from_row(decode_json(data, MachineRow))
    except ValueError:
        return None


class MachineListClient:
    """Blocking reads of the machine list."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = ThreadLocalConnections(MACHINE_LIST_TIMEOUT_SECONDS)
        self._machine_by_row: dict[bytes, Machine] = {}

    def read(self) -> tuple[Machine, ...] | None:
        """Returns the list, or None if it could not be read."""
        try:
            status, body = self._pool.call(self._address, "GET", "/machines")
            if status != 200:
                return None
            return self._machines(body)
        except (HttpError, ValueError):
            return None

    def _machines(self, body: bytes) -> tuple[Machine, ...]:
        """Decodes the rows, and reuses the machines of unchanged rows.

        A malformed row is left out, as the others are the platform's word all the same.
        """
        machines: dict[bytes, Machine] = {}
        for raw in decode_json(body, list[msgspec.Raw]):
            row = bytes(raw)
            machine = self._machine_by_row.get(row) or _decode_row(row)
            if machine is not None:
                machines[row] = machine
        self._machine_by_row = machines
        return tuple(machines.values())

    def register(self, machine: Machine) -> bool:
        """Adds a machine to the list; returns whether the platform confirmed it."""
        body = msgspec.json.encode(machine_to_row(machine))
        try:
            status, _ = self._pool.call(self._address, "POST", "/machines", body)
        except HttpError:
            return False
        return status == 200
