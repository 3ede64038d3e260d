"""Requests slots for this daemon's online requests from coordinators, and awaits the replies.

    (new)     -> AWAITING    a request was sent to a group's coordinator
    AWAITING  -> AWAITING    no slot soon: a request was sent to the next group's coordinator
    AWAITING  -> assigned    a slot was granted, or the request joined the best group's queue
    AWAITING  -> no slot     the wait is too long in every group
    AWAITING  -> fallback    no reply within `REPLY_TIMEOUT_SECONDS`: this daemon decides alone

If this daemon coordinates a group itself, it decides immediately, without a message.

Requests of paced services wait in the coordinators' queues instead (`queued_requests.py`).

`SlotRequests` owns the searches that await a reply. `group_search.py` decides which group comes
next and which wait is accepted; `local_placement.py` decides placements without a coordinator.
Whether coordinators reply is reported to the claims, so that a silent coordinator is replaced.
"""

import enum
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from troutswitch.daemons.messages import (
    NO_ENGINE,
    UNBOUNDED_WAIT_MS,
    SlotDenied,
    SlotQueued,
    SlotReply,
    SlotRequest,
    prefill_units,
)
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.placer import (
    AssignedBy,
    Assignment,
    NoSlotInTime,
    Placement,
    PlacementRequest,
)
from troutswitch.decisions.forwarding.wait_estimate import WaitEstimate
from troutswitch.decisions.slots.coordinator import SlotCoordinator
from troutswitch.decisions.slots.coordinator_claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.group_search import GroupSearch, groups_in_order
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.slots.local_placement import LocalPlacement
from troutswitch.decisions.slots.messages import SendToPeers, SlotInstruction
from troutswitch.decisions.slots.queued_requests import (
    REPLY_TIMEOUT_SECONDS as REPLY_TIMEOUT_SECONDS,
)
from troutswitch.decisions.slots.queued_requests import (
    PlacementResult as PlacementResult,
)
from troutswitch.decisions.slots.queued_requests import (
    QueuedRequests,
)
from troutswitch.decisions.slots.reports import HoldingsReports
from troutswitch.decisions.slots.slot_choice import SlotQuery


class _Pending(enum.Enum):
    """A request was sent to a coordinator, and its reply is awaited."""

    REPLY = enum.auto()


@dataclass(slots=True)
class _OpenSearch:
    """A search that awaits the reply to the slot request with number `number`."""

    search: GroupSearch
    number: int
    requested_at: float

    @property
    def due_at(self) -> float:
        """When the reply is overdue."""
        return self.requested_at + REPLY_TIMEOUT_SECONDS


class SlotRequests:
    """Searches for slots of this daemon's online requests; implements `Placer`."""

    def __init__(
        self,
        zone: str,
        groups: EngineGroups,
        claims: CoordinatorClaims,
        coordinator: SlotCoordinator,
        reports: HoldingsReports,
        local: LocalPlacement,
        queued: QueuedRequests,
        is_paced: Callable[[str], bool],
        numbers: Iterator[int],
        emit: Callable[[SlotInstruction], None],
        rng: random.Random,
    ) -> None:
        self._queued = queued
        self._is_paced = is_paced
        self._zone = zone
        self._groups = groups
        self._claims = claims
        self._coordinator = coordinator
        self._reports = reports
        self._local = local
        self._emit = emit
        self._rng = rng
        self._open: dict[int, _OpenSearch] = {}
        self._tokens: dict[int, int] = {}
        """Tokens of requests, by the number of the slot request whose reply is awaited."""
        self._numbers = numbers

    # `Placer`.

    def place(
        self, now: float, request: PlacementRequest, candidates: list[Engine]
    ) -> Placement | None:
        """Starts a search; returns its result if no reply needs to be awaited."""
        home = self._local.home(now, request, candidates)
        if home is not None:
            return home
        groups = self._groups.of_service(request.service)
        search = GroupSearch(request, groups_in_order(groups, self._zone, self._rng))
        if request.queue_terms is not None and self._is_paced(request.service):
            return self._queued.place(now, search, request.queue_terms)
        return self._advance(now, search)

    def withdraw(self, now: float, token: int) -> None:
        """Drops a search. A slot that is granted to it later is returned (`is_awaited`)."""
        open_search = self._open.pop(token, None)
        if open_search is not None:
            self._tokens.pop(open_search.number, None)
        self._queued.withdraw(now, token)

    # Progress of a search.

    def _advance(self, now: float, search: GroupSearch) -> Placement | None:
        """Tries the remaining groups; returns None if a reply is awaited."""
        while (group := search.next_group()) is not None:
            outcome = self._try_group(now, search, group)
            if outcome is _Pending.REPLY:
                return None
            if outcome is not None:
                return outcome
        return self._join_shortest_queue(now, search)

    def _join_shortest_queue(self, now: float, search: GroupSearch) -> Placement | None:
        """Ends a search that found no slot soon; returns None if a reply is awaited."""
        too_long_wait = search.too_long_wait()
        if too_long_wait is not None:
            return NoSlotInTime(too_long_wait)
        group = search.join_queue()
        outcome = self._try_group(now, search, group) if group is not None else None
        if outcome is _Pending.REPLY:
            return None
        return outcome if outcome is not None else self._local.fall_back(now, search.request)

    def _try_group(
        self, now: float, search: GroupSearch, group: Group
    ) -> Placement | _Pending | None:
        """Decides if this daemon coordinates the group, else sends its coordinator a request.

        Returns None if the group has no slot soon, or no coordinator is known.
        """
        if self._coordinator.coordinates(group.name):
            return self._decide(now, search, group)
        claim = self._claims.coordinator(now, group.name)
        if claim is None:
            self._claims.on_coordinator_needed(now, group.name)
            return None
        self._send(now, search, group, claim)
        return _Pending.REPLY

    def _decide(self, now: float, search: GroupSearch, group: Group) -> Placement | None:
        """Decides as the coordinator of a group; returns None if it has no slot soon."""
        query = SlotQuery(
            group, self._zone, search.max_accepted_wait(), self._excluded(now, search, group)
        )
        decision = self._coordinator.decide(now, query)
        if decision.engine is None:
            search.record_wait(group, decision.estimate)
            return None
        for instruction in self._coordinator.preempt_for_own_request(now, decision.engine):
            self._emit(instruction)
        return Assignment(decision.engine, AssignedBy.COORDINATOR, decision.estimate.wait > 0)

    def _send(self, now: float, search: GroupSearch, group: Group, claim: Claim) -> None:
        token = search.request.token
        number = next(self._numbers)
        self._open[token] = _OpenSearch(search, number, now)
        self._tokens[number] = token
        wait = search.max_accepted_wait()
        request = SlotRequest(
            self._reports.report(now, claim),
            number,
            group.name,
            prefill_units(search.request.prompt.prompt_tokens),
            UNBOUNDED_WAIT_MS if wait == float("inf") else round(wait * 1000),
            tuple(sorted(self._excluded(now, search, group))),
        )
        self._emit(SendToPeers((claim.address,), request))

    def _excluded(self, now: float, search: GroupSearch, group: Group) -> frozenset[int]:
        engines = self._coordinator.engines_of(group.name)
        return self._local.excluded_keys(now, search.request.token, engines)

    # Replies.

    def is_awaited(self, reply: SlotReply) -> bool:
        """Returns whether a search still awaits a reply."""
        return reply.number in self._tokens or self._queued.is_awaited(reply.number)

    def on_queue_answer(self, now: float, answer: SlotQueued | SlotDenied) -> list[PlacementResult]:
        """Handles a coordinator's answer about its queue; returns the search that it ended."""
        return self._queued.on_answer(now, answer)

    def on_reply(self, now: float, reply: SlotReply) -> PlacementResult | None:
        """Handles a coordinator's reply; returns the search's result if it ends the search.

        A late reply, or a reply to a withdrawn request, has no effect.
        """
        if self._queued.is_awaited(reply.number):
            return next(iter(self._queued.on_answer(now, reply)), None)
        token = self._tokens.pop(reply.number, None)
        open_search = self._open.get(token) if token is not None else None
        if open_search is None or open_search.number != reply.number:
            return None
        placement = self._after_reply(now, open_search.search, reply)
        return self._finish(now, open_search.search, placement)

    def _after_reply(self, now: float, search: GroupSearch, reply: SlotReply) -> Placement | None:
        """Returns the placement that follows from a reply; None if another reply is awaited."""
        if not reply.is_coordinator:
            self._claims.on_not_coordinator(now, reply.group)
            return self._advance(now, search)
        self._claims.on_activity(reply.group, reply.sender)
        if reply.engine_key == NO_ENGINE:
            if search.group is not None:
                search.record_wait(search.group, _estimate(reply))
            return self._advance(now, search)
        engine = self._local.permitted_engine(now, search.request.token, reply.engine_key)
        if engine is None:
            return self._local.fall_back(now, search.request)
        return Assignment(engine, AssignedBy.COORDINATOR, reply.wait_ms > 0)

    def _finish(
        self, now: float, search: GroupSearch, placement: Placement | None
    ) -> PlacementResult | None:
        if placement is None:
            return None
        self.withdraw(now, search.request.token)
        return PlacementResult(search.request.token, placement)

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        own_due = min((search.due_at for search in self._open.values()), default=float("inf"))
        return min(own_due, self._queued.next_due())

    def on_timer(self, now: float) -> list[PlacementResult]:
        """Ends the searches whose reply is overdue."""
        overdue = [search for search in self._open.values() if now >= search.due_at]
        ended = [self._end_overdue(now, search) for search in overdue]
        return ended + self._queued.on_timer(now)

    def _end_overdue(self, now: float, overdue: _OpenSearch) -> PlacementResult:
        search = overdue.search
        if search.group is not None:
            self._claims.on_reply_timeout(now, search.group.name)
            waited_ms = round(REPLY_TIMEOUT_SECONDS * 1000)
            fields: dict[str, object] = {"group": search.group.name, "waited_ms": waited_ms}
            self._emit(LogLine("slot request not answered", fields))
        placement = self._local.fall_back(now, search.request)
        self.withdraw(now, search.request.token)
        return PlacementResult(search.request.token, placement)


def _estimate(reply: SlotReply) -> WaitEstimate:
    """Returns the wait in a reply, which does not state how long requests use their slots."""
    return WaitEstimate(reply.wait_ms / 1000, reply.queued, reply.slots, 0.0)
