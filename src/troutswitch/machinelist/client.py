"""Client of the machine list.

Protocol: `GET /machines` answers a JSON list of objects with `name`, `kind`,
`address`, `zone`, `service`, `incarnation` and `leaving`.
"""

import json

from troutswitch.common import Address
from troutswitch.decisions.events import Machine
from troutswitch.runtime.http import ConnectionPool, HttpError

MACHINE_LIST_TIMEOUT_SECONDS = 3.0


def machine_to_json(machine: Machine) -> dict[str, object]:
    """Returns a machine in the list's JSON form."""
    return {
        "name": machine.name,
        "kind": machine.kind,
        "address": str(machine.address),
        "zone": machine.zone,
        "service": machine.service,
        "incarnation": machine.incarnation,
        "leaving": machine.leaving,
    }


def machine_from_json(row: dict[str, object]) -> Machine:
    """Reads a machine from the list's JSON form.

    Raises:
        KeyError: a field is missing.
        ValueError: the address is malformed.
    """
    return Machine(
        str(row["name"]),
        str(row["kind"]),
        Address.parse(str(row["address"])),
        str(row["zone"]),
        str(row.get("service", "")),
        str(row.get("incarnation", "")),
        bool(row.get("leaving", False)),
    )


class MachineListClient:
    """Blocking reads of the machine list."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = ConnectionPool(MACHINE_LIST_TIMEOUT_SECONDS)

    def read(self) -> tuple[Machine, ...] | None:
        """Returns the list, or None if it could not be read."""
        try:
            status, body = self._pool.call(self._address, "GET", "/machines")
            if status != 200:
                return None
            return tuple(machine_from_json(row) for row in json.loads(body))
        except (HttpError, ValueError, KeyError):
            return None

    def register(self, machine: Machine) -> bool:
        """Puts a machine on the list; returns whether that was answered."""
        body = json.dumps(machine_to_json(machine)).encode()
        try:
            status, _ = self._pool.call(self._address, "POST", "/machines", body)
        except HttpError:
            return False
        return status == 200
