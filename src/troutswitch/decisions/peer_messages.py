"""Passes each message of a peer daemon to the part of the core that it concerns.

It owns nothing. It relies on the parts to take the messages, and hands on to the forwarded requests
what a message ended: a wait for a quota decision, or a search for a slot.
"""

from dataclasses import dataclass
from typing import assert_never

from troutswitch.daemons.messages import (
    BatchSlotGrant,
    CrashReport,
    EngineDrainNotice,
    GroupDigest,
    Heartbeat,
    HoldingsReport,
    PeerMessage,
    QuotaDecision,
    QuotaRequest,
    SlotReply,
    SlotRequest,
)
from troutswitch.decisions.active_configuration import ActiveConfiguration
from troutswitch.decisions.crashes.suspects import CrashSuspects
from troutswitch.decisions.engine_membership import EngineMembership
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.instruction_queue import InstructionQueue
from troutswitch.decisions.peers.heartbeats import Peers
from troutswitch.decisions.slots.fleet import FleetSlots
from troutswitch.decisions.slots.slot_requests import PlacementResult
from troutswitch.decisions.tenants.quota import Quota, QuotaCompletion


@dataclass(frozen=True, slots=True)
class PeerMessageDispatch:
    """The parts that take peers' messages."""

    peers: Peers
    configuration: ActiveConfiguration
    membership: EngineMembership
    suspects: CrashSuspects
    slots: FleetSlots
    quota: Quota
    requests: ForwardedRequests
    output: InstructionQueue

    def on_message(self, now: float, message: PeerMessage) -> None:
        """Takes a message."""
        match message:
            case Heartbeat():
                self.peers.on_heartbeat(now, message)
                self.slots.claims.add_claims(message.claims)
                self.configuration.on_heartbeat(now, message)
            case CrashReport():
                self.suspects.on_report(now, message)
            case EngineDrainNotice():
                self.membership.on_drain_notice(now, message)
            case QuotaRequest():
                self.quota.on_request(now, message)
            case QuotaDecision():
                self.end_quota_waits(now, self.quota.on_decision(now, message))
            case SlotReply():
                self._on_slot_reply(now, message)
            case HoldingsReport() | SlotRequest() | BatchSlotGrant() | GroupDigest():
                self.end_slot_searches(now, self.slots.on_message(now, message))
            case _:
                assert_never(message)

    def _on_slot_reply(self, now: float, reply: SlotReply) -> None:
        """Takes a coordinator's reply, and spares the report that a granted slot would cause.

        A coordinator that knew all of this daemon's requests before still does: it counted the
        granted slot itself.
        """
        claim = self.slots.claim_by(reply.group, reply.sender)
        is_known = claim is not None and self.slots.reports.has_reported_all(claim)
        self.end_slot_searches(now, self.slots.on_message(now, reply))
        if claim is not None and is_known:
            self.slots.reports.mark_reported(claim)

    def end_quota_waits(self, now: float, ended: list[QuotaCompletion]) -> None:
        """Has requests go on whose quota was decided."""
        for end in ended:
            self.output.emit_all(self.requests.on_counted(now, end))

    def end_slot_searches(self, now: float, ended: list[PlacementResult]) -> None:
        """Has requests go on whose search for a slot ended."""
        for found in ended:
            self.output.emit_all(self.requests.on_placed(now, found.token, found.placement))
