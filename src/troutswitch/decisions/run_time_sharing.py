"""Shares with other daemons, by the peer registry, what this one has learnt of run times.

Relies on `PeerRegistry` for reads and writes of the entries. A daemon that starts takes over what
its peers have learnt, as its own estimates are empty.
"""

from dataclasses import replace

from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.gateway_messages import GatewayIdentity
from troutswitch.decisions.jobs.owner import JobOwner
from troutswitch.decisions.peers.heartbeats import Peers
from troutswitch.decisions.peers.peer_registry import PeerRegistryEntry


class RunTimeSharing:
    """Makes this daemon's entry of the peer registry, and takes those of others."""

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
        """Returns this daemon's entry."""
        identity = self._identity
        experience = replace(
            self._requests.experience(), batch_run_times=self._job_owner.run_times.learnt()
        )
        return PeerRegistryEntry(identity.name, identity.peer_address, identity.zone, experience)

    def apply_entry(self, now: float, entry: PeerRegistryEntry) -> None:
        """Takes a daemon's entry: its address, and its run times where none are known here."""
        self._peers.on_registered(entry)
        self._requests.begin_with(entry.experience)
        if entry.experience.batch_run_times is not None:
            self._job_owner.run_times.begin_with(entry.experience.batch_run_times)
