"""Dispatches each message from a peer daemon to the part of the core that handles it.

Owns no state. If a message ends a request's wait for a quota decision, or its search for a slot,
passes the result on to the forwarded requests.
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
    OriginQuery,
    OriginReply,
    PacedDigest,
    PacedReport,
    PeerMessage,
    QueuedSlotRequest,
    QuotaDecision,
    QuotaHandover,
    QuotaHandoverRequest,
    QuotaRequest,
    SlotDenied,
    SlotQueued,
    SlotReply,
    SlotRequest,
    SlotRequestWithdrawn,
    StreamOrigins,
    VersionsNotice,
)
from troutswitch.decisions.active_configuration import ActiveConfiguration
from troutswitch.decisions.crashes.suspects import CrashSuspects
from troutswitch.decisions.engine_membership import EngineMembership
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.instruction_queue import InstructionQueue
from troutswitch.decisions.peers.heartbeats import Peers
from troutswitch.decisions.slots.fleet import FleetSlots
from troutswitch.decisions.slots.queued_requests import PlacementResult
from troutswitch.decisions.streams.origins import OriginSearches
from troutswitch.decisions.streams.version_notices import VersionNotices
from troutswitch.decisions.tenants.quota import Quota, QuotaCompletion


@dataclass(frozen=True, slots=True)
class PeerMessageDispatcher:
    """Dispatches peers' messages to these parts."""

    peers: Peers
    configuration: ActiveConfiguration
    membership: EngineMembership
    suspects: CrashSuspects
    slots: FleetSlots
    quota: Quota
    requests: ForwardedRequests
    version_notices: VersionNotices
    origins: OriginSearches
    output: InstructionQueue

    def on_message(self, now: float, message: PeerMessage) -> None:
        """Handles a message."""
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
            case QuotaHandoverRequest():
                self.quota.on_handover_request(now, message)
            case QuotaHandover():
                self.quota.on_handover(now, message)
            case VersionsNotice():
                self.version_notices.on_notice(now, message)
            case StreamOrigins() | OriginQuery() | OriginReply():
                self._on_origin_message(now, message)
            case SlotReply():
                self._on_slot_reply(now, message)
            case (
                HoldingsReport()
                | SlotRequest()
                | BatchSlotGrant()
                | GroupDigest()
                | PacedReport()
                | PacedDigest()
                | QueuedSlotRequest()
                | SlotQueued()
                | SlotDenied()
                | SlotRequestWithdrawn()
            ):
                self.end_slot_searches(now, self.slots.on_message(now, message))
            case _:
                assert_never(message)

    def _on_slot_reply(self, now: float, reply: SlotReply) -> None:
        """Handles a coordinator's reply, without a report to it of the slot that it granted.

        A coordinator that knew all of this daemon's requests before the reply still knows them,
        because it counted the granted slot itself.
        """
        claim = self.slots.claim_by(reply.group, reply.sender)
        is_known = claim is not None and self.slots.reports.has_reported_all(claim)
        self.end_slot_searches(now, self.slots.on_message(now, reply))
        if claim is not None and is_known:
            self.slots.reports.mark_reported(claim)

    def _on_origin_message(
        self, now: float, message: StreamOrigins | OriginQuery | OriginReply
    ) -> None:
        match message:
            case StreamOrigins():
                self.origins.on_origins(now, message)
            case OriginQuery():
                self.origins.on_query(now, message)
            case OriginReply():
                located = self.origins.on_reply(now, message)
                if located is not None:
                    self.output.emit_all(self.requests.on_located(now, located))
            case _:
                assert_never(message)

    def end_quota_waits(self, now: float, ended: list[QuotaCompletion]) -> None:
        """Continues the requests whose quota was decided."""
        for end in ended:
            self.output.emit_all(self.requests.on_quota_decided(now, end))

    def end_slot_searches(self, now: float, ended: list[PlacementResult]) -> None:
        """Continues the requests whose search for a slot ended."""
        for found in ended:
            self.output.emit_all(self.requests.on_placed(now, found.token, found.placement))
