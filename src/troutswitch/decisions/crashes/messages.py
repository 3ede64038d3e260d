"""Typed events, instructions and values about servers that ended under requests."""

from dataclasses import dataclass
from enum import StrEnum

from troutswitch.common import Address


class ServerFound(StrEnum):
    """What a server was found to be after a connection to it was lost."""

    ENDED = "ended"  # its port refuses connections
    LISTENS = "listens"  # it takes connections, or a proxy does so in its place
    UNKNOWN = "unknown"  # no word came, as from a machine without power or behind a cut


@dataclass(frozen=True, slots=True)
class CheckServer:
    """Instruction: find out whether a server still takes connections."""

    server_id: str
    address: Address


@dataclass(frozen=True, slots=True)
class ServerChecked:
    """Event: a server was checked."""

    server_id: str
    found: ServerFound


@dataclass(frozen=True, slots=True, order=True)
class Crash:
    """One life of a server that ended while a request was on it, by the request's content key.

    The request may be the cause, or have been beside the one that is.
    """

    content: str
    server_id: str
