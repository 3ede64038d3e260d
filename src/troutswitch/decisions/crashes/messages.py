"""Events, instructions and values about engine crashes."""

from dataclasses import dataclass
from enum import StrEnum

from troutswitch.common import Address


class EngineCheckResult(StrEnum):
    """Result of a check of an engine's port after an answer of it was lost."""

    ENDED = "ended"
    """Its port refuses connections: the process is gone."""
    LISTENS = "listens"
    """The engine, or a proxy in front of it, accepts connections."""
    UNKNOWN = "unknown"
    """No response, as from a machine without power or behind a network partition."""


@dataclass(frozen=True, slots=True)
class CheckEngine:
    """Instruction: check whether an engine still accepts connections."""

    engine_id: str
    address: Address


@dataclass(frozen=True, slots=True)
class EngineChecked:
    """Event: an engine was checked."""

    engine_id: str
    result: EngineCheckResult


@dataclass(frozen=True, slots=True, order=True)
class Crash:
    """One engine incarnation that crashed while it ran a request.

    `content` is the key of the request's content. The request may be the cause, or may only have
    run on the same engine as the cause.
    """

    content: str
    engine_id: str


TRIAL_PREFIX = "trial:"
"""Begins the engine ids of trials, which name the trial and no engine."""


def is_trial_id(engine_id: str) -> bool:
    """Returns whether an engine id of a crash is that of a trial."""
    return engine_id.startswith(TRIAL_PREFIX)


Trial = tuple[Crash, ...]
"""A trial of a refused request: the crashes as which it counts until its end, one for each key.

Their engine ids name the trial and no engine."""
