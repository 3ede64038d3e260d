"""A simulated daemon machine: a `DaemonCore` whose effects run on the virtual clock."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from troutswitch.common import Address
from troutswitch.outcomes import (
    AttemptOutcome,
    Cut,
    MayHaveRun,
    NotRun,
    OnlineOutcome,
)
from troutswitch.standalone.callers.parsing import estimate_tokens
from troutswitch.standalone.daemons.messages import Message
from troutswitch.standalone.decisions.daemon import DaemonCore, DaemonIdentity
from troutswitch.standalone.decisions.effects import (
    AnswerCall,
    AppendToLog,
    CallAnswer,
    CancelAttempt,
    DirectoryChanged,
    Drained,
    FinishOnline,
    LogEvent,
    PollEngine,
    ReadLog,
    ReadMachineList,
    SendDatagram,
    StartBatchAttempt,
    StartOnlineAttempt,
)
from troutswitch.standalone.decisions.events import (
    BatchAttemptEnded,
    DatagramReceived,
    DrainRequested,
    EngineLoadRead,
    Event,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    MachineListRead,
    OnlineArrived,
    OnlineAttemptEnded,
    OnlineFirstToken,
    TimerFired,
)
from troutswitch.standalone.simulation.clock import VirtualClock
from troutswitch.standalone.simulation.engine import SimulatedEngine, StreamEnd
from troutswitch.standalone.simulation.network import Network
from troutswitch.standalone.simulation.observer import Observer
from troutswitch.standalone.simulation.platform import SimulatedPlatform


@dataclass
class SimulatedRelay:
    """State of one online request: its current attempt and the tokens delivered so far."""

    arrival: OnlineArrived
    on_finish: Callable[[OnlineOutcome | None], None]
    on_first_token: Callable[[], None]
    position: int = 0
    stream_id: str = ""
    engine: str = ""
    has_first_token: bool = False


@dataclass(frozen=True)
class SimulationContext:
    """Components that a daemon's effects act on."""

    clock: VirtualClock
    network: Network
    platform: SimulatedPlatform
    engines: dict[str, SimulatedEngine]
    observer: Observer
    rng: random.Random


class SimulatedDaemon:
    """One machine: its core, its open requests, and its faults."""

    def __init__(self, context: SimulationContext, identity: DaemonIdentity) -> None:
        self.core = DaemonCore(identity)
        self.name = identity.name
        self.zone = identity.zone
        self.started_at = context.clock.now()
        self.is_alive = True
        self.is_paused = False
        self.resumed_at = context.clock.now()
        self.on_gone: Callable[[SimulatedDaemon], None] = lambda daemon: None
        self.on_answered: Callable[[SimulatedDaemon, CallAnswer], None] = lambda daemon, answer: (
            None
        )
        self._context = context
        self._clock = context.clock
        self._deferred_events: deque[Event] = deque()
        self._relays: dict[str, SimulatedRelay] = {}
        self._calls: dict[str, Callable[[CallAnswer | None], None]] = {}
        self._batch_streams: dict[str, str] = {}
        self._timer_at = float("inf")
        self._handlers: dict[type, Callable[[Any], None]] = {
            AppendToLog: self._append,
            ReadLog: self._read,
            SendDatagram: self._send,
            ReadMachineList: self._read_machines,
            PollEngine: self._poll,
            StartOnlineAttempt: self._start_online,
            FinishOnline: self._finish_online,
            StartBatchAttempt: self._start_batch,
            CancelAttempt: self._cancel,
            AnswerCall: self._answer,
            LogEvent: lambda effect: None,
            DirectoryChanged: lambda effect: None,
            Drained: lambda effect: self._end_drain(),
        }
        context.network.attach(identity.address, identity.zone, self._receive)
        self.post(TimerFired())

    # Events.

    def post(self, event: Event) -> None:
        """Passes an event to the core, or defers it while the machine is paused."""
        if not self.is_alive:
            return
        if self.is_paused:
            self._deferred_events.append(event)
            return
        try:
            effects = self.core.step(self._clock.now(), event)
        except Exception as error:
            # Any exception, such as a broken invariant, also ends the real daemon's loop.
            self._context.observer.record_violation(f"loop of {self.name} failed: {error!r}")
            self.kill()
            return
        for effect in effects:
            if self.is_alive:
                self._handlers[type(effect)](effect)
        self._set_timer()

    def _set_timer(self) -> None:
        due = self.core.next_due()
        if self.is_alive and due < self._timer_at:
            self._timer_at = due
            self._clock.call_at(due, lambda: self._on_timer(due))

    def _on_timer(self, due: float) -> None:
        if self._timer_at == due:
            self._timer_at = float("inf")
        if not self.is_alive or self.is_paused:
            return
        if self.core.next_due() <= self._clock.now():
            self.post(TimerFired())
        else:
            self._set_timer()

    def _receive(self, sender: Address, message: Message) -> None:
        self.post(DatagramReceived(sender, message))

    # Callers.

    def send_online(
        self,
        arrival: OnlineArrived,
        on_first_token: Callable[[], None],
        on_finish: Callable[[OnlineOutcome | None], None],
    ) -> None:
        """Submits an online request; `on_finish` gets None if the machine is lost."""
        if not self.is_alive:
            on_finish(None)
            return
        self._relays[arrival.request_id] = SimulatedRelay(arrival, on_finish, on_first_token)
        self.post(arrival)

    def call(
        self, token: str, event: Event, on_answer: Callable[[CallAnswer | None], None]
    ) -> None:
        """Posts a caller's or operator's call; `on_answer` gets None if the machine is lost."""
        if not self.is_alive:
            on_answer(None)
            return
        self._calls[token] = on_answer
        self.post(event)

    def has_fresh_replicas(self, now: float) -> bool:
        """Returns whether all shard replicas were read within the last two seconds."""
        replicas = self.core.ownership.replicas.values()
        return all(now - replica.fresh_as_of < 2.0 for replica in replicas)

    # Faults.

    def kill(self) -> None:
        """Loses the machine: its callers' connections break."""
        if not self.is_alive:
            return
        self._detach()
        for stream_id, engine in self._batch_streams.items():
            self._context.engines[engine].drop_reader(stream_id)
        for relay in list(self._relays.values()):
            if relay.engine:
                self._context.engines[relay.engine].drop_reader(relay.stream_id)
            relay.on_finish(None)
        for on_answer in list(self._calls.values()):
            on_answer(None)

    def _end_drain(self) -> None:
        self._context.observer.on_drained(self.name, len(self._relays))
        self.kill()

    def _detach(self) -> None:
        self.is_alive = False
        self._context.network.detach(self.core.identity.address)
        self.on_gone(self)

    def pause(self) -> None:
        """Pauses the machine; events that arrive meanwhile are deferred."""
        self.is_paused = True

    def resume(self) -> None:
        """Resumes the machine and processes the deferred events."""
        if not self.is_paused:
            return
        self.is_paused = False
        self.resumed_at = self._clock.now()
        while self._deferred_events and self.is_alive and not self.is_paused:
            self.post(self._deferred_events.popleft())
        self._timer_at = float("inf")
        self.post(TimerFired())

    def drain(self) -> None:
        """Starts a planned stop."""
        self.post(DrainRequested())

    # Effects.

    def _append(self, effect: AppendToLog) -> None:
        def answer(offset: int | None) -> None:
            if offset is None:
                self.post(LogAppendFailed(effect.stream, "no answer"))
            else:
                self.post(LogAppended(effect.stream, offset))

        self._context.platform.append(self.zone, effect.stream, effect.payload, answer)

    def _read(self, effect: ReadLog) -> None:
        def answer(result: tuple[int, list[bytes], int] | None) -> None:
            if result is None:
                self.post(LogReadFailed(effect.token, effect.stream, "no answer"))
            else:
                first, entries, tail = result
                self.post(LogRead(effect.token, effect.stream, first, tuple(entries), tail))

        platform = self._context.platform
        platform.read(self.zone, effect.stream, effect.offset, effect.limit, answer)

    def _send(self, effect: SendDatagram) -> None:
        self._context.network.send(
            self.zone, self.core.identity.address, effect.address, effect.message
        )

    def _read_machines(self, effect: ReadMachineList) -> None:
        self._context.platform.read_machines(
            self.zone,
            lambda machines: self.post(
                MachineListRead(tuple(machines) if machines is not None else None)
            ),
        )

    def _poll(self, effect: PollEngine) -> None:
        self._context.engines[effect.engine].poll(
            self.zone, lambda load: self.post(EngineLoadRead(effect.engine, load))
        )

    def _start_online(self, effect: StartOnlineAttempt) -> None:
        relay = self._relays[effect.request_id]
        relay.stream_id = effect.attempt_id
        relay.engine = effect.engine
        arrival = relay.arrival
        start = relay.position

        def on_first_token(leaving: bool) -> None:
            if not self.is_alive or relay.stream_id != effect.attempt_id:
                return
            if not relay.has_first_token:
                relay.has_first_token = True
                relay.on_first_token()
            self.post(OnlineFirstToken(effect.request_id, effect.attempt_id, leaving))

        def on_end(end: StreamEnd) -> None:
            self._end_online(relay, effect, start, end)

        self._context.engines[effect.engine].submit(
            self.zone, effect.attempt_id, arrival.request_id, effect.incarnation, 0,
            arrival.prompt_tokens, arrival.max_tokens, arrival.prefix, relay.position,
            on_first_token, on_end,
        )  # fmt: skip

    def _end_online(
        self, relay: SimulatedRelay, effect: StartOnlineAttempt, start: int, end: StreamEnd
    ) -> None:
        if not self.is_alive or relay.stream_id != effect.attempt_id:
            return
        self._context.observer.on_delivered(effect.request_id, start, end.generated)
        relay.position = max(relay.position, end.generated)
        self.post(
            OnlineAttemptEnded(
                effect.request_id,
                effect.attempt_id,
                end.kind,
                relay.position,
                end.reason,
                None,
                end.leaving,
            )
        )

    def _finish_online(self, effect: FinishOnline) -> None:
        relay = self._relays.pop(effect.request_id)
        outcome = effect.outcome
        if relay.has_first_token and isinstance(outcome, NotRun | MayHaveRun):
            outcome = Cut(outcome.reason, relay.position, outcome.step, outcome.peer)
        relay.on_finish(outcome)

    def _start_batch(self, effect: StartBatchAttempt) -> None:
        self._batch_streams[effect.attempt_id] = effect.engine
        self._context.observer.on_batch_dispatch(self._clock.now(), self, effect)

        def on_end(end: StreamEnd) -> None:
            if not self.is_alive:
                return
            self._batch_streams.pop(effect.attempt_id, None)
            body = f"answer to {effect.item.custom_id}"
            text = body if end.kind is AttemptOutcome.COMPLETED else end.reason
            self.post(
                BatchAttemptEnded(effect.attempt_id, end.kind, text, end.leaving, end.generated)
            )

        self._context.engines[effect.engine].submit(
            self.zone, effect.attempt_id, effect.item.custom_id, effect.incarnation,
            effect.priority, estimate_tokens(effect.item.prompt), effect.item.max_tokens,
            "", effect.position, lambda leaving: None, on_end,
        )  # fmt: skip

    def _cancel(self, effect: CancelAttempt) -> None:
        for engine in self._context.engines.values():
            if engine.address == effect.address:
                engine.cancel(self.zone, effect.attempt_id)

    def _answer(self, effect: AnswerCall) -> None:
        on_answer = self._calls.pop(effect.token, None)
        if on_answer is not None:
            on_answer(effect.answer)
        self.on_answered(self, effect.answer)
