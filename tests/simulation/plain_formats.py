"""Simple encodings of the configuration and of engine entries in the simulated store."""

from collections.abc import Mapping
from dataclasses import replace

import cbor2

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import (
    EngineRecord,
    FleetConfiguration,
    PromptPart,
    PromptShape,
)

HOST = "jobs.example"
PREFIX = "/jobs/"
SERVICE = "service"
PARTS_HEADER = "parts"
"""Header of batch items with the ids of the parts of their prompts, separated by spaces."""


class PlainFormats:
    """Decodes the records that the simulated fleet writes."""

    def __init__(self, configuration: FleetConfiguration) -> None:
        self._configuration = configuration
        self.changed: dict[int, FleetConfiguration] = {}
        """Configurations that differ from the first one, by version."""

    def configuration(self, key: str, data: bytes) -> FleetConfiguration | None:
        """Returns the fleet's configuration with the version in the record."""
        version = int(data)
        return replace(self.changed.get(version, self._configuration), version=version)

    def prompt(self, headers: Mapping[str, str]) -> PromptShape:
        """Returns the prompt of a batch item, with the parts that its headers name."""
        names = headers.get(PARTS_HEADER, "").split()
        return PromptShape(0, 0, tuple(PromptPart(name, 1) for name in names))

    def engine(self, engine_id: str, data: bytes) -> EngineRecord:
        """Decodes an engine entry."""
        slots, is_draining, version, service = cbor2.loads(data)
        return EngineRecord(
            engine_id,
            service,
            Address("10.0.0.1", 1),
            "z",
            slots,
            is_draining,
            version=version,
        )
