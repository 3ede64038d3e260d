"""Compares policies on the same seed: batch throughput and slowdown of online requests.

Every policy runs in the same simulation without faults: the same online arrivals and the
same bursts of batch jobs, which exceed the capacity. The baseline for the slowdown is the run
without batch. The baseline for throughput is an ideal schedule that knows all online arrivals:
it fills every slot that is free in the run without batch with batch items, with no reserve and
no gap between items.
"""

import json
from collections import Counter
from dataclasses import asdict, dataclass, field, replace

from troutswitch.standalone.decisions.effects import CallAnswer
from troutswitch.standalone.decisions.events import ConfigurationSubmitted
from troutswitch.standalone.log_service.records import ConfigurationChange
from troutswitch.standalone.simulation.fleet_simulation import (
    WARM_UP_SECONDS,
    FleetSimulation,
    SimulationOptions,
)
from troutswitch.standalone.simulation.scenarios import Scenario
from troutswitch.standalone.standins.engine_model import EngineModel

BATCH_POLICIES = ("none", "first_come", "fixed_share", "engine_priority", "stewarded")
ROUTING_POLICIES = ("round_robin", "least_loaded", "prefix_aware")
PUBLISH_SECONDS = 3.0
"""Virtual time, after the start, at which the policy under test is published."""
JOBS_PER_BURST = (8, 10)
ITEMS_PER_JOB = (60, 160)
"""Sizes that offer more batch work than the engines can process."""
SAMPLE_SECONDS = 1.0


@dataclass
class PolicyResult:
    """Results of one policy; latencies in milliseconds."""

    batch_items_per_second: float = 0.0
    batch_share_of_ideal: float = 0.0
    online_first_token_p50_ms: float = 0.0
    online_first_token_p99_ms: float = 0.0
    online_gap_p50_ms: float = 0.0
    online_gap_p99_ms: float = 0.0
    harm_ratio: float = 0.0
    first_token_ratio: float = 0.0
    gap_ratio: float = 0.0
    prefix_hit_share: float = 0.0
    online_completed: int = 0
    batch_yielded: int = 0


@dataclass
class PolicyRun:
    """One policy's results and samples for plots."""

    result: PolicyResult
    first_tokens: list[float] = field(default_factory=list)
    batch_done: list[tuple[float, int]] = field(default_factory=list)
    occupancy: list[tuple[float, int, int]] = field(default_factory=list)
    free_slot_seconds: float = 0.0


class _MeasuredSimulation(FleetSimulation):
    """A simulation of one policy, sampled every second."""

    def __init__(self, options: SimulationOptions, changes: list[ConfigurationChange]) -> None:
        super().__init__(options)
        self.run_data = PolicyRun(PolicyResult())
        self._changes = changes
        self.clock.call_later(PUBLISH_SECONDS, self._publish)
        self.clock.call_later(WARM_UP_SECONDS, self._sample)

    def _publish(self) -> None:
        daemon = next(iter(self.daemons.values()))
        event = ConfigurationSubmitted(
            "experiment",
            "experiment",
            "experiment",
            "",
            daemon.core.configuration.fold.version,
            tuple(self._changes),
            self.clock.now() + PUBLISH_SECONDS,
        )

        def on_verdict(answer: CallAnswer | None) -> None:
            if not getattr(answer, "accepted", False):
                self.observer.record_violation(
                    f"the experiment's policy was not accepted: {answer}"
                )

        daemon.call("experiment", event, on_verdict)

    def _sample(self) -> None:
        counts = [engine.model.counts() for engine in self.engines.values()]
        at = self.clock.now()
        online = sum(c[0] for c in counts)
        batch = sum(c[1] for c in counts)
        self.run_data.occupancy.append((at, online, batch))
        self.run_data.batch_done.append((at, self.batch_done()))
        self.clock.call_later(SAMPLE_SECONDS, self._sample)

    def batch_done(self) -> int:
        """Returns the number of batch items whose result is on the log."""
        done = 0
        for daemon in self.daemons.values():
            for owner in daemon.core.ownership.owners.values():
                done += sum(job.completed for job in owner.fold.jobs.values())
        return done

    def models(self) -> list[EngineModel]:
        """Returns the engines' models."""
        return [engine.model for engine in self.engines.values()]

    def measure(self) -> PolicyRun:
        """Runs the load until its end and computes the results."""
        self.clock.run_until(self.ends_at)
        data = self.run_data
        result = data.result
        seconds = self.options.seconds
        gaps: Counter[int] = Counter()
        cached = prompt = 0
        for model in self.models():
            gaps.update(model.statistics.online_gaps)
            cached += model.statistics.online_cached_tokens
            prompt += model.statistics.online_prompt_tokens
        data.first_tokens = sorted(
            record.first_token_at - record.sent_at
            for record in self.observer.online.values()
            if record.first_token_at < float("inf") and not record.key
        )
        result.batch_items_per_second = self.batch_done() / seconds
        result.online_first_token_p50_ms = 1000 * _quantile(data.first_tokens, 0.5)
        result.online_first_token_p99_ms = 1000 * _quantile(data.first_tokens, 0.99)
        result.online_gap_p50_ms = _weighted_quantile(gaps, 0.5) / 10
        result.online_gap_p99_ms = _weighted_quantile(gaps, 0.99) / 10
        result.prefix_hit_share = cached / prompt if prompt else 0.0
        result.online_completed = self.observer.online_counts().get("Completed", 0)
        result.batch_yielded = sum(
            daemon.core.dispatcher.counts.yielded for daemon in self.daemons.values()
        )
        busy = sum(model.statistics.busy_slot_seconds for model in self.models())
        slots = self.scenario.engine_spec.slots * self.scenario.engines
        data.free_slot_seconds = slots * seconds - busy
        return data


def run_policy(
    scenario: Scenario, seed: int, seconds: float, batch: str, routing: str
) -> PolicyRun:
    """Runs one simulation with a batch and a routing policy."""
    workload = replace(
        scenario.workload,
        jobs_per_burst=JOBS_PER_BURST,
        items_per_job=ITEMS_PER_JOB,
        cancel_share=0.0,
        non_repeatable_share=0.0,
    )
    options = SimulationOptions(replace(scenario, workload=workload), seed, seconds)
    changes = [
        ConfigurationChange("root", "batch_policy", batch),
        ConfigurationChange("root", "routing_policy", routing),
    ]
    return _MeasuredSimulation(options, changes).measure()


def ideal_items_per_second(scenario: Scenario, free_slot_seconds: float, seconds: float) -> float:
    """Returns the batch items per second of an ideal schedule that knows all online arrivals.

    Every slot that is free of online requests is always busy. A step takes as long as with all
    slots decoding, plus the prefill of the items' prompts.
    """
    engine_spec = scenario.engine_spec
    workload = scenario.workload
    tokens = sum(workload.batch_tokens) / 2
    prompt = sum(workload.batch_prompt) / 2
    step = engine_spec.step_base + engine_spec.step_per_sequence * engine_spec.slots
    # While one item occupies a slot, prefill of other items lengthens the engine's steps.
    service = tokens * step
    for _ in range(50):
        prompts_per_second = engine_spec.slots / service
        slowdown = 1.0 / (
            1.0 - min(0.9, prompts_per_second * prompt * engine_spec.prefill_per_token)
        )
        service = 0.5 * service + 0.5 * tokens * step * slowdown
    return free_slot_seconds / service / seconds


def run_experiment(
    scenario: Scenario, seed: int, seconds: float
) -> tuple[dict[str, PolicyRun], float]:
    """Runs all policies on one seed; returns them with the ideal items per second."""
    runs = {
        name: run_policy(scenario, seed, seconds, name, "prefix_aware") for name in BATCH_POLICIES
    }
    for name in ROUTING_POLICIES[:-1]:
        runs[name] = run_policy(scenario, seed, seconds, "stewarded", name)
    base = runs["none"]
    ideal = ideal_items_per_second(scenario, base.free_slot_seconds, seconds)
    for run in runs.values():
        _compare(run.result, base.result, ideal)
    return runs, ideal


def _compare(result: PolicyResult, base: PolicyResult, ideal: float) -> None:
    result.batch_share_of_ideal = result.batch_items_per_second / ideal if ideal else 0.0
    result.first_token_ratio = result.online_first_token_p99_ms / base.online_first_token_p99_ms
    result.gap_ratio = result.online_gap_p99_ms / base.online_gap_p99_ms
    result.harm_ratio = max(result.first_token_ratio, result.gap_ratio)


def to_json(runs: dict[str, PolicyRun], ideal: float) -> str:
    """Returns the results as one JSON object."""
    policies = {
        name: {key: round(value, 4) for key, value in asdict(run.result).items()}
        for name, run in runs.items()
    }
    return json.dumps({"policies": policies, "ideal_items_per_second": round(ideal, 3)})


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _weighted_quantile(counts: Counter[int], share: float) -> float:
    total = sum(counts.values())
    cumulative = 0
    for value in sorted(counts):
        cumulative += counts[value]
        if cumulative >= share * total:
            return float(value)
    return 0.0
