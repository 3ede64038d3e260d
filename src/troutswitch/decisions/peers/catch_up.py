"""Rule: when is a peer asked for its configuration and engine list, and which one?

Inputs: since when this daemon's readings of the configuration and of the engine list have failed,
on this process's clock; the versions of the configuration in force here and at peers, by their
heartbeats; the peers that are live.

The rule:

    CURRENT    -> BEHIND      a reading has failed for `GRACE_SECONDS`, or a peer has acted on a
                              newer configuration for `NEWER_GRACE_SECONDS`
    BEHIND     -> REQUESTING  a peer that acts on a newer configuration is asked for its state; if
                              there is none, a live one, by turns of this zone and of any zone
    REQUESTING -> BEHIND      its reply came, or did not; after a pause another peer is asked
    BEHIND     -> CURRENT     this daemon's own readings succeed again

Why: while the store is away for some daemons only, the others still learn of changes. Those of one
zone may be turned away together, so peers of this zone alone may know as little. What a peer
replies never reverts what is known here: a configuration counts only if its version is newer, a
list of engines only if it was read later than the own one.

It owns the request in flight and since when this daemon has been behind.
"""

import random
from dataclasses import dataclass
from typing import Protocol

from troutswitch.common import Address
from troutswitch.daemons.peer_state import PeerState

GRACE_SECONDS = 0.4
"""Time for which a reading must have failed before a peer is asked."""
NEWER_GRACE_SECONDS = 0.1
"""Time after a peer's newer version is known before that peer is asked: this daemon's own reading
brings the version in that time if the store is well."""
REQUEST_INTERVAL_SECONDS = 0.5
"""Mean interval between requests."""
REPLY_TIMEOUT_SECONDS = 1.0
"""Time after which a peer that does not reply is given up."""


class LivePeers(Protocol):
    """The peers that are live."""

    def live_addresses(self, now: float) -> list[Address]:
        """Returns the addresses of peers that may be asked, those of this zone if there are any."""
        ...

    def live_addresses_in_any_zone(self, now: float) -> list[Address]:
        """Returns the addresses of peers of all zones that may be asked."""
        ...

    def newer_addresses(self, now: float, version: int) -> list[Address]:
        """Returns the addresses of live peers that act on a newer configuration."""
        ...


@dataclass(frozen=True, slots=True)
class RequestPeerState:
    """Instruction: ask a peer for its state.

    `version` is that of the configuration here; the peer sends its own only if it is newer.
    `timeout` is in seconds.
    """

    host: str
    version: int
    timeout: float


@dataclass(frozen=True, slots=True)
class PeerStateReceived:
    """Event: a peer's reply came; `state` is None if there was none."""

    host: str
    state: PeerState | None


@dataclass(frozen=True, slots=True)
class ReadingState:
    """How this daemon's own readings stand.

    `version` is that of the configuration in force, `peer_version` the highest one that a peer
    acts on. The times are those of the first failure since the last success, or infinite.
    """

    version: int
    peer_version: int
    configuration_failing_since: float
    engines_failing_since: float


class PeerCatchUp:
    """Decides when a peer is asked, and which one."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._request_at = float("-inf")
        self._requested_at = float("-inf")
        self._is_requesting = False
        self._behind_at = float("inf")
        self._ask_any_zone = False
        self._older_since = float("inf")

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if self._is_requesting:
            return self._requested_at + REPLY_TIMEOUT_SECONDS
        return max(self._request_at, self._behind_at)

    def on_timer(
        self, now: float, reading: ReadingState, peers: LivePeers
    ) -> list[RequestPeerState]:
        """Asks one of the live peers if this daemon has been behind for a while."""
        if self._is_requesting and now >= self._requested_at + REPLY_TIMEOUT_SECONDS:
            self._is_requesting = False
        self._behind_at = self._compute_behind_at(now, reading)
        if self._is_requesting or now < self.next_due():
            return []
        self._request_at = now + REQUEST_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2)
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
        """Returns from when on peers are asked; infinite if nothing fails and no peer is ahead."""
        is_older = reading.peer_version > reading.version
        self._older_since = min(self._older_since, now) if is_older else float("inf")
        failing_since = min(reading.configuration_failing_since, reading.engines_failing_since)
        return min(self._older_since + NEWER_GRACE_SECONDS, failing_since + GRACE_SECONDS)

    def on_reply(self) -> None:
        """Takes note that the peer replied, or could not be reached."""
        self._is_requesting = False
