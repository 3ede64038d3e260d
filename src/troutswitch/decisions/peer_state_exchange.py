"""Exchanges the configuration and the engine list with peers while the store can't be read.

Relies on `PeerCatchUp` to decide when which peer is asked, and on `ActiveConfiguration` and
`EngineMembership` to keep what is newer. It owns neither.
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
    """Asks peers for their state, takes what they send, and answers what they ask."""

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
        """Returns the state for a peer that has a version of the configuration.

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
        """Takes what is newer in a peer's state."""
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
        """Asks a peer if this daemon's own reads have failed for a while."""
        reading = ReadingState(
            self._configuration.version(),
            self._peers.newest_version(),
            self._configuration.follower.attempts.failing_since,
            self._membership.reader.attempts.failing_since,
        )
        return self._catch_up.on_timer(now, reading, self._peers)
