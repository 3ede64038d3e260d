"""Factors learned from run times, for engines whose pace is missing or false.

The load: streams of a service whose engines take 0.3 s (pace 60) or 0.6 s (pace 120) for each.
"""

import random

import pytest

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, engine
from troutswitch.decisions.forwarding.engine import Engine, FactorSource
from troutswitch.decisions.forwarding.engine_pace import MAX_AGE_SECONDS
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.learned_factor import (
    CONTRADICTION,
    MAX_IDLE_SECONDS,
    MIN_RUNS,
    LearnedFactor,
)
from troutswitch.decisions.forwarding.messages import AnswerBegun, LogLine, SendRequest
from troutswitch.decisions.forwarding.types import EngineLoad
from troutswitch.outcomes import AttemptOutcome

MEAN_SLOT_TIME = 0.45


def paced_registry(**paces: int) -> EngineRegistry:
    """Returns a registry of engines that have reported these paces at 1.0, and of `silent`."""
    registry = EngineRegistry()
    registry.on_list(0.0, [engine(name) for name in (*paces, "silent")])
    for name, percent in paces.items():
        registry.on_load(1.0, name, EngineLoad(1, 0, 8, percent))
    registry.on_timer(1.0)
    return registry


def run(registry: EngineRegistry, name: str, slot_time: float, count: int = 1) -> Engine:
    ran = registry.engines[name]
    for _ in range(count):
        ran.on_run(1.0, slot_time, MEAN_SLOT_TIME)
    return ran


def test_relative_factor_compares_with_the_mean_of_the_engines() -> None:
    registry = paced_registry(fast=60, slow=120)
    fast, slow = registry.engines["fast"], registry.engines["slow"]
    assert registry.relative_factor(1.0, fast) == pytest.approx(60 / 90)
    assert registry.relative_factor(1.0, slow) == pytest.approx(120 / 90)
    assert registry.relative_factor(1.0, registry.engines["silent"]) == 1.0


def test_services_without_a_pace_learn_nothing() -> None:
    """The choice of engines for deployments without paces must not change."""
    registry = paced_registry()
    ran = run(registry, "silent", 10 * MEAN_SLOT_TIME, 2 * MIN_RUNS)
    assert (ran.learned.runs, ran.time_factor(1.0)) == (0, 1.0)
    assert registry.relative_factor(1.0, ran) == 1.0


def test_engine_without_a_pace_gets_the_factor_of_its_run_times() -> None:
    registry = paced_registry(fast=60, slow=120)
    silent = run(registry, "silent", 2 * MEAN_SLOT_TIME, MIN_RUNS - 1)
    assert silent.factor_source(1.0) is FactorSource.UNKNOWN
    run(registry, "silent", 2 * MEAN_SLOT_TIME)
    assert silent.factor_source(1.0) is FactorSource.LEARNED
    assert silent.relative_factor(1.0) == pytest.approx(2.0)
    assert silent.time_factor(1.0) == pytest.approx(2.0 * 0.9)


def test_pace_that_goes_missing_is_replaced_by_the_learned_factor() -> None:
    registry = paced_registry(fast=60, slow=120)
    slow = run(registry, "slow", 0.6, MIN_RUNS)
    assert slow.factor_source(1.0) is FactorSource.REPORTED
    assert slow.factor_source(1.0 + MAX_AGE_SECONDS) is FactorSource.AVERAGE
    assert slow.factor_source(1.1 + MAX_AGE_SECONDS) is FactorSource.LEARNED
    assert slow.factor_age(1.1 + MAX_AGE_SECONDS) == pytest.approx(0.1 + MAX_AGE_SECONDS)


@pytest.mark.parametrize("false_pace", [12, 600])
def test_pace_that_run_times_contradict_is_not_used(false_pace: int) -> None:
    """An engine that lies would get all requests, or none, for as long as it lies."""
    registry = paced_registry(fast=60, slow=120, liar=false_pace)
    mean = registry.engines["liar"].mean_factor or 1.0
    honest_ratio = (12 if false_pace == 600 else 600) / 100 / mean
    liar = run(registry, "liar", honest_ratio * MEAN_SLOT_TIME, MIN_RUNS - 1)
    assert liar.factor_source(1.0) is FactorSource.REPORTED
    run(registry, "liar", honest_ratio * MEAN_SLOT_TIME)
    assert liar.factor_source(1.0) is FactorSource.LEARNED
    assert liar.relative_factor(1.0) == pytest.approx(honest_ratio)
    registry.on_timer(2.0)
    assert registry.engines["fast"].mean_factor == pytest.approx(0.9), "without the false pace"


@pytest.mark.parametrize("false_pace", [1, 10_000])
def test_one_false_pace_does_not_change_the_factors_of_other_engines(false_pace: int) -> None:
    """An engine that claims to be slow gets no streams, so no run times contradict it.

    Its pace in the mean made all true paces look false, as they were compared with that mean.
    """
    registry = paced_registry(fast=60, slow=120, other=120, liar=false_pace)
    slow = run(registry, "slow", 1.2 * MEAN_SLOT_TIME, 2 * MIN_RUNS)
    assert not slow.learned.contradicts_reports
    assert registry.relative_factor(1.0, slow) == pytest.approx(1.2)


def test_pace_that_is_true_again_is_used_again() -> None:
    learned = LearnedFactor()
    for _ in range(10):
        learned.on_run(0.0, 1.0, 0.1)
    assert learned.contradicts_reports
    for _ in range(60):
        learned.on_run(0.0, 1.0, 1.0)
    assert not learned.contradicts_reports


def test_pace_that_swings_every_300_ms_is_not_contradicted() -> None:
    """Streams overlap episodes, in which the pace is 2.5 times the engine's usual one."""
    registry = paced_registry(swinging=55, slow=120)
    swinging = registry.engines["swinging"]
    rng = random.Random(1)
    for step in range(200):
        now = 1.0 + 0.3 * step
        percent = 137 if step % 2 else 55
        registry.on_load(now, "swinging", EngineLoad(1, 0, 8, percent))
        registry.on_timer(now)
        share = rng.random()
        during_stream = (share * 137 + (1 - share) * 55) / 100
        mean = swinging.mean_factor or 1.0
        swinging.on_run(now, MEAN_SLOT_TIME * during_stream / mean, MEAN_SLOT_TIME)
        assert not swinging.learned.contradicts_reports
        assert swinging.time_factor(now) == pytest.approx(percent / 100)


@pytest.mark.parametrize("other_runs", [MIN_RUNS - 1, 50])
def test_one_stalled_stream_is_no_contradiction(other_runs: int) -> None:
    """A stream of 60 times the predicted time outweighed all others in the mean."""
    learned = LearnedFactor()
    for _ in range(other_runs):
        learned.on_run(0.0, 1.0, 1.0)
    learned.on_run(0.0, 60.0, 1.0)
    assert not learned.contradicts_reports


def test_contradiction_needs_more_than_the_stated_factor() -> None:
    learned = LearnedFactor()
    for _ in range(MIN_RUNS):
        learned.on_run(0.0, CONTRADICTION, 1.0)
    assert not learned.contradicts_reports
    learned.on_run(0.0, 2 * CONTRADICTION, 1.0)
    assert learned.contradicts_reports


def complete_streams(harness: ForwardingHarness, paced: bool, count: int = 30) -> list[LogLine]:
    """Completes streams, which take 0.2 s at `s0` and 0.4 s elsewhere; returns the log lines."""
    lines: list[LogLine] = []
    load = EngineLoad(0, 0, 8, 120 if paced else None)
    for token in range(count):
        now = 10.0 + token
        harness.engines.on_timer(now)
        instructions = harness.requests.on_arrived(now, arrival(token))
        lines += [i for i in instructions if isinstance(i, LogLine)]
        sent = harness.only_instruction(instructions)
        assert isinstance(sent, SendRequest)
        harness.requests.on_answer_begun(now + 0.05, AnswerBegun(token, 1, load))
        end = now + (0.2 if sent.engine_id == "s0" else 0.4)
        harness.end(end, sent, AttemptOutcome.COMPLETED, delivered=18, status=200)
    return lines


def test_completed_streams_are_learned_from_and_the_factor_is_logged() -> None:
    harness = ForwardingHarness()
    lines = complete_streams(harness, paced=True)
    engines = harness.engines.engines
    assert engines["s0"].learned.ratio < 0.8
    assert engines["s1"].learned.ratio > 1.0
    fields = lines[-1].fields
    assert lines[-1].event == "request sent"
    assert fields["factor_source"] == "average"
    assert fields["time_factor"] == 1.2
    assert isinstance(fields["factor_age_ms"], int)
    assert "factor_source" not in lines[0].fields, "before the first pace"


def test_streams_of_services_without_a_pace_are_logged_as_before() -> None:
    harness = ForwardingHarness()
    lines = complete_streams(harness, paced=False)
    assert not [line for line in lines if "factor_source" in line.fields]
    assert {engine.learned.runs for engine in harness.engines.engines.values()} == {0}


def test_engines_are_counted_by_the_source_of_their_factor() -> None:
    registry = paced_registry(fast=60, slow=120)
    counts = {source: registry.count_by_source(1.0, source) for source in FactorSource}
    assert counts == {
        FactorSource.REPORTED: 2,
        FactorSource.AVERAGE: 0,
        FactorSource.LEARNED: 0,
        FactorSource.UNKNOWN: 1,
    }


def test_engine_that_seemed_slow_is_tried_again_after_a_while() -> None:
    # An engine whose learned ratio was high got no streams, so the ratio was never corrected.
    learned = LearnedFactor()
    for run in range(MIN_RUNS):
        learned.on_run(float(run), 10.0, 1.0)
    assert learned.is_known and learned.contradicts_reports
    learned.forget_if_idle(MIN_RUNS - 1 + MAX_IDLE_SECONDS)
    assert learned.is_known and learned.contradicts_reports
    learned.forget_if_idle(MIN_RUNS + MAX_IDLE_SECONDS)
    assert not learned.is_known and not learned.contradicts_reports
    learned.on_run(100.0, 1.0, 1.0)
    assert learned.ratio == 1.0
