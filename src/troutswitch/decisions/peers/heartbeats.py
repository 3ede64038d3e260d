"""Tracks the other daemons, and sends heartbeats to them.

Each daemon sends heartbeats to `HEARTBEAT_FANOUT` others drawn at random, so the traffic of one
daemon does not grow with the fleet. A daemon that starts while it cannot read the store learns from
heartbeats which peers it can ask for the configuration and the engine list, and who coordinates
which group.

Owns the known peers. Relies on the peer registry for peers that have not sent a heartbeat.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.daemons.messages import Heartbeat, KnownClaim
from troutswitch.decisions.peers.peer_registry import PeerRegistryEntry
from troutswitch.decisions.slots.messages import SendToPeers

HEARTBEAT_INTERVAL_SECONDS = 0.5
"""Interval between heartbeats."""
HEARTBEAT_FANOUT = 2
"""Number of daemons that each round of heartbeats is sent to."""
LIVENESS_SECONDS = 3.0
"""Time after its last heartbeat for which a daemon counts as live."""
MAX_CLAIMS_PER_HEARTBEAT = 16
"""Maximum number of claims in one heartbeat, which then fits into one packet. If more are known,
they are drawn at random."""
HEARD_SECONDS = 30.0
"""Time within which a process hears of each running daemon of a fleet of about a hundred."""
RETENTION_SECONDS = 60.0
"""Time after its last heartbeat at which a daemon is forgotten."""
MAX_SILENT_CANDIDATES = 3
"""Maximum number of peers without a recent heartbeat, drawn at random, that may be asked while none
is live."""


@dataclass(slots=True)
class Peer:
    """Another daemon.

    `last_seen_at` is when its last heartbeat was received, by this process's clock, or -infinity.
    `configuration_version` is that of its active configuration, or -1. `reads_numbered_content` is
    as in its last heartbeat.
    """

    address: Address
    zone: str
    last_seen_at: float
    configuration_version: int = -1
    reads_numbered_content: bool = False


class Peers:
    """All daemons that are in the registry or sent a heartbeat.

    Args:
        name: this daemon's name.
        zone: its zone.
        address: where it receives messages.
        incarnation: distinguishes it from earlier processes of the same name.
        version: returns the version of this daemon's active configuration.
        claims: returns the coordinators' claims that this daemon knows.
        rng: source of randomness.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        address: Address,
        incarnation: int,
        version: Callable[[], int],
        claims: Callable[[], tuple[KnownClaim, ...]],
        rng: random.Random,
    ) -> None:
        self.peers: dict[str, Peer] = {}
        self._name = name
        self._zone = zone
        self._address = address
        self._incarnation = incarnation
        self._version = version
        self._claims = claims
        self._rng = rng
        self._last_heartbeat_at = float("-inf")
        self._started_at = float("inf")
        self._newest_version = -1

    def on_registered(self, entry: PeerRegistryEntry) -> None:
        """Adds a daemon that is in the registry."""
        if entry.name != self._name and entry.name not in self.peers:
            self.peers[entry.name] = Peer(entry.address, entry.zone, float("-inf"))

    def on_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """Records a daemon's heartbeat."""
        if heartbeat.sender == self._name:
            return
        version = heartbeat.configuration_version
        self.peers[heartbeat.sender] = Peer(
            heartbeat.address, heartbeat.zone, now, version, heartbeat.reads_numbered_content
        )
        self._newest_version = max(self._newest_version, version)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._last_heartbeat_at + HEARTBEAT_INTERVAL_SECONDS if self.peers else float("inf")

    def on_timer(self, now: float) -> list[SendToPeers]:
        """Sends heartbeats to some daemons if they are due."""
        self._started_at = min(self._started_at, now)
        if now < self.next_due():
            return []
        self._last_heartbeat_at = now
        self._forget_silent(now)
        names = list(self.peers)
        drawn = self._rng.sample(names, min(HEARTBEAT_FANOUT, len(names)))
        addresses = tuple(self.peers[name].address for name in drawn)
        return [SendToPeers(addresses, self._heartbeat())]

    def _forget_silent(self, now: float) -> None:
        for name, peer in list(self.peers.items()):
            if RETENTION_SECONDS < now - peer.last_seen_at < float("inf"):
                del self.peers[name]
        versions = (peer.configuration_version for peer in self.peers.values())
        self._newest_version = max(versions, default=-1)

    def _heartbeat(self) -> Heartbeat:
        claims = self._claims()
        if len(claims) > MAX_CLAIMS_PER_HEARTBEAT:
            claims = tuple(self._rng.sample(claims, MAX_CLAIMS_PER_HEARTBEAT))
        return Heartbeat(
            self._name,
            self._zone,
            self._address,
            self._incarnation,
            self._version(),
            claims,
            reads_numbered_content=True,
        )

    def has_earlier_versions(self, now: float) -> bool:
        """Returns whether a daemon may run that does not read numbered content.

        A daemon that was never heard of but is in the registry may be one, until this process has
        run long enough to hear of it.
        """
        is_new = now - self._started_at < HEARD_SECONDS
        return any(
            not peer.reads_numbered_content and (is_new or peer.last_seen_at > float("-inf"))
            for peer in self.peers.values()
        )

    def count(self) -> int:
        """Returns how many other daemons are known."""
        return len(self.peers)

    def addresses(self) -> list[Address]:
        """Returns the addresses of all known other daemons."""
        return [peer.address for peer in self.peers.values()]

    def addresses_by_name(self) -> dict[str, Address]:
        """Returns the addresses of all known other daemons, by name."""
        return {name: peer.address for name, peer in self.peers.items()}

    def live_addresses(self, now: float) -> list[Address]:
        """Returns the addresses of live peers of this zone; without one, of peers of any zone."""
        near = [peer.address for peer in self._live(now) if peer.zone == self._zone]
        return near or self.live_addresses_in_any_zone(now)

    def live_addresses_in_any_zone(self, now: float) -> list[Address]:
        """Returns the addresses of live peers of all zones, or of a few others if none is live."""
        live = [peer.address for peer in self._live(now)]
        if live:
            return live
        others = [peer.address for peer in self.peers.values()]
        return self._rng.sample(others, min(MAX_SILENT_CANDIDATES, len(others)))

    def newer_addresses(self, now: float, version: int) -> list[Address]:
        """Returns the addresses of live peers that use a newer configuration than `version`."""
        return [peer.address for peer in self._live(now) if peer.configuration_version > version]

    def _live(self, now: float) -> list[Peer]:
        return [peer for peer in self.peers.values() if now - peer.last_seen_at <= LIVENESS_SECONDS]

    def newest_version(self) -> int:
        """Returns the highest configuration version that a known peer uses, or -1."""
        return self._newest_version
