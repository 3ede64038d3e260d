"""Grants peers slots for batch items, and retracts them, with numbered messages.

It relies on the ledger, which counts a grant from the time at which it is sent, and on the groups,
because a peer accepts a grant only from the coordinator of the engine's group.
"""

from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import BatchSlotGrant, EngineShare, engine_key
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.invariants import ensure
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.messages import SendToPeers


class BatchGrants:
    """Sends grants for engines of the groups that this daemon coordinates."""

    def __init__(self, identity: DaemonIdentity, groups: EngineGroups, ledger: SlotLedger) -> None:
        self._identity = identity
        self._groups = groups
        self._ledger = ledger

    def grant(
        self, now: float, peer: str, engine: Engine, count: int, tenant: str | None = None
    ) -> SendToPeers:
        """Grants a peer `count` slots at an engine; a negative count retracts slots.

        `tenant` names the tenant whose items get the slots; None leaves the choice to the peer.

        Raises:
            InvariantViolated: The engine is not in any group.
        """
        key = engine_key(engine.record.engine_id)
        grant_number = self._ledger.grant(now, peer, EngineShare(key, 0, count, 0), tenant)
        group = self._groups.of_engine(engine.record.engine_id)
        ensure(group is not None, "granted a slot at an engine that is in no group")
        assert group is not None
        incarnation = self._identity.incarnation
        message = BatchSlotGrant(
            self._identity.name, incarnation, group.name, grant_number, key, count, tenant
        )
        return SendToPeers((self._ledger.holders[peer].address,), message)
