"""Finds a batch item to stop when an online request goes to a server that is full.

Servers admit in the order of arrival, so a request waits there until a slot is free.
Reports between daemons are too slow to make room in time: the daemon that sent the
request asks for one slot, its own batch first, else one peer's that runs items there.
"""

import random
from dataclasses import dataclass, replace

from troutswitch.common import Address
from troutswitch.daemons.loadreport import server_key
from troutswitch.daemons.slotask import SlotAsk
from troutswitch.decisions.peers.loads import PeerLoads


@dataclass(frozen=True, slots=True)
class SendSlotAsk:
    """Instruction: ask a peer to stop a batch item."""

    address: Address
    ask: SlotAsk


@dataclass(frozen=True, slots=True)
class SlotAsked:
    """Event: a peer asks for a slot that a batch item has."""

    ask: SlotAsk


class SlotAsks:
    """Asks peers for slots."""

    def __init__(self, name: str, peers: PeerLoads, rng: random.Random) -> None:
        self._name = name
        self._peers = peers
        self._rng = rng

    def ask(self, now: float, server_id: str) -> SendSlotAsk | None:
        """Asks one of the peers that told of batch items at the server; None if there is none.

        The peer's share is taken as one less from now on, until it reports again: the next
        request asks for another slot.
        """
        key = server_key(server_id)
        holders = self._peers.batch_holders(key)
        if not holders:
            return None
        peer = self._rng.choices(holders, [peer.shares[key].batch for peer in holders])[0]
        held = peer.shares[key]
        self._peers.set_share(now, peer, replace(held, batch=held.batch - 1))
        return SendSlotAsk(peer.address, SlotAsk(self._name, key))
