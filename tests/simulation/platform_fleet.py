"""A simulated fleet whose configuration and engine list have the platform's formats."""

from tests.simulation.fleet import SimulatedFleet
from tests.simulation.plain_formats import HOST, PREFIX, SERVICE
from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import FleetConfiguration
from troutswitch.decisions.gateway_messages import Formats
from troutswitch.decisions.storage.messages import KeyedRecord, Partition
from troutswitch.platform.configuration import PlatformFormats
from troutswitch.platform.names import CONFIGURATION_KEY
from troutswitch.platform.stand_in_forms import (
    RouteLimitsSpec,
    RouteSpec,
    configuration_record,
    engine_record,
)

CONFIGURATION = Partition("configuration")
ENGINES = Partition("servers")
ROUTES = (RouteSpec("jobs", PREFIX, "batch"),)
LIMITS = RouteLimitsSpec(30.0, 0.5, 0.0, 3, 20.0, 600.0, 0)
SLOTS = 8


class PlatformFleet(SimulatedFleet):
    """Gateway daemons that read what other programs write to the platform's topics."""

    def make_formats(self, configuration: FleetConfiguration) -> Formats:
        return PlatformFormats()

    def publish(self, version: int) -> None:
        record = configuration_record(version, HOST, SERVICE, SLOTS, ROUTES, LIMITS)
        self.write(CONFIGURATION, CONFIGURATION_KEY, record)

    def register_engine(self, name: str, slots: int, is_draining: bool = False) -> None:
        record = engine_record(SERVICE, Address("10.0.0.1", 1), slots, is_draining)
        self.write(ENGINES, name, record)

    def write(self, partition: Partition, key: str, value: bytes) -> None:
        """Writes a record as another program may."""
        self.store.log(partition).append((KeyedRecord(key, value),))
