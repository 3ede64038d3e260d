"""Kinds of demanding load that a soak may have beside its faults (docs/design/hard-load.md)."""

import random
from enum import StrEnum

KIND_SHARE = 0.5
"""Probability that a seed draws a given kind, so that runs with and without it are common."""
COMPETITION_SLOTS = 5
"""Slots of an engine while tenants compete: few, so that the callers of one soak process can send
several times what fits, and more than the usual callers of a soak occupy."""
MEMORY_LIMIT_MB = 160
"""Memory limit of daemons: the smallest on the users' machines."""


class LoadKind(StrEnum):
    """A kind of load."""

    PACES = "paces"
    COMPETITION = "competition"
    SLOW_CALLERS = "slow-callers"
    MEMORY_LIMIT = "memory-limit"
    VERSIONS = "versions"
    CRASHING_PARTS = "crashing-parts"
    SKEWED_CONNECTIONS = "skewed-connections"
    LONG_ITEMS = "long-items"
    ANOTHER_WRITER = "another-writer"
    DATAGRAMS = "datagrams"
    SIZED_ITEMS = "sized-items"


LIGHT_LOAD = frozenset({LoadKind.PACES, LoadKind.ANOTHER_WRITER})
"""Kinds beside which a caller is served whenever there is no fault."""


def draw_load(seed: int) -> frozenset[LoadKind]:
    """Draws the kinds of load of a seed, with generators of their own beside the schedule's."""
    return frozenset(
        kind for kind in LoadKind if random.Random(f"{seed}-{kind}").random() < KIND_SHARE
    )


def parse_load(text: str) -> frozenset[LoadKind]:
    """Parses kinds of load separated by commas; `none` is no kind.

    Raises:
        ValueError: a kind is unknown.
    """
    names = [] if text == "none" else text.split(",")
    return frozenset(LoadKind(name.strip()) for name in names)


def format_load(load: frozenset[LoadKind]) -> str:
    """Returns kinds of load as `parse_load` reads them."""
    return ",".join(sorted(load)) or "none"
