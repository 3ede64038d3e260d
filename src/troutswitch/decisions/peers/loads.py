"""Daemons tell each other how many requests each has in flight on each server.

All requests reach servers through daemons, so the sum of what all tell is the load of a
server, some milliseconds old while a small fleet is busy. Peers are found through the
directory in the store; whoever is heard is a peer too.

Who gets a report, and how often, is told in `spread`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from troutswitch.common import Address, stable_hash
from troutswitch.daemons.loadreport import (
    PREFILL_UNIT_TOKENS,
    LoadReport,
    ServerShare,
    server_key,
)
from troutswitch.decisions.forwarding.servers import ServerRegistry
from troutswitch.decisions.peers.directory import DirectoryEntry
from troutswitch.decisions.peers.spread import (
    PeerPlace,
    ReportPace,
    quiet_interval,
    recipients,
    silence_limit,
)

FORGET_SECONDS = 60.0
"""Silence after which a peer is sent nothing more."""
DROP_LOOK_SECONDS = 0.1
"""Interval between looks for peers that fell silent."""


@dataclass(frozen=True, slots=True)
class SendReport:
    """Instruction: send a report to peers."""

    addresses: tuple[Address, ...]
    report: LoadReport


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """Event: a peer's report came, from it or through another daemon."""

    report: LoadReport


@dataclass(frozen=True, slots=True)
class WaitingItems:
    """Batch items that a daemon could start now: those that can be in time, and the others."""

    in_time: int = 0
    late: int = 0


@dataclass(slots=True)
class Peer:
    """Another daemon."""

    address: Address
    heard_at: float
    zone: str = ""
    life: int = -1
    sequence: int = -1
    configuration_version: int = -1
    waiting_items: int = 0
    late_items: int = 0
    open_items: int = 0
    shares: dict[int, ServerShare] = field(default_factory=dict)

    def batch_at(self, key: int) -> int:
        """Returns the batch items that it has at a server."""
        share = self.shares.get(key)
        return share.batch if share is not None else 0


class PeerLoads:
    """What peers tell, and what is told to them."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: Address,
        servers: ServerRegistry,
        configuration_version: Callable[[], int],
        waiting_items: Callable[[], WaitingItems],
        open_items: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.peers: dict[str, Peer] = {}
        self._name = name
        self._zone = zone
        self._address = address
        self._servers = servers
        self._configuration_version = configuration_version
        self._waiting_items = waiting_items
        self._open_items = open_items
        self._rng = rng
        self._life = rng.getrandbits(31)
        self._sequence = 0
        self._told = (-1, -1, False, False)
        self._pace = ReportPace()
        self._dropped_at = float("-inf")
        self._quiet_at = float("-inf")

    def meet(self, now: float, entry: DirectoryEntry) -> None:
        """Takes a daemon that the directory tells of as a peer."""
        if entry.name != self._name and entry.name not in self.peers:
            self.peers[entry.name] = Peer(entry.address, now, entry.zone)

    # Reports out.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._report_due()

    def _to_tell(self) -> tuple[int, int, bool, bool]:
        """Returns what peers are told of at once when it changes."""
        waiting = self._waiting_items()
        version = self._configuration_version()
        return self._servers.changes, version, waiting.in_time > 0, waiting.late > 0

    def _report_due(self) -> float:
        """Returns when a report may go: soon if something changed, else to be heard of."""
        told = self._to_tell()
        soonest = self._pace.next_at(len(self.peers))
        return soonest if told != self._told else max(soonest, self._quiet_at)

    def on_timer(self, now: float) -> list[SendReport]:
        """Reports if something changed."""
        instructions: list[SendReport] = []
        if now >= self._dropped_at + DROP_LOOK_SECONDS:
            self._dropped_at = now
            self._drop_silent(now)
        if now >= self._report_due():
            instructions += self._report(now)
        return instructions

    def _report(self, now: float, is_leaving: bool = False) -> list[SendReport]:
        version = self._configuration_version()
        waiting = self._waiting_items()
        self._told = self._to_tell()
        self._pace.on_sent(now, len(self.peers))
        self._quiet_at = now + quiet_interval(len(self.peers))
        self._sequence += 1
        return self._send(
            now,
            LoadReport(
                self._name,
                self._zone,
                self._address,
                self._life,
                self._sequence,
                self._own_shares(),
                version,
                is_leaving,
                waiting.in_time,
                waiting.late,
                self._open_items(),
            ),
        )

    def _send(self, now: float, report: LoadReport) -> list[SendReport]:
        chosen = recipients(self._places(now), self._zone, self._rng)
        instructions: list[SendReport] = []
        if chosen.direct:
            instructions.append(SendReport(chosen.direct, report))
        if chosen.relays:
            instructions.append(SendReport(chosen.relays, replace(report, spreads=True)))
        return instructions

    def _places(self, now: float) -> list[PeerPlace]:
        oldest = now - silence_limit(len(self.peers))
        return [
            PeerPlace(peer.address, peer.zone, peer.heard_at >= oldest and peer.life >= 0)
            for peer in self.peers.values()
        ]

    def _own_shares(self) -> tuple[ServerShare, ...]:
        return tuple(
            ServerShare(
                server_key(name),
                server.online_in_flight,
                server.batch_in_flight,
                -(-server.prefill_tokens // PREFILL_UNIT_TOKENS),
            )
            for name, server in self._servers.servers.items()
            if server.online_in_flight or server.batch_in_flight
        )

    def leave(self, now: float) -> list[SendReport]:
        """Tells peers that this daemon stops."""
        return self._report(now, is_leaving=True)

    # Reports in.

    def on_report(self, now: float, event: ReportReceived) -> list[SendReport]:
        """Takes a peer's report, unless a newer one of the same life was taken.

        Returns the report to be passed on in this zone, where its sender asks for that.
        """
        report = event.report
        if report.sender == self._name:
            return []
        peer = self.peers.get(report.sender)
        if peer is None:
            peer = Peer(report.address, now)
            self.peers[report.sender] = peer
        is_old = report.life == peer.life and report.sequence <= peer.sequence
        if is_old:
            return []
        peer.address = report.address
        peer.zone = report.zone
        peer.heard_at = now
        peer.life = report.life
        peer.sequence = report.sequence
        peer.configuration_version = report.configuration_version
        peer.waiting_items = report.waiting_items
        peer.late_items = report.late_items
        peer.open_items = report.open_items
        self._set_shares(now, peer, {share.server_key: share for share in report.shares})
        return self._pass_on(report) if report.spreads else []

    def _pass_on(self, report: LoadReport) -> list[SendReport]:
        near = tuple(peer.address for peer in self.peers.values() if peer.zone == self._zone)
        return [SendReport(near, replace(report, spreads=False))] if near else []

    def _set_shares(self, now: float, peer: Peer, shares: dict[int, ServerShare]) -> None:
        if shares == peer.shares:
            return
        by_key = {server_key(name): server for name, server in self._servers.servers.items()}
        for key in peer.shares.keys() | shares.keys():
            server = by_key.get(key)
            if server is None:
                continue
            old = peer.shares.get(key, ServerShare(key, 0, 0, 0))
            new = shares.get(key, ServerShare(key, 0, 0, 0))
            prefill = (new.prefill_units - old.prefill_units) * PREFILL_UNIT_TOKENS
            server.change_peers_online(now, new.online - old.online)
            server.peers_batch = max(0, server.peers_batch + new.batch - old.batch)
            server.peers_prefill_tokens = max(0, server.peers_prefill_tokens + prefill)
        peer.shares = shares

    def batch_holders(self, key: int) -> list[Peer]:
        """Returns the peers that told of batch items at a server."""
        return [peer for peer in self.peers.values() if peer.batch_at(key) > 0]

    def batch_before(self, server_id: str) -> int:
        """Returns the batch items at a server of the peers that stop theirs before this daemon.

        The order is another one at each server, so that no daemon always comes first.
        """
        key = server_key(server_id)
        place = stable_hash(server_id, self._name)
        return sum(
            peer.batch_at(key)
            for name, peer in self.peers.items()
            if peer.batch_at(key) and stable_hash(server_id, name) < place
        )

    def set_share(self, now: float, peer: Peer, share: ServerShare) -> None:
        """Takes a peer's share of one server as changed, until it reports again."""
        self._set_shares(now, peer, {**peer.shares, share.server_key: share})

    def _drop_silent(self, now: float) -> None:
        limit = silence_limit(len(self.peers))
        for name, peer in list(self.peers.items()):
            silence = now - peer.heard_at
            if silence > limit:
                self._set_shares(now, peer, {})
                peer.waiting_items = 0
                peer.late_items = 0
                peer.open_items = 0
            if silence > FORGET_SECONDS:
                del self.peers[name]

    def live_addresses(self, now: float) -> list[Address]:
        """Returns the peers that were heard lately, those of this zone if there are any."""
        live = [place for place in self._places(now) if place.is_live]
        near = [place.address for place in live if place.zone == self._zone]
        return near or [place.address for place in live]

    def newest_version(self) -> int:
        """Returns the highest configuration version that a peer acts on, or -1."""
        return max((p.configuration_version for p in self.peers.values()), default=-1)

    def waiting_items(self) -> WaitingItems:
        """Returns the batch items that peers could start now."""
        peers = self.peers.values()
        return WaitingItems(
            sum(peer.waiting_items for peer in peers), sum(peer.late_items for peer in peers)
        )

    def count_open_items(self) -> int:
        """Returns the batch items that peers have to finish."""
        return sum(peer.open_items for peer in self.peers.values())
