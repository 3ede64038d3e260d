"""Serves the queues of requests for slots of the groups that this daemon coordinates.

    (new)   -> granted   a slot is free, and no request with a better claim waits for it
    (new)   -> QUEUED    no slot is free, and the request may queue
    (new)   -> denied    it may not queue, or can't be served before it expires
    QUEUED  -> granted   a slot became free, and the request is the first that can use it
    QUEUED  -> denied    it can't be served before it expires, or is beyond the queue's bound
    QUEUED  -> dropped   it was withdrawn, or its daemon repeats it no longer

A slot counts as free if one is expected within `SHORT_WAIT_SECONDS`. The queue is served after
each change of the counts and, while requests wait, every `SERVE_SECONDS`. `slot_queue.py` decides
the order, `slot_choice.py` the engine, `return_times.py` when refused callers return.

A request and its answer are datagrams, which may be lost, doubled or late. A repeated number stands
for the same request: it is confirmed while queued, and gets the same answer for `ANSWER_SECONDS`
after it left the queue. A withdrawn number is ignored for that time.

`QueueCoordinator` owns the queues. Requests of this daemon itself are in them too, with `SELF` as
holder; their answers are the same messages, which are not sent but collected (`take_own_answers`).
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import (
    NO_ENGINE,
    QueuedSlotRequest,
    SlotDenied,
    SlotQueued,
    SlotReply,
    SlotRequestWithdrawn,
    engine_key,
)
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.log_events import milliseconds
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.slots.batch_slots import SELF
from troutswitch.decisions.slots.coordinator import SlotCoordinator
from troutswitch.decisions.slots.group_search import SHORT_WAIT_SECONDS
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.messages import SendToPeers, SlotInstruction
from troutswitch.decisions.slots.return_times import ReturnTimes
from troutswitch.decisions.slots.slot_choice import SlotDecision, SlotQuery
from troutswitch.decisions.slots.slot_queue import (
    LATE_ANYWAY,
    QUEUE_SLOT_MULTIPLE,
    EntryKey,
    QueueEntry,
    SlotQueue,
)

SERVE_SECONDS = 0.02
"""Interval at which a queue is served without a change of the counts: `SHORT_WAIT_SECONDS`, within
which a slot counts as free before it is."""
CHECK_SECONDS = 0.05
"""Interval between checks for requests that can't be served or are no longer repeated: a part of
the time of a first event, so that a caller is refused as good as at once."""
RATE_SECONDS = 0.1
"""Time for which the rate of free slots is used before the group's engines are summed again."""
ANSWER_SECONDS = 1.0
"""Time for which the last answer to a request is kept: two intervals of its repetitions."""
EXPIRES_FIRST = "its slot is expected after it expires"
BEYOND_BOUND = "the queue is beyond its bound"
NO_ENGINE_LEFT = "the group has no engine that it can use"
NO_SLOT_NOW = "no slot is free, and it may not queue"
"""Reasons of denials, for log lines."""

QueueAnswer = SlotReply | SlotQueued | SlotDenied


@dataclass(frozen=True, slots=True)
class _LastAnswer:
    """The answer that ended a request; None if it was withdrawn."""

    at: float
    message: SlotReply | SlotDenied | None


@dataclass(frozen=True, slots=True)
class _GroupRate:
    """How fast a group frees slots, if all are taken. Times are seconds."""

    slots: int
    slot_time: float

    @property
    def interval(self) -> float:
        """Mean time between two slots that become free."""
        return self.slot_time / self.slots if self.slots else self.slot_time


@dataclass(slots=True)
class _GroupQueue:
    """The queue of one group, and what was answered to requests that left it."""

    group: Group
    queue: SlotQueue = field(default_factory=SlotQueue)
    returns: ReturnTimes = field(default_factory=ReturnTimes)
    answers: OrderedDict[EntryKey, _LastAnswer] = field(default_factory=OrderedDict)
    own_granted: bool = False
    """Whether a request of this daemon was granted a slot that is not counted yet."""
    rate: _GroupRate | None = None
    rate_at: float = float("-inf")
    next_slot_at: float = float("-inf")
    """When a slot is expected to be free, by the last search that found none."""
    served_at: float = float("-inf")
    served_changes: int = -1
    checked_at: float = float("-inf")

    def remember(self, now: float, key: EntryKey, message: SlotReply | SlotDenied | None) -> None:
        """Keeps the answer that ended a request, and drops old ones."""
        self.answers.pop(key, None)
        self.answers[key] = _LastAnswer(now, message)
        while self.answers:
            oldest = next(iter(self.answers))
            if now - self.answers[oldest].at <= ANSWER_SECONDS:
                break
            del self.answers[oldest]

    def last_answer(self, now: float, key: EntryKey) -> _LastAnswer | None:
        """Returns the answer that ended a request, unless it is too old."""
        answer = self.answers.get(key)
        return answer if answer is not None and now - answer.at <= ANSWER_SECONDS else None


class QueueCoordinator:
    """Queues requests for slots of the groups that this daemon coordinates."""

    def __init__(
        self,
        identity: DaemonIdentity,
        groups: EngineGroups,
        engines: EngineRegistry,
        ledger: SlotLedger,
        coordinator: SlotCoordinator,
        times: RunTimes,
    ) -> None:
        self._identity = identity
        self._groups = groups
        self._engines = engines
        self._ledger = ledger
        self._coordinator = coordinator
        self._times = times
        self._queues: dict[str, _GroupQueue] = {}
        self._report_changes = 0
        """Number of reports of peers, after each of which the queues are served."""
        self._output: list[SlotInstruction] = []
        self._own_answers: list[SlotReply | SlotDenied] = []

    # Requests of peers.

    def on_report(self) -> None:
        """Handles a peer's report, which may have freed slots."""
        self._report_changes += 1

    def on_request(self, now: float, request: QueuedSlotRequest) -> list[SlotInstruction]:
        """Answers a peer's request, after the ledger has applied the report in it."""
        report = request.report
        key = EntryKey(report.sender, report.incarnation, request.number)
        if not self._coordinator.coordinates(request.group):
            self._send(key, self._not_coordinator(request.number, request.group))
            return self._take_output()
        answer = self.request(now, request.group, _entry(now, key, request), request.may_queue)
        if answer is not None:
            self._send(key, answer)
        return self._take_output()

    def on_withdrawn(self, now: float, message: SlotRequestWithdrawn) -> None:
        """Removes a peer's request, which needs no slot any more."""
        key = EntryKey(message.sender, message.incarnation, message.number)
        self._withdraw(now, message.group, key)

    # Requests of this daemon.

    def request_own(
        self, now: float, group: str, entry: QueueEntry, *, may_queue: bool
    ) -> QueueAnswer | None:
        """Answers a request of this daemon; the group must be coordinated here."""
        answer = self.request(now, group, entry, may_queue)
        own = [a for a in self._own_answers if a.number == entry.key.number]
        if not own:
            return answer
        self._own_answers = [a for a in self._own_answers if a.number != entry.key.number]
        if own[0].group in self._queues:
            self._queues[own[0].group].own_granted = False  # the caller sends the request at once
        return own[0]

    def own_key(self, number: int) -> EntryKey:
        """Returns the key of a request of this daemon."""
        return EntryKey(SELF, self._identity.incarnation, number)

    def confirm_own(self, now: float, group: str, number: int, excluded: frozenset[int]) -> bool:
        """Confirms a request of this daemon; returns False if it is no longer queued."""
        state, key = self._queues.get(group), self.own_key(number)
        if state is None or not state.queue.confirm(now, key, excluded):
            return False
        self._deny_without_engine(now, state, key)  # its answer is collected like others
        return True

    def withdraw_own(self, now: float, group: str, number: int) -> None:
        """Removes a request of this daemon, which needs no slot any more."""
        self._withdraw(now, group, self.own_key(number))
        self._own_answers = [a for a in self._own_answers if a.number != number]

    def take_own_answers(self) -> list[SlotReply | SlotDenied]:
        """Returns and forgets the answers that ended requests of this daemon."""
        answers, self._own_answers = self._own_answers, []
        for state in self._queues.values():
            state.own_granted = False
        return answers

    # Queueing.

    def request(
        self, now: float, group: str, entry: QueueEntry, may_queue: bool
    ) -> QueueAnswer | None:
        """Grants, queues or denies a request.

        Returns the answer, or None if a grant or a denial was given to `_answer` already, or if the
        request was withdrawn before it came.
        """
        state = self._state(group)
        if state is None:
            return self._not_coordinator(entry.key.number, group)
        if state.queue.confirm(now, entry.key, entry.excluded):
            self._serve(now, state)
            self._deny_without_engine(now, state, entry.key)
            return self._queued(now, state, entry.key)
        last = state.last_answer(now, entry.key)
        if last is not None:
            return last.message
        for former in state.queue.of_former_incarnations(entry.key):
            state.queue.remove(former.key)
        state.queue.slots = self._rate(now, state).slots
        state.queue.add(entry)
        self._serve(now, state)
        if entry.key in state.queue.entries:
            self._queue_or_deny(now, state, entry, may_queue)
        return self._queued(now, state, entry.key)

    def _queue_or_deny(
        self, now: float, state: _GroupQueue, entry: QueueEntry, may_queue: bool
    ) -> None:
        if self._deny_without_engine(now, state, entry.key):
            return
        rate = self._rate(now, state)
        if not may_queue:
            wait = self._wait(now, state, state.queue.position(now, entry.key))
            self._deny(now, state, entry, wait, NO_SLOT_NOW, is_final=False)
            return
        for last in state.queue.beyond(now, QUEUE_SLOT_MULTIPLE * rate.slots):
            wait = self._wait(now, state, len(state.queue))
            self._deny(now, state, last, wait, BEYOND_BOUND)
        if entry.key in state.queue.entries:
            wait = self._wait(now, state, state.queue.position(now, entry.key))
            if now + wait > entry.expires_at:
                self._deny(now, state, entry, wait, EXPIRES_FIRST)

    def _deny_without_engine(self, now: float, state: _GroupQueue, key: EntryKey) -> bool:
        """Denies a queued request that can use no engine of the group; returns whether it did.

        The denial is not final: its daemon tries other groups, or decides alone.
        """
        entry = state.queue.entries.get(key)
        if entry is None:
            return False
        engines = self._coordinator.engines_of(state.group.name)
        if any(engine_key(e.record.engine_id) not in entry.excluded for e in engines):
            return False
        self._deny(now, state, entry, 0.0, NO_ENGINE_LEFT, is_final=False)
        return True

    def _queued(self, now: float, state: _GroupQueue, key: EntryKey) -> SlotQueued | None:
        """Returns the confirmation of a request, or None if it is not in the queue."""
        if key not in state.queue.entries:
            return None
        position = state.queue.position(now, key)
        wait = self._wait(now, state, position)
        name, incarnation = self._identity.name, self._identity.incarnation
        group = state.group.name
        return SlotQueued(name, incarnation, key.number, group, position, milliseconds(wait))

    def _withdraw(self, now: float, group: str, key: EntryKey) -> None:
        state = self._queues.get(group)
        if state is None:
            return
        was_queued = state.queue.remove(key) is not None
        if was_queued or key not in state.answers:
            state.remember(now, key, None)

    def _state(self, group: str) -> _GroupQueue | None:
        state = self._queues.get(group)
        known = self._groups.named(group)
        if known is None or not self._coordinator.coordinates(group):
            return None
        if state is None:
            state = self._queues[group] = _GroupQueue(known)
        return state

    def _rate(self, now: float, state: _GroupQueue) -> _GroupRate:
        if state.rate is None or now >= state.rate_at + RATE_SECONDS:
            engines = self._coordinator.engines_of(state.group.name)
            usable = [e for e in engines if now >= e.ejected_until] or engines
            slots = sum(engine.slots for engine in usable)
            state.rate = _GroupRate(slots, self._times.of(state.group.service).slot_time)
            state.rate_at = now
        return state.rate

    def _wait(self, now: float, state: _GroupQueue, position: int) -> float:
        """Returns the expected wait at a position, in seconds.

        The mean interval alone would be too short for the first ones if all slots were taken
        together, as they become free together.
        """
        return max(state.next_slot_at - now, position * self._rate(now, state).interval)

    # Serving.

    def _serve(self, now: float, state: _GroupQueue) -> None:
        """Grants the free slots to the first requests that can use them.

        Stops after a grant to this daemon, whose request is counted when it is sent.
        """
        state.served_at, state.served_changes = now, self._changes
        state.next_slot_at = float("-inf")
        while state.queue.entries and not state.own_granted:
            chosen = state.queue.choose(now, lambda entry: self._free_slot(now, state, entry))
            if chosen is None:
                return
            self._grant(now, state, *chosen)

    @property
    def _changes(self) -> int:
        return self._report_changes + self._engines.own_changes

    def _free_slot(self, now: float, state: _GroupQueue, entry: QueueEntry) -> SlotDecision | None:
        query = SlotQuery(
            state.group, entry.zone, SHORT_WAIT_SECONDS, entry.excluded, entry.connected
        )
        decision = self._coordinator.decide(now, query)
        if decision.engine is not None:
            return decision
        if state.next_slot_at < now and decision.estimate.slots:
            state.next_slot_at = now + decision.estimate.wait
        return None

    def _grant(
        self, now: float, state: _GroupQueue, entry: QueueEntry, decision: SlotDecision
    ) -> None:
        engine = decision.engine
        assert engine is not None
        state.queue.grant(entry.key, engine.time_factor(now))
        holder, number = entry.key.holder, 0
        if holder == SELF:
            state.own_granted = True
            instructions = self._coordinator.preempt_for_own_request(now, engine)
        elif holder in self._ledger.holders:
            number, instructions = self._coordinator.grant_slot(
                now, holder, engine, entry.prefill_units
            )
        else:
            return  # the ledger has forgotten the silent holder
        estimate = decision.estimate
        reply = SlotReply(
            self._identity.name,
            self._identity.incarnation,
            entry.key.number,
            state.group.name,
            number,
            engine_key(engine.record.engine_id),
            milliseconds(estimate.wait),
            estimate.queued,
            estimate.slots,
        )
        self._end(now, state, entry.key, reply)
        self._output += instructions

    def _deny(
        self,
        now: float,
        state: _GroupQueue,
        entry: QueueEntry,
        wait: float,
        reason: str,
        *,
        is_final: bool = True,
    ) -> None:
        """Removes a request from the queue, and states when its caller should return."""
        queued, rate = len(state.queue), self._rate(now, state)
        state.queue.remove(entry.key)
        retry_after = 0.0
        if is_final:
            flows = {(e.priority, e.flow) for e in state.queue.entries.values()}
            retry_after = state.returns.next(
                now,
                entry.flow,
                queue_wait=self._wait(now, state, len(state.queue)),
                interval=rate.interval,
                flows=max(1, len(flows)),
            )
            self._log_denial(now, state, entry, wait, reason, retry_after)
        denied = SlotDenied(
            self._identity.name,
            self._identity.incarnation,
            entry.key.number,
            state.group.name,
            milliseconds(wait),
            queued,
            0 if reason == NO_ENGINE_LEFT else rate.slots,
            milliseconds(retry_after),
            is_final,
        )
        self._end(now, state, entry.key, denied)

    def _log_denial(
        self,
        now: float,
        state: _GroupQueue,
        entry: QueueEntry,
        wait: float,
        reason: str,
        retry_after: float,
    ) -> None:
        rate = self._rate(now, state)
        fields: dict[str, object] = {
            "group": state.group.name,
            "peer": entry.key.holder or self._identity.name,
            "number": entry.key.number,
            "reason": reason,
            "flow": entry.flow,
            "priority": entry.priority,
            "is_returned": entry.is_returned,
            "queued_ms": milliseconds(now - entry.arrived_at),
            "wait_ms": milliseconds(wait),
            "expires_ms": milliseconds(max(0.0, entry.expires_at - now)),
            "queued": len(state.queue),
            "slots": rate.slots,
            "slot_time_ms": milliseconds(rate.slot_time),
            "retry_after_ms": milliseconds(retry_after),
        }
        self._output.append(LogLine("queued request denied", fields))

    def _end(
        self, now: float, state: _GroupQueue, key: EntryKey, message: SlotReply | SlotDenied
    ) -> None:
        """Gives the answer that ends a request."""
        if key.holder == SELF:
            self._own_answers.append(message)
            return
        state.remember(now, key, message)
        self._send(key, message)

    def _send(self, key: EntryKey, message: QueueAnswer) -> None:
        holder = self._ledger.holders.get(key.holder)
        if holder is not None:
            self._output.append(SendToPeers((holder.address,), message))

    def _not_coordinator(self, number: int, group: str) -> SlotReply:
        name, incarnation = self._identity.name, self._identity.incarnation
        return SlotReply(
            name, incarnation, number, group, 0, NO_ENGINE, 0, 0, 0, is_coordinator=False
        )

    def _take_output(self) -> list[SlotInstruction]:
        output, self._output = self._output, []
        return output

    # Coordinated groups.

    def stop_coordinating(self, group: str) -> None:
        """Tells all requests in a group's queue that this daemon no longer coordinates it."""
        state = self._queues.pop(group, None)
        for entry in state.queue.clear() if state is not None else []:
            reply = self._not_coordinator(entry.key.number, group)
            if entry.key.holder == SELF:
                self._own_answers.append(reply)
            else:
                self._send(entry.key, reply)

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        if self._own_answers or self._output:
            return float("-inf")
        waiting = [state for state in self._queues.values() if state.queue.entries]
        if any(state.served_changes != self._changes for state in waiting):
            return float("-inf")
        return min((state.served_at + SERVE_SECONDS for state in waiting), default=float("inf"))

    def on_timer(self, now: float) -> list[SlotInstruction]:
        """Serves the queues whose counts changed, and ends requests that can't be served."""
        for state in self._queues.values():
            if not state.queue.entries:
                continue
            is_due = now >= state.served_at + SERVE_SECONDS
            if is_due or state.served_changes != self._changes:
                self._serve(now, state)
            if now >= state.checked_at + CHECK_SECONDS:
                state.checked_at = now
                self._check(now, state)
        return self._take_output()

    def _check(self, now: float, state: _GroupQueue) -> None:
        """Drops the requests that are no longer repeated; denies those that can't be served."""
        for entry in state.queue.silent(now):
            state.queue.remove(entry.key)
        interval = self._rate(now, state).interval
        next_slot = state.next_slot_at - now
        for entry, wait in state.queue.unservable(now, interval, next_slot):
            self._deny(now, state, entry, wait, EXPIRES_FIRST)
        state.queue.validate()


def _entry(now: float, key: EntryKey, request: QueuedSlotRequest) -> QueueEntry:
    """Returns the entry of a peer's request."""
    is_late = request.max_wait_ms < 0
    return QueueEntry(
        key,
        request.share,
        request.priority,
        now,
        LATE_ANYWAY if is_late else now + request.max_wait_ms / 1000,
        now + request.expires_ms / 1000,
        request.is_returned,
        request.report.zone,
        request.prefill_units,
        frozenset(request.excluded),
        frozenset(request.connected),
    )
