"""The coordinator's choice among engines that differ in speed, under the load that each test names.

Mean times in ms to the end, as measured with `Load` in these tests (4 engines at 0.55 and 11 at
1.2; the fleet of one speed has the same sum of slots / factor), at 0.4, 0.5, 0.7 and 0.95 load:

| rule | same run time for all | a full engine takes 1.5 times as long |
| --- | --- | --- |
| `ignored` | 463, 461, 460, 476 | 526, 546, 588, 644 |
| `weighted_share` | 390, 392, 407, 467 | 456, 480, 530, 619 |
| `expected_time` | 300, 340, 403, 466 | 417, 456, 526, 619 |
| any, one speed | 456, 456, 456, 472 | 518, 540, 583, 639 |
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.slots.harness import SERVICE, ZONE, record, report
from tests.decisions.slots.speed_loads import SLOTS, Factor, Load, steady
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engine_cost import SPEED_POLICIES
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.routes import ConfigurationSource, RouteTable
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.types import (
    Backend,
    FleetConfiguration,
    RequestLimits,
    Route,
    RouteKind,
)
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.slot_choice import SlotChoice, SlotDecision, SlotQuery

NOW = 10.0
RULES = ("weighted_share", "expected_time")
every_rule = pytest.mark.parametrize("rule", RULES)
MIXED = [steady(0.55)] * 4 + [steady(1.2)] * 11
ONE_SPEED = [steady(15 / (4 / 0.55 + 11 / 1.2))] * 15
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=100)


class Choice:
    """A coordinator's choice among engines "e0", "e1", ... with the given percentages of pace."""

    def __init__(
        self, rule: str, *percents: int | None, zones: tuple[str, ...] = (), gap_limit: float = 0.0
    ) -> None:
        zones = zones or (ZONE,) * len(percents)
        self.records = [record(f"e{n}", zone, SLOTS) for n, zone in enumerate(zones)]
        self.registry, self.times = EngineRegistry(), RunTimes()
        self.registry.on_list(0.0, self.records)
        self.engines = [self.registry.engines[r.engine_id] for r in self.records]
        for engine, percent in zip(self.engines, percents, strict=True):
            if percent is not None:
                self.registry.on_pace(engine, percent, NOW)
        self.ledger, self.rng = SlotLedger(self.registry, 1), random.Random(1)
        routes = RouteTable()
        backends = (Backend(SERVICE, 1.0),)
        route = Route("r", "h", "/", RouteKind.STREAM, backends, 5.0, 0.3, 2, gap_limit=gap_limit)
        configuration = FleetConfiguration(1, (route,), {}, RequestLimits())
        routes.replace(configuration, ConfigurationSource.STORE)
        self.speed = SPEED_POLICIES[rule](self.times, routes)
        self.choice = SlotChoice(self.ledger, self.times, self.rng, self.speed)

    def learn(self, first_event: float = 0.06, slot_time: float = 0.5, pause: float = 0.0) -> None:
        self.times.on_completed(
            SERVICE, first_event, slot_time, was_queued=False, longest_pause=pause
        )

    def decide(self, max_wait: float = float("inf")) -> SlotDecision:
        groups = EngineGroups()
        groups.update(self.records)
        group = groups.of_service(SERVICE)[0]
        query = SlotQuery(group, ZONE, max_wait, frozenset())
        return self.choice.choose(NOW, query, self.engines)

    def send(self, max_wait: float = float("inf")) -> int | None:
        """Chooses an engine and counts the request there; returns its number."""
        engine = self.decide(max_wait).engine
        if engine is None:
            return None
        engine.change_own_online(NOW, 1)
        return self.engines.index(engine)


def fill(engine: Engine, count: int = SLOTS) -> None:
    engine.change_own_online(NOW, count)


# Load: engines of one service at 0.55 and 1.2 times the usual time.


@every_rule
def test_mixed_engines_at_half_load_serve_no_worse_than_engines_of_one_speed(rule: str) -> None:
    for crowding in (0.0, 0.5):
        _, mixed = Load(rule, MIXED, crowding=crowding).play(0.5 / (1 + crowding / 2))
        _, one_speed = Load(rule, ONE_SPEED, crowding=crowding).play(0.5 / (1 + crowding / 2))
        assert mixed <= 1.05 * one_speed


@every_rule
@pytest.mark.parametrize("load", [0.4, 0.7, 0.95])
def test_requests_end_earlier_than_if_speed_is_ignored(rule: str, load: float) -> None:
    first_ignored, end_ignored = Load("ignored", MIXED).play(load)
    first, end = Load(rule, MIXED).play(load)
    assert first <= first_ignored
    assert end < end_ignored


# Load: an engine takes 2.5 times as long as usual.


@every_rule
def test_slowed_engine_gets_no_request_while_others_have_free_slots(rule: str) -> None:
    choice = Choice(rule, 100, 100, 250, 100, 100)
    choice.learn()
    chosen = [choice.send() for _ in range(4 * SLOTS)]
    assert 2 not in chosen
    assert choice.send() == 2


@every_rule
def test_slowed_engine_is_used_where_all_engines_are_slowed(rule: str) -> None:
    choice = Choice(rule, 250, 300)
    choice.learn()
    assert {choice.send() for _ in range(2 * SLOTS)} == {0, 1}


def swinging(base: float, offset: float) -> Factor:
    """Returns a factor that is 2.5 times its base in every other 0.3 s."""
    return lambda now: base * (2.5 if int(now / 0.3 + offset) % 2 else 1.0)


@every_rule
def test_pace_that_swings_every_300_ms_is_followed(rule: str) -> None:
    """Guards against a herd that chases the pace: ends must not come later than without it."""
    fleet = [swinging(0.55 if n < 4 else 1.2, 0.37 * n) for n in range(15)]
    for load in (0.3, 0.5):
        assert Load(rule, fleet).play(load)[1] < Load("ignored", fleet).play(load)[1]


# Load: paces that are false or missing.


@every_rule
def test_false_pace_of_a_slow_engine_costs_no_more_than_its_full_slots(rule: str) -> None:
    choice = Choice(rule, 1, 100, 100, 100)
    choice.learn()
    chosen = [choice.send() for _ in range(4 * SLOTS)]
    assert [chosen.count(n) for n in range(4)] == [SLOTS] * 4


@every_rule
def test_engine_without_a_pace_counts_as_one_of_mean_speed(rule: str) -> None:
    """Guards against an engine that is preferred because its pace is missing."""
    choice = Choice(rule, 300, 300, None, 120)
    choice.learn()
    factors = choice.speed.factors(NOW, choice.engines)
    assert "e2" not in factors
    assert choice.send() == 3


@every_rule
def test_paces_that_are_all_old_are_not_used(rule: str) -> None:
    old, none = Choice(rule, 55, 250, 100), Choice("ignored", None, None, None)
    for engine in old.engines:
        engine.pace.read_at = NOW - 31.0
    assert [old.send() for _ in range(9)] == [none.send() for _ in range(9)]


# Load: batch items fill a slow engine.


@every_rule
def test_slow_engine_full_of_items_is_left_to_them(rule: str) -> None:
    choice = Choice(rule, 120, 120, 300)
    choice.learn()
    choice.ledger.on_report(NOW, report("peer", 1, e2=SLOTS))
    assert 2 not in [choice.send() for _ in range(2 * SLOTS)]


@every_rule
def test_free_slot_at_a_slower_engine_is_better_than_one_that_an_item_uses(rule: str) -> None:
    choice = Choice(rule, 55, 90)
    choice.learn()
    choice.ledger.on_report(NOW, report("peer", 1, e0=SLOTS))
    assert choice.send() == 1


@every_rule
def test_item_at_a_fast_engine_yields_before_a_slow_engine_is_nearly_full(rule: str) -> None:
    """Guards against requests that all go to slow engines because items fill the fast ones."""
    choice = Choice(rule, 55, 200)
    choice.learn(first_event=0.2)
    choice.ledger.on_report(NOW, report("peer", 1, e0=SLOTS))
    chosen = [choice.send() for _ in range(SLOTS)]
    assert 0 in chosen


# Load: zones, and nearly equal speeds.


@every_rule
def test_zone_decides_between_engines_of_nearly_equal_speed(rule: str) -> None:
    choice = Choice(rule, 98, 102, zones=("other", ZONE))
    choice.learn()
    assert choice.send() == 1


@every_rule
def test_requests_spread_over_engines_of_nearly_equal_speed(rule: str) -> None:
    choice = Choice(rule, 100, 101, 99, 100)
    choice.learn()
    chosen = [choice.send() for _ in range(2 * SLOTS)]
    assert max(chosen.count(n) for n in range(4)) <= SLOTS


# Load: requests with an objective, where some engines are too slow for it.


@every_rule
def test_engine_that_cannot_meet_the_wait_is_left_out_while_another_can(rule: str) -> None:
    choice = Choice(rule, 55, 120)
    choice.learn(first_event=0.1)
    for engine in choice.engines:
        fill(engine)
    decision = choice.decide(max_wait=0.35)
    assert decision.engine is choice.engines[0]
    assert decision.estimate.wait == pytest.approx(0.5 * 0.55 / 0.875)


@every_rule
def test_engine_whose_first_event_comes_too_late_is_left_out_while_another_is_in_time(
    rule: str,
) -> None:
    """The slow engine has a free slot, but its first event comes 0.1 s later than at the mean."""
    choice = Choice(rule, 80, 120)
    choice.learn(first_event=0.5, slot_time=0.6)
    fill(choice.engines[0], SLOTS - 1)
    choice.ledger.on_report(NOW, report("peer", 1, e0=1))
    assert choice.decide(max_wait=0.05).engine is choice.engines[0]
    assert choice.decide(max_wait=0.0).engine is not None


@every_rule
def test_request_gets_no_slot_if_no_engine_meets_its_wait(rule: str) -> None:
    choice = Choice(rule, 55, 120)
    choice.learn()
    for engine in choice.engines:
        fill(engine)
    decision = choice.decide(max_wait=0.2)
    assert decision.engine is None
    assert decision.estimate.wait == pytest.approx(0.5 * 0.55 / 0.875)


@every_rule
def test_late_request_gets_the_free_slot_of_a_slow_engine(rule: str) -> None:
    choice = Choice(rule, 55, 120)
    choice.learn()
    fill(choice.engines[0])
    assert choice.send(max_wait=0.0) == 1


@every_rule
def test_engine_whose_pauses_exceed_the_limit_is_left_out_while_another_is_free(rule: str) -> None:
    choice = Choice(rule, 80, 120, gap_limit=0.25)
    choice.learn(pause=0.24)
    assert [choice.send() for _ in range(SLOTS)] == [0] * SLOTS
    without_limit = Choice(rule, 100, 120)
    without_limit.learn(pause=0.24)
    fill(without_limit.engines[0], SLOTS)
    assert without_limit.send() == 1


# No pace known.


@DETERMINISTIC
@given(
    st.sampled_from(RULES),
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9)), min_size=1, max_size=6),
    st.sampled_from([None, 100]),
    st.sampled_from([0.0, 0.2, float("inf")]),
)
def test_without_differences_in_pace_each_rule_chooses_and_draws_like_the_present_one(
    rule: str, loads: list[tuple[int, int]], percent: int | None, max_wait: float
) -> None:
    decisions, states = [], []
    for name in (rule, "ignored"):
        choice = Choice(
            name, *[percent] * len(loads), zones=tuple("zy"[n % 2] for n in range(len(loads)))
        )
        choice.learn()
        for engine, (online, batch) in zip(choice.engines, loads, strict=True):
            fill(engine, online)
            engine.peers_batch = batch
        decisions.append([choice.send(max_wait) for _ in range(5)])
        states.append(choice.rng.getstate())
    assert decisions[0] == decisions[1]
    assert states[0] == states[1]
