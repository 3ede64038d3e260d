"""Who gets a load report: all of the own zone, and one daemon of each other zone.

That one passes the report on within its zone. So a report crosses each boundary between
zones once, and everybody hears of everybody each round. The interval between reports
grows with the fleet, which bounds the reports that one daemon takes in a second.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from troutswitch.common import Address

REPORT_SECONDS = 0.01
"""Least interval between reports."""
REPORTS_TAKEN_A_SECOND = 160
"""Reports that one daemon takes in a second over a longer time, whatever the size of the
fleet."""
REPORTS_AT_ONCE = 8
"""Reports that a daemon may send in a row after a quiet time, beyond what its pace allows."""
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
    """Returns the mean seconds between reports in a fleet of so many other daemons."""
    return max(REPORT_SECONDS, peers / REPORTS_TAKEN_A_SECOND)


class ReportPace:
    """Lets reports go at once after a quiet time, and at the fleet's pace in the long run."""

    def __init__(self) -> None:
        self._paid_until = float("-inf")
        self._last_at = float("-inf")

    def next_at(self, peers: int) -> float:
        """Returns when the next report may be sent."""
        reserve = (REPORTS_AT_ONCE - 1) * report_interval(peers)
        return max(self._last_at + REPORT_SECONDS, self._paid_until - reserve)

    def on_sent(self, now: float, peers: int) -> None:
        """A report was sent."""
        self._last_at = now
        self._paid_until = max(now, self._paid_until) + report_interval(peers)


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
