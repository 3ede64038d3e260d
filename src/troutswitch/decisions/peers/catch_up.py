"""Catches up from peers while this daemon cannot read the store.

    CURRENT -> BEHIND   a reading of the configuration or of the engines has failed for a
                        while, or a peer acts on a newer configuration
    BEHIND  -> ASKING   a peer that was heard lately is asked for what it knows
    ASKING  -> BEHIND   its answer came, or did not; another peer is asked after a pause
    BEHIND  -> CURRENT  this daemon's own readings succeed again

What a peer tells is never taken back behind what is known here: a configuration counts
only if its version is newer, a list of engines only if it was read later than the own.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.daemons.peer_state import PeerState

PATIENCE_SECONDS = 0.4
"""Time for which a reading must be missing before peers are asked."""
REQUEST_SECONDS = 0.5
"""Least interval between questions."""
ANSWER_SECONDS = 1.0
"""Time after which a peer that was asked is given up."""


@dataclass(frozen=True, slots=True)
class RequestPeerState:
    """Instruction: ask a peer what it knows, but for a configuration no newer than ours."""

    host: str
    version: int
    timeout: float


@dataclass(frozen=True, slots=True)
class PeerStateReceived:
    """Event: a peer's answer came; None if it did not answer."""

    host: str
    state: PeerState | None


@dataclass(frozen=True, slots=True)
class ReadingState:
    """How far this daemon's own readings are.

    `peer_version` is the highest version of the configuration that a peer acts on; the
    times are those of the first failure since the last success, or infinite.
    """

    version: int
    peer_version: int
    configuration_failing_since: float
    engines_failing_since: float


class PeerCatchUp:
    """Decides when which peer is asked."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ask_at = float("-inf")
        self._requested_at = float("-inf")
        self._is_asking = False
        self._behind_since = float("inf")
        self._older_since = float("inf")

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        if self._is_asking:
            return self._requested_at + ANSWER_SECONDS
        return max(self._ask_at, self._behind_since + PATIENCE_SECONDS)

    def on_timer(
        self, now: float, reading: ReadingState, live_peers: Callable[[], list[Address]]
    ) -> list[RequestPeerState]:
        """Asks one of the live peers if this daemon has been behind for a while."""
        if self._is_asking and now >= self._requested_at + ANSWER_SECONDS:
            self._is_asking = False
        self._behind_since = self._since(now, reading)
        if self._is_asking or now < self.next_due():
            return []
        self._ask_at = now + REQUEST_SECONDS * self._rng.uniform(0.8, 1.2)
        peers = live_peers()
        if not peers:
            return []
        self._is_asking = True
        self._requested_at = now
        return [RequestPeerState(self._rng.choice(peers).host, reading.version, ANSWER_SECONDS)]

    def _since(self, now: float, reading: ReadingState) -> float:
        is_older = reading.peer_version > reading.version
        self._older_since = min(self._older_since, now) if is_older else float("inf")
        return min(
            self._older_since,
            reading.configuration_failing_since,
            reading.engines_failing_since,
        )

    def on_told(self) -> None:
        """Takes note that the peer answered, or could not be reached."""
        self._is_asking = False
