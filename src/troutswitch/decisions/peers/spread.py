"""Who gets a load report: all of the own zone, and one daemon of each other zone.

That one passes the report on within its zone. So a report crosses each boundary between
zones once, and everybody hears of everybody each round. The interval between reports
grows with the fleet, which bounds the reports that one daemon takes in a second.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from troutswitch.common import Address

REPORT_SECONDS = 0.1
"""Least interval between reports."""
REPORTS_TAKEN_A_SECOND = 160
"""Reports that one daemon takes in a second, whatever the size of the fleet."""
QUIET_REPORT_SECONDS = 0.6
"""Least interval between reports while nothing changes."""
SILENT_SECONDS = 2.0
"""Least silence after which a peer's requests no longer count."""
SILENT_INTERVALS = 4.0
"""The same silence in intervals between reports."""


@dataclass(frozen=True, slots=True)
class PeerPlace:
    """Where a peer stands, and whether it was heard lately."""

    address: Address
    zone: str
    is_live: bool


@dataclass(frozen=True, slots=True)
class Recipients:
    """Addresses that get a report, and those that get one to pass on."""

    direct: tuple[Address, ...]
    relays: tuple[Address, ...]


def report_interval(peers: int) -> float:
    """Returns the seconds between reports in a fleet of so many other daemons."""
    return max(REPORT_SECONDS, peers / REPORTS_TAKEN_A_SECOND)


def quiet_interval(peers: int) -> float:
    """Returns the seconds between reports while nothing changes."""
    return max(QUIET_REPORT_SECONDS, report_interval(peers))


def silence_limit(peers: int) -> float:
    """Returns the seconds of silence after which a peer no longer counts."""
    return max(SILENT_SECONDS, SILENT_INTERVALS * report_interval(peers))


def recipients(places: Iterable[PeerPlace], own_zone: str, rng: random.Random) -> Recipients:
    """Chooses who gets a report.

    A peer whose zone is not known yet gets it directly. Relays are drawn anew for each
    report, of those that were heard lately if there are any: a relay that is lost costs
    its zone one report.
    """
    direct: list[Address] = []
    others: dict[str, list[PeerPlace]] = {}
    for place in places:
        if place.zone in ("", own_zone):
            direct.append(place.address)
        else:
            others.setdefault(place.zone, []).append(place)
    relays = [_draw(held, rng).address for _, held in sorted(others.items())]
    return Recipients(tuple(direct), tuple(relays))


def _draw(places: list[PeerPlace], rng: random.Random) -> PeerPlace:
    live = [place for place in places if place.is_live]
    return rng.choice(live or places)
