"""Rule: when is a peer asked for its configuration and engine list, and which one?

Inputs: since when this daemon's readings of the configuration and of the engine list have failed,
on this process's clock; the versions of the configuration in force here and at peers, by their
heartbeats; the peers that are live.

The rule:

    CURRENT    -> BEHIND      a reading has failed, or a peer acts on a newer configuration, for
                              `GRACE_SECONDS`
    BEHIND     -> REQUESTING  a live peer, drawn at random, is asked for its state
    REQUESTING -> BEHIND      its reply came, or did not; after a pause another peer is asked
    BEHIND     -> CURRENT     this daemon's own readings succeed again

Why: while the store is away for some daemons only, the others still learn of changes. What a peer
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
REQUEST_SECONDS = 0.5
"""Mean interval between requests."""
REPLY_TIMEOUT_SECONDS = 1.0
"""Time after which a peer that does not reply is given up."""


class LivePeers(Protocol):
    """The peers that are live."""

    def live_addresses(self, now: float) -> list[Address]:
        """Returns the addresses of peers that may be asked."""
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
        self._behind_since = float("inf")
        self._older_since = float("inf")

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if self._is_requesting:
            return self._requested_at + REPLY_TIMEOUT_SECONDS
        return max(self._request_at, self._behind_since + GRACE_SECONDS)

    def on_timer(
        self, now: float, reading: ReadingState, peers: LivePeers
    ) -> list[RequestPeerState]:
        """Asks one of the live peers if this daemon has been behind for a while."""
        if self._is_requesting and now >= self._requested_at + REPLY_TIMEOUT_SECONDS:
            self._is_requesting = False
        self._behind_since = self._find_behind_since(now, reading)
        if self._is_requesting or now < self.next_due():
            return []
        self._request_at = now + REQUEST_SECONDS * self._rng.uniform(0.8, 1.2)
        addresses = peers.live_addresses(now)
        if not addresses:
            return []
        self._is_requesting = True
        self._requested_at = now
        host = self._rng.choice(addresses).host
        return [RequestPeerState(host, reading.version, REPLY_TIMEOUT_SECONDS)]

    def _find_behind_since(self, now: float, reading: ReadingState) -> float:
        """Returns since when a reading fails or a peer is ahead; infinite if neither."""
        is_older = reading.peer_version > reading.version
        self._older_since = min(self._older_since, now) if is_older else float("inf")
        return min(
            self._older_since,
            reading.configuration_failing_since,
            reading.engines_failing_since,
        )

    def on_reply(self) -> None:
        """Takes note that the peer replied, or could not be reached."""
        self._is_requesting = False
