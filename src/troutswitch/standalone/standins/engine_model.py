"""Timing model of an inference engine with continuous batching.

One engine step takes `base + sequences * decoding + prefill tokens * per token`
seconds. Each step generates one token for every decoding sequence and processes up to one
prompt chunk of the first sequence in prefill. While the set of sequences does not change, all
steps are equal, so the model advances many steps at once: a request costs a few computations
rather than one per token.

The simulation and the stand-in process use the same model.
"""

import heapq
import itertools
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

MIN_BATCH_PRIORITY = 5
"""Sequences with a priority below this count as online."""
STEP_TOLERANCE = 1e-5
"""Share of a step by which a rounded clock reading may fall short of the step's end."""


@dataclass(frozen=True)
class EngineSpec:
    """Sizes and speeds of an engine. Times are in seconds.

    Attributes:
        slots: maximum number of running sequences.
        kv_tokens: tokens of key-value memory for running sequences.
        cache_tokens: tokens of prefix cache.
        step_base: fixed time of a step.
        step_per_sequence: time added per decoding sequence.
        prefill_per_token: time added per prompt token.
        prefill_chunk: maximum number of prompt tokens in one step.
        max_queue_length: maximum number of waiting sequences; further requests are refused.
    """

    slots: int = 24
    kv_tokens: int = 120_000
    cache_tokens: int = 40_000
    step_base: float = 0.018
    step_per_sequence: float = 0.00012
    prefill_per_token: float = 0.00005
    prefill_chunk: int = 512
    max_queue_length: int = 256


@dataclass(slots=True)
class Sequence:
    """One request on the engine; `generated` counts its tokens so far."""

    stream_id: str
    priority: int
    ordinal: int
    prompt_tokens: int
    max_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    generated: int = 0
    prefill_remaining: int = -1
    started_at: float = float("inf")
    first_token_at: float = float("inf")
    finished_at: float = float("inf")

    @property
    def kv_tokens(self) -> int:
        """Tokens of key-value memory reserved for the sequence."""
        return self.prompt_tokens + self.max_tokens

    @property
    def is_online(self) -> bool:
        """Whether the sequence belongs to an online request."""
        return self.priority < MIN_BATCH_PRIORITY

    @property
    def is_finished(self) -> bool:
        """Whether all tokens are generated."""
        return self.generated >= self.max_tokens


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored in or evicted from the cache."""

    sequence: int
    prefix: str
    is_stored: bool


@dataclass
class EngineStatistics:
    """Counts since the engine's start.

    `online_gaps` counts online tokens by step time, in tenths of a millisecond.
    """

    online_gaps: Counter[int] = field(default_factory=Counter)
    online_prompt_tokens: int = 0
    online_cached_tokens: int = 0
    tokens: int = 0
    busy_slot_seconds: float = 0.0
    busy_seconds: float = 0.0


class EngineModel:
    """State of one engine at `time`, the end of its last committed step."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.time = 0.0
        self.running: list[Sequence] = []
        self.sequences: dict[str, Sequence] = {}
        self.statistics = EngineStatistics()
        self.cache_events: list[CacheEvent] = []
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._ordinals = itertools.count()
        self._kv_used = 0
        self._changed: list[Sequence] = []

    # Requests.

    def submit(
        self,
        now: float,
        stream_id: str,
        priority: int,
        prompt_tokens: int,
        max_tokens: int,
        prefix: str = "",
        prefix_tokens: int = 0,
        resume_from: int = 0,
    ) -> Sequence | None:
        """Queues a request, or returns the existing one of that id; None if the queue is full."""
        self.advance(now)
        existing = self.sequences.get(stream_id)
        if existing is not None:
            return existing
        if len(self._waiting) >= self.spec.max_queue_length:
            return None
        self._close_step(now)
        sequence = Sequence(
            stream_id,
            priority,
            next(self._ordinals),
            prompt_tokens,
            max(max_tokens, 1),
            prefix,
            prefix_tokens,
            min(resume_from, max_tokens),
        )
        self.sequences[stream_id] = sequence
        heapq.heappush(self._waiting, (priority, sequence.ordinal, sequence))
        return sequence

    def cancel(self, now: float, stream_id: str) -> bool:
        """Cancels a request; returns whether it existed and was not finished."""
        self.advance(now)
        sequence = self.sequences.pop(stream_id, None)
        if sequence is None:
            return False
        if sequence in self.running:
            self._close_step(now)
            if sequence in self.running:
                self._remove_running(sequence)
        return not sequence.is_finished

    def forget(self, stream_id: str) -> None:
        """Removes a finished request."""
        self.sequences.pop(stream_id, None)

    def counts(self) -> tuple[int, int, int, int]:
        """Returns the counts of running online, running batch, waiting online, waiting batch."""
        waiting = [s for _, _, s in self._waiting if s.stream_id in self.sequences]
        running_online = sum(1 for s in self.running if s.is_online)
        waiting_online = sum(1 for s in waiting if s.is_online)
        return (
            running_online,
            len(self.running) - running_online,
            waiting_online,
            len(waiting) - waiting_online,
        )

    # Time.

    def take_changed(self) -> list[Sequence]:
        """Returns the sequences that reached their first or last token since the last call."""
        changed, self._changed = self._changed, []
        return changed

    def next_change(self) -> float:
        """Returns when a sequence will next start or reach its first or last token."""
        if self._next_to_admit() is not None:
            return self.time
        if not self.running:
            return float("inf")
        steps, duration, _ = self._next_steps()
        return self.time + steps * duration

    def advance(self, now: float) -> None:
        """Runs all steps that end by `now`."""
        while self.time <= now:
            self._admit()
            if not self.running:
                self.time = now
                return
            steps, duration, chunk = self._next_steps()
            due_steps = min(steps, int((now - self.time) / duration + STEP_TOLERANCE))
            if due_steps <= 0:
                return
            self._run(due_steps, duration, chunk)

    def _close_step(self, now: float) -> None:
        """Completes the step in progress, so that a change takes effect with the next one."""
        if self.running and self.time < now:
            _, duration, chunk = self._next_steps()
            self._run(1, duration, chunk)

    def _next_to_admit(self) -> Sequence | None:
        """Returns the first waiting sequence if a slot and memory for it are free."""
        while self._waiting and self._waiting[0][2].stream_id not in self.sequences:
            heapq.heappop(self._waiting)
        if not self._waiting or len(self.running) >= self.spec.slots:
            return None
        sequence = self._waiting[0][2]
        fits = self._kv_used + sequence.kv_tokens <= self.spec.kv_tokens
        return sequence if fits or not self.running else None

    def _admit(self) -> None:
        while (sequence := self._next_to_admit()) is not None:
            heapq.heappop(self._waiting)
            self._kv_used += sequence.kv_tokens
            sequence.started_at = self.time
            sequence.prefill_remaining = max(
                1, self._uncached_tokens(sequence) + sequence.generated
            )
            self.running.append(sequence)

    def _first_prefilling(self) -> Sequence | None:
        candidates = [s for s in self.running if s.prefill_remaining > 0]
        return min(candidates, key=lambda s: (s.priority, s.ordinal), default=None)

    def _next_steps(self) -> tuple[int, float, int]:
        """Returns the number of equal steps ahead, the time of one, and its prompt tokens."""
        spec = self.spec
        decoding = [s for s in self.running if s.prefill_remaining == 0]
        prefilling = self._first_prefilling()
        steps = min((s.max_tokens - s.generated for s in decoding), default=1 << 30)
        chunk = 0
        if prefilling is not None:
            chunk = min(prefilling.prefill_remaining, spec.prefill_chunk)
            steps = min(steps, max(1, prefilling.prefill_remaining // spec.prefill_chunk))
        duration = (
            spec.step_base + spec.step_per_sequence * len(decoding) + spec.prefill_per_token * chunk
        )
        return max(1, steps), duration, chunk

    def _run(self, steps: int, duration: float, chunk: int) -> None:
        prefilling = self._first_prefilling()
        online = 0
        step_start = self.time
        self.time += steps * duration
        for sequence in list(self.running):
            if sequence.prefill_remaining > 0:
                continue
            online += sequence.is_online
            sequence.generated += steps
            if sequence.is_finished:
                self._finish(sequence)
        if prefilling is not None:
            prefilling.prefill_remaining -= chunk * steps
            if prefilling.prefill_remaining <= 0:
                self._end_prefill(prefilling)
        self._record_statistics(steps, duration, online, step_start)

    def _record_statistics(
        self, steps: int, duration: float, online: int, step_start: float
    ) -> None:
        statistics = self.statistics
        if online:
            statistics.online_gaps[round(duration * 10_000)] += steps * online
        statistics.busy_slot_seconds += len(self.running) * (self.time - step_start)
        statistics.busy_seconds += self.time - step_start

    def _end_prefill(self, sequence: Sequence) -> None:
        sequence.prefill_remaining = 0
        # A stream resumed after its last token has none left to generate.
        sequence.generated = min(sequence.generated + 1, sequence.max_tokens)
        sequence.first_token_at = self.time
        self._changed.append(sequence)
        if sequence.is_finished:
            self._finish(sequence)

    def _finish(self, sequence: Sequence) -> None:
        sequence.finished_at = self.time
        self.statistics.tokens += sequence.max_tokens
        self._changed.append(sequence)
        self._remove_running(sequence)

    def _remove_running(self, sequence: Sequence) -> None:
        self.running.remove(sequence)
        self._kv_used -= sequence.kv_tokens

    # Prefix cache.

    def _uncached_tokens(self, sequence: Sequence) -> int:
        cached = 0
        if sequence.prefix:
            cached = min(self._cache.get(sequence.prefix, 0), sequence.prompt_tokens)
            self._store_prefix(sequence.prefix, sequence.prefix_tokens)
        if sequence.is_online:
            self.statistics.online_prompt_tokens += sequence.prompt_tokens
            self.statistics.online_cached_tokens += cached
        return sequence.prompt_tokens - cached

    def _store_prefix(self, prefix: str, tokens: int) -> None:
        if prefix not in self._cache:
            self._record_cache_event(prefix, True)
        self._cache[prefix] = max(tokens, self._cache.get(prefix, 0))
        self._cache.move_to_end(prefix)
        while sum(self._cache.values()) > self.spec.cache_tokens and len(self._cache) > 1:
            evicted, _ = self._cache.popitem(last=False)
            self._record_cache_event(evicted, False)

    def _record_cache_event(self, prefix: str, is_stored: bool) -> None:
        self.cache_events.append(CacheEvent(len(self.cache_events) + 1, prefix, is_stored))

    def cached_prefixes(self) -> dict[str, int]:
        """Returns the cached prefixes and their lengths in tokens."""
        return dict(self._cache)

    def import_prefix(self, prefix: str, tokens: int) -> None:
        """Stores a prefix exported by another engine."""
        self._store_prefix(prefix, tokens)
