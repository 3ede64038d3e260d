"""Requests slots for online requests of paced services, and waits in the coordinators' queues.

    (new)     -> ASKED     a group's coordinator was sent a request that may not queue
    ASKED     -> ASKED     no slot there now: the next group's coordinator was sent one
    ASKED     -> QUEUEING  no group has a slot: the group with the shortest wait was sent a request
                           that may queue; it is the first request if there is only one group
    QUEUEING  -> QUEUED    the coordinator confirmed it
    QUEUED    -> QUEUEING  it was sent again, after 0.1 s, 0.3 s and then every 0.5 s
    QUEUED    -> QUEUED    its coordinator stops as planned: the next one is awaited for
                           `NEXT_COORDINATOR_SECONDS`
    any       -> assigned  a slot was granted
    QUEUEING, QUEUED -> no slot   the coordinator denied it; its caller may return when that says
    any       -> fallback  a message was not answered within `REPLY_TIMEOUT_SECONDS`, or the daemon
                           is no coordinator and no other is known: this daemon decides alone

A coordinator that is not known to queue requests (`queueing_coordinators.py`) is sent a
`SlotRequest` instead, as for services without a pace. If its reply shows that it queues, it is then
sent the request that may queue.

If this daemon coordinates a group itself, the request enters the queue without a message.

A request waits in one queue at a time. It is withdrawn if its search ends in any other way than by
an answer of the coordinator that was asked last. A grant that comes later is returned
(`SlotRequests.is_awaited`).

`QueuedRequests` owns the searches of paced services. It relies on the claims for which daemon
coordinates a group, and on `queue_coordinator.py` for the groups of this daemon.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import (
    NO_ENGINE,
    UNBOUNDED_WAIT_MS,
    QueuedSlotRequest,
    SlotDenied,
    SlotQueued,
    SlotReply,
    SlotRequest,
    SlotRequestWithdrawn,
    prefill_units,
)
from troutswitch.decisions.forwarding.log_events import milliseconds
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.placer import (
    AssignedBy,
    Assignment,
    NoSlotInTime,
    Placement,
    QueueTerms,
)
from troutswitch.decisions.forwarding.wait_estimate import WaitEstimate
from troutswitch.decisions.slots.coordinator import SlotCoordinator
from troutswitch.decisions.slots.coordinator_claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.group_search import GroupSearch
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.slots.local_placement import LocalPlacement
from troutswitch.decisions.slots.messages import SendToPeers, SlotInstruction
from troutswitch.decisions.slots.queue_coordinator import QueueAnswer, QueueCoordinator
from troutswitch.decisions.slots.queueing_coordinators import QueueingCoordinators
from troutswitch.decisions.slots.reports import HoldingsReports
from troutswitch.decisions.slots.slot_queue import QueueEntry

REPLY_TIMEOUT_SECONDS = 0.03
"""Time within which a coordinator must reply: a tenth of an objective of 300 ms, and several times
what a reply from another zone takes."""
FIRST_REPEATS_SECONDS = (0.1, 0.3)
"""When a queued request is first sent again, from its first message: soon, because most waits are
short, and a coordinator that has died must not cost an objective of 300 ms."""
REPEAT_SECONDS = 0.5
"""Interval of later repetitions."""
NEXT_COORDINATOR_SECONDS = 0.2
"""Time for which a queued request awaits the next coordinator of its group after a planned stop:
part of `CLAIM_SPREAD_SECONDS`, and some calls to the store. Without it, all requests of the queue
are sent to engines at the same moment."""
NEXT_COORDINATOR_CHECK_SECONDS = 0.02
"""Interval between checks for the next coordinator."""
MAX_MOVES = 3
"""How often a request moves to another coordinator of its group before this daemon decides alone.
Bounds its messages if coordinators deny the group in turn."""
LATE_MAX_WAIT_MS = -1
"""Longest wait, in messages, of a request that will be late anyway."""
MAX_WAIT_MS = 3_600_000
"""Upper bound of waits in messages, for requests without an objective."""


@dataclass(frozen=True, slots=True)
class PlacementResult:
    """The result of the search for the request that `token` identifies."""

    token: int
    placement: Placement


@dataclass(slots=True)
class _OpenRequest:
    """A search that awaits an answer, or a slot in a queue. Times are this process's clock."""

    search: GroupSearch
    terms: QueueTerms
    group: Group
    claim: Claim | None
    """The coordinator that was asked; None if this daemon coordinates the group."""
    number: int
    may_queue: bool
    is_plain: bool
    """Whether it is sent as a `SlotRequest`, which never queues."""
    begun_at: float
    """When the request with this number was first sent."""
    sent_at: float
    is_answered: bool = False
    """Whether the newest message was answered."""
    repeats: int = 0
    moves: int = 0
    moves_until: float | None = None
    """Until when the next coordinator is awaited, if the one that queued it has stopped."""
    is_logged: bool = False
    """Whether its place in the queue was logged."""

    @property
    def token(self) -> int:
        """The token of the request."""
        return self.search.request.token

    @property
    def due_at(self) -> float:
        """When the answer is overdue, or the next repetition or check is due."""
        if self.moves_until is not None:
            return self.sent_at + NEXT_COORDINATOR_CHECK_SECONDS
        if not self.is_answered:
            return self.sent_at + REPLY_TIMEOUT_SECONDS
        if self.repeats < len(FIRST_REPEATS_SECONDS):
            return self.begun_at + FIRST_REPEATS_SECONDS[self.repeats]
        return self.sent_at + REPEAT_SECONDS


class QueuedRequests:
    """Searches for slots of this daemon's online requests of paced services."""

    def __init__(
        self,
        identity: DaemonIdentity,
        groups: EngineGroups,
        claims: CoordinatorClaims,
        queueing: QueueingCoordinators,
        coordinator: SlotCoordinator,
        queues: QueueCoordinator,
        reports: HoldingsReports,
        local: LocalPlacement,
        numbers: Iterator[int],
        emit: Callable[[SlotInstruction], None],
    ) -> None:
        self._identity = identity
        self._groups = groups
        self._claims = claims
        self._queueing = queueing
        self._coordinator = coordinator
        self._queues = queues
        self._reports = reports
        self._local = local
        self._numbers = numbers
        self._emit = emit
        self._open: dict[int, _OpenRequest] = {}
        """Searches by the token of their request."""
        self._tokens: dict[int, int] = {}
        """Tokens by the number of the newest message."""

    # For `SlotRequests`.

    def place(self, now: float, search: GroupSearch, terms: QueueTerms) -> Placement | None:
        """Starts a search; returns its result if no answer or slot needs to be awaited."""
        return self._advance(now, search, terms)

    def withdraw(self, now: float, token: int) -> None:
        """Drops a search, and takes its request out of the queue."""
        request = self._close(token)
        if request is not None:
            self._leave_queue(now, request)

    def is_awaited(self, number: int) -> bool:
        """Returns whether a search still awaits answers to a number."""
        return number in self._tokens

    @property
    def open_tokens(self) -> set[int]:
        """Tokens of the requests whose search has not ended."""
        return set(self._open)

    # Progress of a search.

    def _advance(self, now: float, search: GroupSearch, terms: QueueTerms) -> Placement | None:
        """Tries the remaining groups, then queues; returns None if an answer is awaited."""
        while (group := search.next_group()) is not None:
            is_waiting, placement = self._try_group(
                now, search, terms, group, may_queue=not search.has_alternative
            )
            if is_waiting or placement is not None:
                return placement
        too_long_wait = search.too_long_wait()
        if too_long_wait is not None and self._is_without_queue(now, search.shortest_group):
            return NoSlotInTime(too_long_wait)
        best = search.join_queue()
        if best is not None:
            is_waiting, placement = self._try_group(now, search, terms, best, may_queue=True)
            if is_waiting or placement is not None:
                return placement
        return self._local.fall_back(now, search.request)

    def _is_without_queue(self, now: float, group: Group | None) -> bool:
        """Returns whether a group's coordinator is a peer that is not known to queue requests."""
        if group is None or self._coordinator.coordinates(group.name):
            return False
        return self._is_plain(self._claims.coordinator(now, group.name))

    def _is_plain(self, claim: Claim | None) -> bool:
        return claim is not None and not self._queueing.queues(claim.daemon)

    def _try_group(
        self,
        now: float,
        search: GroupSearch,
        terms: QueueTerms,
        group: Group,
        *,
        may_queue: bool,
        moves: int = 0,
    ) -> tuple[bool, Placement | None]:
        """Asks a group's coordinator for a slot.

        Returns whether the search waits now, and otherwise its result, if it ended.
        """
        claim: Claim | None = None
        if not self._coordinator.coordinates(group.name):
            claim = self._claims.coordinator(now, group.name)
            if claim is None:
                self._claims.on_coordinator_needed(now, group.name)
                return False, None
        request = _OpenRequest(
            search,
            terms,
            group,
            claim,
            next(self._numbers),
            may_queue,
            self._is_plain(claim),
            now,
            now,
            moves=moves,
        )
        return self._start(now, request)

    def _start(self, now: float, request: _OpenRequest) -> tuple[bool, Placement | None]:
        """Sends a new request, or enters it into the queue of this daemon."""
        if request.claim is not None:
            self._register(request)
            self._send(now, request)
            return True, None
        answer = self._queues.request_own(
            now, request.group.name, self._own_entry(now, request), may_queue=request.may_queue
        )
        if answer is None:
            return False, None
        self._register(request)
        result = self._on_answer(now, request, answer)
        return request.token in self._open, result

    def _register(self, request: _OpenRequest) -> None:
        self._open[request.token] = request
        self._tokens[request.number] = request.token

    def _close(self, token: int) -> _OpenRequest | None:
        request = self._open.pop(token, None)
        if request is not None:
            self._tokens.pop(request.number, None)
        return request

    def _own_entry(self, now: float, request: _OpenRequest) -> QueueEntry:
        terms = request.terms
        return QueueEntry(
            self._queues.own_key(request.number),
            terms.share,
            terms.priority,
            now,
            terms.objective_at,
            terms.expires_at,
            terms.is_returned,
            self._identity.zone,
            prefill_units(request.search.request.prompt.prompt_tokens),
            self._excluded(now, request),
            frozenset(self._connected(now, request)),
        )

    def _excluded(self, now: float, request: _OpenRequest) -> frozenset[int]:
        engines = self._coordinator.engines_of(request.group.name)
        return self._local.excluded_keys(now, request.token, engines)

    def _connected(self, now: float, request: _OpenRequest) -> tuple[int, ...]:
        """Returns the keys of engines of the group to which this daemon has idle connections."""
        return self._local.connected_keys(
            now, lambda engine_id: self._groups.of_engine(engine_id) == request.group
        )

    # Messages to a coordinator.

    def _send(self, now: float, request: _OpenRequest) -> None:
        assert request.claim is not None
        request.sent_at, request.is_answered = now, False
        if request.is_plain:
            self._emit(SendToPeers((request.claim.address,), self._plain(now, request)))
            return
        terms = request.terms
        max_wait_ms = LATE_MAX_WAIT_MS
        if terms.objective_at >= now:
            max_wait_ms = _wait_ms(terms.objective_at - now)
        message = QueuedSlotRequest(
            self._reports.report(now, request.claim),
            self._reports.new_paces(now, request.claim),
            request.number,
            request.group.name,
            prefill_units(request.search.request.prompt.prompt_tokens),
            max_wait_ms,
            _wait_ms(max(0.0, terms.expires_at - now)),
            terms.share,
            terms.priority,
            request.may_queue,
            tuple(sorted(self._excluded(now, request))),
            terms.is_returned,
            self._reports.tenants(request.claim),
            self._connected(now, request),
        )
        self._emit(SendToPeers((request.claim.address,), message))

    def _plain(self, now: float, request: _OpenRequest) -> SlotRequest:
        assert request.claim is not None
        max_wait = request.search.max_accepted_wait()
        return SlotRequest(
            self._reports.report(now, request.claim),
            request.number,
            request.group.name,
            prefill_units(request.search.request.prompt.prompt_tokens),
            UNBOUNDED_WAIT_MS if max_wait == float("inf") else round(max_wait * 1000),
            tuple(sorted(self._excluded(now, request))),
        )

    def _leave_queue(self, now: float, request: _OpenRequest) -> None:
        """Withdraws a request that may be queued."""
        if not request.may_queue or request.is_plain:
            return
        number, group = request.number, request.group.name
        if request.claim is None:
            self._queues.withdraw_own(now, group, number)
            return
        name, incarnation = self._identity.name, self._identity.incarnation
        message = SlotRequestWithdrawn(name, incarnation, number, group)
        self._emit(SendToPeers((request.claim.address,), message))

    # Answers of coordinators.

    def on_answer(self, now: float, answer: QueueAnswer) -> list[PlacementResult]:
        """Handles a coordinator's answer; returns the search's result if it ends the search.

        An answer of a coordinator that is not asked any more has no effect, unless it is a grant.
        """
        token = self._tokens.get(answer.number)
        request = self._open.get(token) if token is not None else None
        if request is None:
            return []
        is_grant = isinstance(answer, SlotReply) and answer.engine_key != NO_ENGINE
        if not is_grant and not self._is_asked(request, answer.sender):
            return []
        return self._result(request, self._on_answer(now, request, answer))

    def _is_asked(self, request: _OpenRequest, sender: str) -> bool:
        asked = request.claim.daemon if request.claim is not None else self._identity.name
        return sender == asked

    def _result(self, request: _OpenRequest, placement: Placement | None) -> list[PlacementResult]:
        return [PlacementResult(request.token, placement)] if placement is not None else []

    def _on_answer(
        self, now: float, request: _OpenRequest, answer: QueueAnswer
    ) -> Placement | None:
        """Returns the placement that follows from an answer; None if the search goes on."""
        if not isinstance(answer, SlotReply) or answer.is_coordinator:
            self._claims.on_activity(answer.group, answer.sender)
        match answer:
            case SlotQueued():
                request.is_answered = True
                self._log_queued(request, answer)
                return None
            case SlotDenied():
                return self._on_denied(now, request, answer)
            case SlotReply(is_coordinator=False):
                return self._on_not_coordinator(now, request, answer.sender)
            case SlotReply() if answer.engine_key == NO_ENGINE:
                return self._on_no_slot(now, request, answer)
            case SlotReply():
                return self._on_granted(now, request, answer)

    def _on_granted(self, now: float, request: _OpenRequest, reply: SlotReply) -> Placement:
        self._close(request.token)
        if not self._is_asked(request, reply.sender):
            self._leave_queue(now, request)
        if request.is_logged:
            waited = now - request.begun_at
            self._log("slot granted after wait", request, waited_ms=milliseconds(waited))
        engine = self._local.permitted_engine(now, request.token, reply.engine_key)
        if engine is None:
            return self._local.fall_back(now, request.search.request)
        return Assignment(engine, AssignedBy.COORDINATOR, reply.wait_ms > 0)

    def _on_no_slot(self, now: float, request: _OpenRequest, reply: SlotReply) -> Placement | None:
        """Handles the reply to a `SlotRequest` without a slot."""
        self._close(request.token)
        search, terms, group = request.search, request.terms, request.group
        if request.may_queue and self._queueing.queues(reply.sender):
            is_waiting, placement = self._try_group(
                now, search, terms, group, may_queue=True, moves=request.moves
            )
            if is_waiting or placement is not None:
                return placement
        wait = reply.wait_ms / 1000
        search.record_wait(group, WaitEstimate(wait, reply.queued, reply.slots, 0.0))
        return self._advance(now, search, terms)

    def _on_denied(self, now: float, request: _OpenRequest, denied: SlotDenied) -> Placement | None:
        estimate = WaitEstimate(denied.wait_ms / 1000, denied.queued, denied.slots, 0.0)
        self._close(request.token)
        if not denied.is_final:
            request.search.record_wait(request.group, estimate)
            return self._advance(now, request.search, request.terms)
        self._log(
            "slot request denied",
            request,
            waited_ms=milliseconds(now - request.begun_at),
            wait_ms=denied.wait_ms,
            expires_ms=milliseconds(max(0.0, request.terms.expires_at - now)),
            queued=denied.queued,
            slots=denied.slots,
            retry_after_ms=denied.retry_after_ms,
        )
        return NoSlotInTime(estimate, denied.retry_after_ms / 1000)

    def _on_not_coordinator(
        self, now: float, request: _OpenRequest, sender: str
    ) -> Placement | None:
        claim = self._claims.claim_of(request.group.name)
        if claim is not None and claim.daemon == sender:
            self._claims.on_not_coordinator(now, request.group.name)
        if request.moves_until is not None:
            return None
        is_known, _ = self._current_claim(now, request)
        if request.is_logged and not is_known:
            request.moves_until = min(now + NEXT_COORDINATOR_SECONDS, request.terms.expires_at)
            request.sent_at = now
            return None
        self._close(request.token)
        if not request.may_queue:
            return self._advance(now, request.search, request.terms)
        return self._move(now, request)

    # Another coordinator of the same group.

    def _current_claim(self, now: float, request: _OpenRequest) -> tuple[bool, Claim | None]:
        """Returns whether the group has a coordinator, and its claim if that is a peer."""
        if self._coordinator.coordinates(request.group.name):
            return True, None
        claim = self._claims.coordinator(now, request.group.name)
        return claim is not None, claim

    def _await_next_coordinator(self, now: float, request: _OpenRequest) -> Placement | None:
        """Moves a request to the next coordinator once it is known, until `moves_until`."""
        assert request.moves_until is not None
        is_known, _ = self._current_claim(now, request)
        if not is_known and now < request.moves_until:
            request.sent_at = now
            return None
        self._close(request.token)
        return self._move(now, request)

    def _move(self, now: float, request: _OpenRequest) -> Placement | None:
        """Queues a closed request with the present coordinator of its group, if it is another."""
        is_known, claim = self._current_claim(now, request)
        is_same = claim is not None and claim == request.claim
        if not is_known or is_same or request.moves >= MAX_MOVES:
            return self._local.fall_back(now, request.search.request)
        moved = _OpenRequest(
            request.search,
            request.terms,
            request.group,
            claim,
            next(self._numbers),
            may_queue=True,
            is_plain=self._is_plain(claim),
            begun_at=now,
            sent_at=now,
            moves=request.moves + 1,
        )
        is_waiting, placement = self._start(now, moved)
        if is_waiting or placement is not None:
            return placement
        return self._local.fall_back(now, request.search.request)

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        return min((request.due_at for request in self._open.values()), default=float("inf"))

    def on_timer(self, now: float) -> list[PlacementResult]:
        """Handles the answers of this daemon's own queues, overdue answers, and repetitions."""
        results: list[PlacementResult] = []
        for answer in self._queues.take_own_answers():
            results += self.on_answer(now, answer)
        for request in [r for r in self._open.values() if now >= r.due_at]:
            if request.moves_until is not None:
                placement = self._await_next_coordinator(now, request)
            elif request.is_answered:
                placement = self._repeat(now, request)
            else:
                placement = self._on_overdue(now, request)
            results += self._result(request, placement)
        return results

    def _repeat(self, now: float, request: _OpenRequest) -> Placement | None:
        """Sends a queued request again, or moves it to the present coordinator of its group."""
        is_known, claim = self._current_claim(now, request)
        request.repeats += 1
        if is_known and (claim is None) == (request.claim is None):
            if claim is None:
                return self._repeat_own(now, request)
            if request.claim is not None and claim.daemon == request.claim.daemon:
                request.claim = claim
                self._send(now, request)
                return None
        self._close(request.token)
        self._leave_queue(now, request)
        return self._move(now, request)

    def _repeat_own(self, now: float, request: _OpenRequest) -> Placement | None:
        request.sent_at = now
        excluded = self._excluded(now, request)
        if self._queues.confirm_own(now, request.group.name, request.number, excluded):
            return None
        self._close(request.token)
        return self._local.fall_back(now, request.search.request)

    def _on_overdue(self, now: float, request: _OpenRequest) -> Placement:
        """Decides alone, because the newest message was not answered in time."""
        self._claims.on_reply_timeout(now, request.group.name)
        is_suspected = self._claims.coordinator(now, request.group.name) is None
        if request.claim is not None and is_suspected:
            self._queueing.forget(request.claim.daemon)
        event = "queue not confirmed" if request.is_logged else "slot request not answered"
        self._log(event, request, waited_ms=milliseconds(REPLY_TIMEOUT_SECONDS))
        self._close(request.token)
        self._leave_queue(now, request)
        return self._local.fall_back(now, request.search.request)

    # Logging.

    def _log_queued(self, request: _OpenRequest, answer: SlotQueued) -> None:
        """Logs the first place of a request in a queue; repetitions are not logged."""
        if request.is_logged:
            return
        request.is_logged = True
        terms = request.terms
        self._log(
            "slot request queued",
            request,
            reason="no slot is free in any group that was tried",
            position=answer.position,
            wait_ms=answer.wait_ms,
            priority=terms.priority,
            is_returned=terms.is_returned,
            is_late=terms.objective_at < request.begun_at,
            expires_ms=milliseconds(max(0.0, terms.expires_at - request.begun_at)),
        )

    def _log(self, event: str, request: _OpenRequest, **fields: object) -> None:
        coordinator = request.claim.daemon if request.claim is not None else self._identity.name
        common: dict[str, object] = {
            "request_id": request.terms.request_id,
            "group": request.group.name,
            "coordinator": coordinator,
            "number": request.number,
            "flow": request.terms.share,
        }
        self._emit(LogLine(event, {**common, **fields}))


def _wait_ms(seconds: float) -> int:
    return min(milliseconds(seconds), MAX_WAIT_MS)
