"""Typed events, instructions and values about engines that ended under requests."""

from dataclasses import dataclass
from enum import StrEnum

from troutswitch.common import Address


class EngineFound(StrEnum):
    """What an engine was found to be after a connection to it was lost."""

    ENDED = "ended"  # its port refuses connections
    LISTENS = "listens"  # it takes connections, or a proxy does so in its place
    UNKNOWN = "unknown"  # no word came, as from a machine without power or behind a cut


@dataclass(frozen=True, slots=True)
class CheckEngine:
    """Instruction: find out whether an engine still takes connections."""

    engine_id: str
    address: Address


@dataclass(frozen=True, slots=True)
class EngineChecked:
    """Event: an engine was checked."""

    engine_id: str
    found: EngineFound


@dataclass(frozen=True, slots=True, order=True)
class Crash:
    """One life of an engine that ended while a request was on it, by the request's content key.

    The request may be the cause, or have been beside the one that is.
    """

    content: str
    engine_id: str
