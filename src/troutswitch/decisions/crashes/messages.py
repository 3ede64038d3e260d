"""Typed events, instructions and values about engines that crashed under requests."""

from dataclasses import dataclass
from enum import StrEnum

from troutswitch.common import Address


class EngineCheckResult(StrEnum):
    """What a check found after a connection to an engine was lost."""

    ENDED = "ended"
    """Its port refuses connections: the process is gone."""
    LISTENS = "listens"
    """It takes connections, or a proxy does so in its place."""
    UNKNOWN = "unknown"
    """No answer came, as from a machine without power or behind a network partition."""


@dataclass(frozen=True, slots=True)
class CheckEngine:
    """Instruction: find out whether an engine still takes connections."""

    engine_id: str
    address: Address


@dataclass(frozen=True, slots=True)
class EngineChecked:
    """Event: an engine was checked."""

    engine_id: str
    result: EngineCheckResult


@dataclass(frozen=True, slots=True, order=True)
class Crash:
    """One engine incarnation that crashed while a request was on it, by the request's content.

    The request may be the cause, or have been beside the one that is.
    """

    content: str
    engine_id: str
