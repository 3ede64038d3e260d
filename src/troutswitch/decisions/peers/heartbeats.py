"""Knows other daemons, and tells a few of them now and then that this one lives.

Each daemon greets `HELLOS_AT_ONCE` others drawn at random, so what one sends and takes does
not grow with the fleet. A daemon that starts while it cannot read the store learns from a
greeting whom to ask for the configuration and the engines, and who coordinates what.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.daemons.messages import ClaimTold, Hello
from troutswitch.decisions.peers.peer_registry import DirectoryEntry
from troutswitch.decisions.slots.messages import SendToPeers

HELLO_SECONDS = 0.5
"""Interval between greetings."""
HELLOS_AT_ONCE = 2
"""Daemons greeted at once: with two each half second, a daemon is greeted within half a second
in 86 of 100 cases, and within one second in 98."""
LIVE_SECONDS = 3.0
"""Time for which a daemon counts as live after it was heard."""
CLAIMS_TOLD_MOST = 16
"""Claims in one greeting, drawn at random: some 70 bytes each, so that it fits into one packet. All
96 of a fleet of 3,000 engines took 7 KB, near what a datagram may have here."""
FORGET_SECONDS = 60.0
"""Silence after which a daemon that was heard is greeted no more."""
ANY_ASKED_MOST = 3
"""Daemons never heard of which one may be asked if none was heard lately."""


@dataclass(slots=True)
class Contact:
    """Another daemon."""

    address: Address
    zone: str
    heard_at: float
    configuration_version: int = -1


class PeerContacts:
    """All daemons that the directory names or that were heard."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: Address,
        life: int,
        version: Callable[[], int],
        claims: Callable[[], tuple[ClaimTold, ...]],
        rng: random.Random,
    ) -> None:
        self.contacts: dict[str, Contact] = {}
        self._name = name
        self._zone = zone
        self._address = address
        self._life = life
        self._version = version
        self._claims = claims
        self._rng = rng
        self._hello_at = float("-inf")
        self._newest_version = -1

    def meet(self, now: float, entry: DirectoryEntry) -> None:
        """Takes a daemon that the directory tells of."""
        if entry.name != self._name and entry.name not in self.contacts:
            self.contacts[entry.name] = Contact(entry.address, entry.zone, float("-inf"))

    def on_hello(self, now: float, hello: Hello) -> None:
        """A daemon was heard."""
        if hello.sender == self._name:
            return
        version = hello.configuration_version
        self.contacts[hello.sender] = Contact(hello.address, hello.zone, now, version)
        self._newest_version = max(self._newest_version, version)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._hello_at + HELLO_SECONDS if self.contacts else float("inf")

    def on_timer(self, now: float) -> list[SendToPeers]:
        """Greets some daemons."""
        if now < self.next_due():
            return []
        self._hello_at = now
        for name, contact in list(self.contacts.items()):
            if FORGET_SECONDS < now - contact.heard_at < float("inf"):
                del self.contacts[name]
        names = list(self.contacts)
        drawn = self._rng.sample(names, min(HELLOS_AT_ONCE, len(names)))
        claims = self._claims()
        if len(claims) > CLAIMS_TOLD_MOST:
            claims = tuple(self._rng.sample(claims, CLAIMS_TOLD_MOST))
        hello = Hello(self._name, self._zone, self._address, self._life, self._version(), claims)
        return [SendToPeers(tuple(self.contacts[name].address for name in drawn), hello)]

    def addresses(self) -> list[Address]:
        """Returns all daemons that are known."""
        return [contact.address for contact in self.contacts.values()]

    def live_addresses(self, now: float) -> list[Address]:
        """Returns daemons heard lately, those of this zone if there are any; else a few others."""
        live = [c for c in self.contacts.values() if now - c.heard_at <= LIVE_SECONDS]
        near = [contact.address for contact in live if contact.zone == self._zone]
        if near or live:
            return near or [contact.address for contact in live]
        others = [contact.address for contact in self.contacts.values()]
        return self._rng.sample(others, min(ANY_ASKED_MOST, len(others)))

    def newest_version(self) -> int:
        """Returns the highest configuration version that a daemon told of, or -1."""
        return self._newest_version
