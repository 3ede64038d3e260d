"""Decides when a peer is asked for its configuration and engine list, and which peer.

Inputs: since when this daemon's reads of the configuration and of the engine list have failed, by
this process's clock; the versions of the active configuration here and, from heartbeats, at peers;
the live peers.

The rule:

    CURRENT    -> BEHIND      reads have failed for `GRACE_SECONDS`, or it has been known for
                              `NEWER_GRACE_SECONDS` that a peer uses a newer configuration
    BEHIND     -> REQUESTING  a peer that uses a newer configuration is asked for its state; if
                              there is none, a live peer, alternately of this zone and of any zone
    REQUESTING -> BEHIND      the reply arrived or timed out; after a pause a peer is asked again
    BEHIND     -> CURRENT     this daemon's own reads succeed again

Why: while only some daemons cannot reach the store, the others still learn of changes. The daemons
of one zone may lose the store together, so peers of this zone alone may be equally outdated. A
peer's reply never reverts newer state: a configuration is used only if its version is newer, a list
of engines only if it was read later than this daemon's own.

Owns the request in flight and since when this daemon has been behind.
"""

import random
from dataclasses import dataclass
from typing import Protocol

from troutswitch.common import Address
from troutswitch.daemons.peer_state import PeerState

GRACE_SECONDS = 0.4
"""Time for which reads must have failed before a peer is asked."""
NEWER_GRACE_SECONDS = 0.1
"""Time between learning of a peer's newer version and asking that peer. If the store is healthy,
this daemon's own read returns the version within this time."""
REQUEST_INTERVAL_SECONDS = 0.5
"""Mean interval between requests."""
REPLY_TIMEOUT_SECONDS = 1.0
"""Time after which a request without a reply is abandoned."""


class LivePeers(Protocol):
    """The peers that are live."""

    def live_addresses(self, now: float) -> list[Address]:
        """Returns the addresses of peers that may be asked, of this zone if there are any."""
        ...

    def live_addresses_in_any_zone(self, now: float) -> list[Address]:
        """Returns the addresses of peers of all zones that may be asked."""
        ...

    def newer_addresses(self, now: float, version: int) -> list[Address]:
        """Returns the addresses of live peers that use a newer configuration than `version`."""
        ...


@dataclass(frozen=True, slots=True)
class RequestPeerState:
    """Instruction: ask a peer for its state.

    `version` is that of this daemon's configuration; the peer sends its own only if it is newer.
    `timeout` is in seconds.
    """

    host: str
    version: int
    timeout: float


@dataclass(frozen=True, slots=True)
class PeerStateReceived:
    """Event: a request for a peer's state ended; `state` is None if there was no usable reply."""

    host: str
    state: PeerState | None


@dataclass(frozen=True, slots=True)
class ReadingState:
    """State of this daemon's own reads of the store.

    `version` is that of the active configuration, `peer_version` the highest one that a peer uses.
    The times are those of the first failure since the last success, or infinite.
    """

    version: int
    peer_version: int
    configuration_failing_since: float
    engines_failing_since: float


class PeerCatchUp:
    """Decides when a peer is asked for its state, and which peer."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_request_at = float("-inf")
        self._requested_at = float("-inf")
        self._is_requesting = False
        self._behind_at = float("inf")
        self._ask_any_zone = False
        self._older_since = float("inf")

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if self._is_requesting:
            return self._requested_at + REPLY_TIMEOUT_SECONDS
        return max(self._next_request_at, self._behind_at)

    def on_timer(
        self, now: float, reading: ReadingState, peers: LivePeers
    ) -> list[RequestPeerState]:
        """Asks one of the live peers if this daemon has been behind for a while."""
        if self._is_requesting and now >= self._requested_at + REPLY_TIMEOUT_SECONDS:
            self._is_requesting = False
        self._behind_at = self._compute_behind_at(now, reading)
        if self._is_requesting or now < self.next_due():
            return []
        self._next_request_at = now + REQUEST_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2)
        addresses = self._candidates(now, reading.version, peers)
        if not addresses:
            return []
        self._is_requesting = True
        self._requested_at = now
        host = self._rng.choice(addresses).host
        return [RequestPeerState(host, reading.version, REPLY_TIMEOUT_SECONDS)]

    def _candidates(self, now: float, version: int, peers: LivePeers) -> list[Address]:
        newer = peers.newer_addresses(now, version)
        if newer:
            return newer
        ask_any_zone, self._ask_any_zone = self._ask_any_zone, not self._ask_any_zone
        return peers.live_addresses_in_any_zone(now) if ask_any_zone else peers.live_addresses(now)

    def _compute_behind_at(self, now: float, reading: ReadingState) -> float:
        """Returns when peers may first be asked; infinite if no read fails and no peer is newer."""
        is_older = reading.peer_version > reading.version
        self._older_since = min(self._older_since, now) if is_older else float("inf")
        failing_since = min(reading.configuration_failing_since, reading.engines_failing_since)
        return min(self._older_since + NEWER_GRACE_SECONDS, failing_since + GRACE_SECONDS)

    def on_reply(self) -> None:
        """Records that the peer replied or could not be reached."""
        self._is_requesting = False
