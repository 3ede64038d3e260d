"""Exchanges the configuration and the engine list with peers while the store cannot be read.

Relies on `PeerCatchUp` to decide when a peer is asked and which one, and on `ActiveConfiguration`
and `EngineMembership` to apply only newer state. It owns neither.
"""

import random

from troutswitch.daemons.peer_state import PeerState
from troutswitch.decisions.active_configuration import ActiveConfiguration
from troutswitch.decisions.engine_membership import EngineMembership
from troutswitch.decisions.peers.catch_up import (
    PeerCatchUp,
    PeerStateReceived,
    ReadingState,
    RequestPeerState,
)
from troutswitch.decisions.peers.heartbeats import Peers


class PeerStateExchange:
    """Requests peers' state, applies their replies, and provides this daemon's state to them."""

    def __init__(
        self,
        configuration: ActiveConfiguration,
        membership: EngineMembership,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._peers = peers
        self._catch_up = PeerCatchUp(rng)

    def state_for_peer(self, now: float, version: int) -> PeerState:
        """Returns this daemon's state for a peer whose configuration has the given version.

        Safe to call from any thread.
        """
        record = self._configuration.record if self._configuration.version() > version else None
        age = self._configuration.age(now)
        newest_list = self._membership.newest_list
        if newest_list is None:
            return PeerState(record, (), None, age)
        records, read_at = newest_list
        return PeerState(record, records, now - read_at, age)

    def on_received(self, now: float, event: PeerStateReceived) -> None:
        """Applies the newer parts of a peer's state."""
        self._catch_up.on_reply()
        if event.state is None:
            return
        self._configuration.apply_peer_state(now, event.host, event.state)
        age = event.state.engines_age
        if age is not None:
            self._membership.apply_peer_list(now, event.host, event.state.engines, age)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._catch_up.next_due()

    def on_timer(self, now: float) -> list[RequestPeerState]:
        """Returns a request to a peer if this daemon's own state has been outdated for a while."""
        reading = ReadingState(
            self._configuration.version(),
            self._peers.newest_version(),
            self._configuration.follower.attempts.failing_since,
            self._membership.reader.attempts.failing_since,
        )
        return self._catch_up.on_timer(now, reading, self._peers)
