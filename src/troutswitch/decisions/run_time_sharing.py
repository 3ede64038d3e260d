"""Shares learnt run times with other daemons through the peer registry.

Relies on `PeerRegistry` to read and write the entries. A daemon that starts has no estimates of its
own, so it uses those of its peers.
"""

from dataclasses import replace

from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.gateway_messages import GatewayIdentity
from troutswitch.decisions.jobs.owner import JobOwner
from troutswitch.decisions.peers.heartbeats import Peers
from troutswitch.decisions.peers.peer_registry import PeerRegistryEntry


class RunTimeSharing:
    """Builds this daemon's entry of the peer registry, and applies those of other daemons."""

    def __init__(
        self,
        identity: GatewayIdentity,
        requests: ForwardedRequests,
        job_owner: JobOwner,
        peers: Peers,
    ) -> None:
        self._identity = identity
        self._requests = requests
        self._job_owner = job_owner
        self._peers = peers

    def own_entry(self) -> PeerRegistryEntry:
        """Returns this daemon's current entry."""
        identity = self._identity
        learned_times = replace(
            self._requests.learned_times(), batch_run_times=self._job_owner.run_times.snapshot()
        )
        return PeerRegistryEntry(identity.name, identity.peer_address, identity.zone, learned_times)

    def apply_entry(self, now: float, entry: PeerRegistryEntry) -> None:
        """Records a daemon's address, and its run times where this daemon has none yet."""
        self._peers.on_registered(entry)
        self._requests.merge(entry.learned_times)
        if entry.learned_times.batch_run_times is not None:
            self._job_owner.run_times.adopt(entry.learned_times.batch_run_times)
