"""A simulated engine: the shared timing model on the virtual clock, with faults."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.common import Address
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.decisions.events import EngineLoad, Machine
from troutswitch.standalone.simulation.clock import VirtualClock
from troutswitch.standalone.simulation.network import Network
from troutswitch.standalone.simulation.observer import Observer
from troutswitch.standalone.standins.engine_model import EngineModel, EngineSpec, Sequence

LOAD_LAG_SECONDS = 0.2
LOAD_SAMPLE_SECONDS = 0.1
PREFIX_SHARE = 0.5
"""Share of a prompt that is common to all prompts of its prefix."""
WAIT_CHECK_SECONDS = 0.1
"""Interval between checks of a waiting online sequence: five to six engine steps."""
CONNECT_SECONDS = 1.0
"""Time after which a call to an unreachable engine fails."""


@dataclass(frozen=True)
class StreamEnd:
    """How a stream ended for its reader; `generated` is the tokens generated so far."""

    kind: AttemptOutcome
    generated: int
    leaving: bool = False
    reason: str = ""


@dataclass
class OpenStream:
    """One open stream and its reader."""

    sequence: Sequence
    reader_zone: str
    on_first_token: Callable[[bool], None]
    on_end: Callable[[StreamEnd], None]
    work: str
    is_ended: bool = False


class SimulatedEngine:
    """One engine machine; it may fail and restart as a new incarnation."""

    def __init__(
        self,
        name: str,
        zone: str,
        service: str,
        address: Address,
        spec: EngineSpec,
        clock: VirtualClock,
        network: Network,
        observer: Observer,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.address = address
        self.is_alive = True
        self.leaving_since = float("inf")
        self.start_count = 1
        self.model = EngineModel(spec)
        self.model.time = clock.now()
        self.finished_models: list[EngineModel] = []
        self._spec = spec
        self._clock = clock
        self._network = network
        self._observer = observer
        self._rng = rng
        self._streams: dict[str, OpenStream] = {}
        self._next_wake_at = float("inf")
        self._loads: deque[tuple[float, EngineLoad]] = deque()
        self._sample()

    @property
    def incarnation(self) -> str:
        """Name of the engine's current incarnation."""
        return f"{self.name}-{self.start_count}"

    @property
    def is_leaving(self) -> bool:
        """Whether the engine reports that it is leaving."""
        return self._clock.now() >= self.leaving_since

    def machine(self) -> Machine:
        """Returns the engine's row of the machine list."""
        return Machine(self.name, "engine", self.address, self.zone, self.service, self.incarnation)

    # Load.

    def _sample(self) -> None:
        now = self._clock.now()
        self._loads.append((now, self._load_now()))
        while len(self._loads) > 1 and self._loads[1][0] <= now - LOAD_LAG_SECONDS:
            self._loads.popleft()
        self._clock.call_later(LOAD_SAMPLE_SECONDS, self._sample)

    def _load_now(self) -> EngineLoad:
        self.model.advance(self._clock.now())
        counts = self.model.counts()
        return EngineLoad(self.incarnation, self._spec.slots, *counts, self.is_leaving)

    def poll(self, zone: str, answer: Callable[[EngineLoad | None], None]) -> None:
        """Passes the engine's load report, which lags, to `answer`; None if unreachable."""
        if not self.is_alive or not self._network.is_connected(zone, self.zone):
            self._clock.call_later(CONNECT_SECONDS, lambda: answer(None))
            return
        delay = 2 * self._network.latency(zone, self.zone)
        load = self._loads[0][1]
        if self.is_leaving or load.incarnation != self.incarnation:
            load = self._load_now()
        self._clock.call_later(delay, lambda: answer(load))

    # Streams.

    def submit(
        self,
        zone: str,
        stream_id: str,
        work: str,
        incarnation: str,
        priority: int,
        prompt_tokens: int,
        max_tokens: int,
        prefix: str,
        position: int,
        on_first_token: Callable[[bool], None],
        on_end: Callable[[StreamEnd], None],
    ) -> None:
        """Receives a request from a daemon in `zone`; `work` is the id of the request or item."""
        if not self.is_alive or not self._network.is_connected(zone, self.zone):
            end = StreamEnd(AttemptOutcome.UNREACHABLE, position, reason="no connection")
            self._clock.call_later(CONNECT_SECONDS, lambda: on_end(end))
            return

        def arrive() -> None:
            if not self.is_alive:
                on_end(StreamEnd(AttemptOutcome.CUT, position, reason="engine died"))
                return
            self._admit(
                zone, stream_id, work, priority, prompt_tokens, max_tokens, prefix, position,
                on_first_token, on_end,
            )  # fmt: skip

        self._clock.call_later(self._network.latency(zone, self.zone), arrive)

    def _admit(
        self,
        zone: str,
        stream_id: str,
        work: str,
        priority: int,
        prompt_tokens: int,
        max_tokens: int,
        prefix: str,
        position: int,
        on_first_token: Callable[[bool], None],
        on_end: Callable[[StreamEnd], None],
    ) -> None:
        now = self._clock.now()
        self._observer.on_work_sent(now, self.name, self.leaving_since, work)
        prefix_tokens = int(prompt_tokens * PREFIX_SHARE)
        sequence = self.model.submit(
            now, stream_id, priority, prompt_tokens, max_tokens, prefix, prefix_tokens, position
        )
        if sequence is None:
            on_end(StreamEnd(AttemptOutcome.REFUSED, position, self.is_leaving, "queue full"))
            return
        self._observer.on_run(work, stream_id)
        if sequence.is_online:
            self._watch_wait(now, sequence)
        self._streams[stream_id] = OpenStream(sequence, zone, on_first_token, on_end, work)
        self._advance_and_report()

    def _watch_wait(self, taken_at: float, sequence: Sequence) -> None:
        """Reports an online sequence that waits while batch items occupy slots."""

        def check() -> None:
            _, running_batch, _, _ = self.model.counts()
            is_waiting = sequence.started_at == float("inf")
            if self.is_alive and is_waiting and sequence.stream_id in self.model.sequences:
                if running_batch:
                    waited = self._clock.now() - taken_at
                    self._observer.on_wait_behind_batch(waited, running_batch)
                self._clock.call_later(WAIT_CHECK_SECONDS, check)

        self._clock.call_later(WAIT_CHECK_SECONDS, check)

    def cancel(self, zone: str, stream_id: str) -> None:
        """Cancels a stream."""
        if not self.is_alive or not self._network.is_connected(zone, self.zone):
            return
        self._clock.call_later(
            self._network.latency(zone, self.zone), lambda: self._cancel(stream_id)
        )

    def _cancel(self, stream_id: str) -> None:
        if not self.is_alive:
            return
        self.model.cancel(self._clock.now(), stream_id)
        self._advance_and_report()
        stream = self._streams.get(stream_id)
        if stream is not None:
            self._end(stream_id, stream, AttemptOutcome.CANCELLED, "cancelled")

    def _advance_and_report(self) -> None:
        """Advances the model, reports changed sequences and schedules the next change."""
        now = self._clock.now()
        self.model.advance(now)
        for sequence in self.model.take_changed():
            self._report(sequence)
        due = self.model.next_change()
        if due < self._next_wake_at:
            self._next_wake_at = due
            self._clock.call_at(due, lambda: self._wake(due))

    def _wake(self, due: float) -> None:
        if self._next_wake_at == due:
            self._next_wake_at = float("inf")
        self._advance_and_report()

    def _report(self, sequence: Sequence) -> None:
        stream = self._streams.get(sequence.stream_id)
        if stream is None:
            return
        if sequence.is_finished:
            at = sequence.finished_at
            self.model.forget(sequence.stream_id)
            self._clock.call_at(
                at + self._network.latency(self.zone, stream.reader_zone),
                lambda: self._finish(sequence.stream_id, stream),
            )
        elif stream.sequence.first_token_at <= sequence.first_token_at:
            delay = self._network.latency(self.zone, stream.reader_zone)
            self._clock.call_at(
                sequence.first_token_at + delay, lambda: self._deliver_first_token(stream)
            )

    def _deliver_first_token(self, stream: OpenStream) -> None:
        if not stream.is_ended:
            stream.on_first_token(self.is_leaving)

    def _finish(self, stream_id: str, stream: OpenStream) -> None:
        if not stream.is_ended and not self._network.is_connected(self.zone, stream.reader_zone):
            self._end(stream_id, stream, AttemptOutcome.CUT, "zone cut")
            return
        self._end(stream_id, stream, AttemptOutcome.COMPLETED, "")

    def _end(self, stream_id: str, stream: OpenStream, kind: AttemptOutcome, reason: str) -> None:
        if stream.is_ended:
            return
        stream.is_ended = True
        if self._streams.get(stream_id) is stream:
            del self._streams[stream_id]
        generated = stream.sequence.generated
        stream.on_end(StreamEnd(kind, generated, self.is_leaving, reason))

    # Faults.

    def cut_streams(self, share: float) -> None:
        """Breaks the connections of a share of the open streams; the engine keeps running."""
        self.model.advance(self._clock.now())
        for stream_id, stream in list(self._streams.items()):
            if self._rng.random() < share:
                self._end(stream_id, stream, AttemptOutcome.CUT, "connection cut")

    def cut_zone(self, zone: str) -> None:
        """Breaks the connections of streams whose readers are in a zone."""
        self.model.advance(self._clock.now())
        for stream_id, stream in list(self._streams.items()):
            if stream.reader_zone == zone:
                self._end(stream_id, stream, AttemptOutcome.CUT, "zone cut")

    def drop_reader(self, stream_id: str) -> None:
        """Drops the reader of a stream: its end is no longer reported."""
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.is_ended = True

    def fail(self) -> None:
        """Fails the machine and cuts all its streams."""
        self.model.advance(self._clock.now())
        self.is_alive = False
        for stream_id, stream in list(self._streams.items()):
            self._end(stream_id, stream, AttemptOutcome.CUT, "engine died")
        self._streams.clear()

    def restart(self) -> None:
        """Restarts the machine with an empty model, as a new incarnation."""
        if self.is_alive:
            self.fail()
        self.finished_models.append(self.model)
        self.model = EngineModel(self._spec)
        self.model.time = self._clock.now()
        self.start_count += 1
        self.is_alive = True
        self.leaving_since = float("inf")
        self._loads.clear()
        self._loads.append((self._clock.now(), self._load_now()))
        self._next_wake_at = float("inf")

    def start_leaving(self) -> None:
        """Starts reporting that the engine is leaving; it still accepts requests."""
        self.leaving_since = self._clock.now()
