"""Plain forms of configuration and servers for the simulated store."""

from dataclasses import replace

import cbor2

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import FleetConfiguration, ServerRecord

HOST = "jobs.example"
PREFIX = "/jobs/"
SERVICE = "service"


class PlainFormats:
    """Forms of the modelled store's configuration and servers."""

    def __init__(self, configuration: FleetConfiguration) -> None:
        self._configuration = configuration

    def configuration(self, key: str, data: bytes) -> FleetConfiguration | None:
        """Returns the world's configuration in the version that the record tells."""
        return replace(self._configuration, version=int(data))

    def server(self, server_id: str, data: bytes) -> ServerRecord:
        """Decodes a server's record."""
        slots, is_draining = cbor2.loads(data)
        return ServerRecord(server_id, SERVICE, Address("10.0.0.1", 1), "z", slots, is_draining)
