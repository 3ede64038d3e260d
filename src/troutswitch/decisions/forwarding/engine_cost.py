"""Costs of engines for online requests, where engines of one service differ in speed.

Question: how much worse is one engine than another for the next online request?

Inputs: the requests and waiting prompt tokens on each engine; the time factor of each engine now
(`engine_pace`); the mean run times of the service (`run_times`); the pauses that its routes allow.

Rule: a policy, `speed` of TROUTSWITCH_POLICIES. A cost is a share of an engine's slots, and 1
corresponds to having to wait for one slot time of the service.

- `weighted_share`, the default: the share of slots that is taken, including the new request, and
  the waiting prompt tokens, both multiplied by the engine's relative factor.
- `expected_time`: the expected time to the first event, in slot times of the service. The expected
  end and the weighted share decide between engines with nearly the same time. The wait in it
  is estimated by the number of queued requests alone: by send times takes too long for each engine.
- `ignored`: the share of slots that is taken and the waiting prompt tokens, whatever the speed.

All three add `ZONE_PENALTY` for an engine of another zone. `slots/slot_choice.py` adds a cost for
stopping a batch item. Where no difference in speed is known, each policy gives the costs of
`ignored`.

Why: an engine that takes twice as long frees its slots half as often, so a request waits there
for twice as long, and it also runs for twice as long. Measured in docs/POLICY.md, "Engines of
different speeds".
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from troutswitch.decisions.forwarding.engine import Engine, FactorSource
from troutswitch.decisions.forwarding.engine_pace import MAX_AGE_SECONDS
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.run_times import RunTimes
from troutswitch.decisions.forwarding.wait_estimate import least_wait

FULL_PREFILL_TOKENS = 8192
"""Waiting prompt tokens that cost as much as if all slots of the engine were taken."""
ZONE_PENALTY = 0.1
"""Cost that is added for an engine of another zone."""
CONNECTION_COST = 0.125
"""Cost that an idle connection to an engine of the same zone saves: a new one takes 1 ms and a
round trip, and may hold a slot for a moment. It is the cost of one request on 8 slots of mean
speed, so it decides only between engines that are nearly equal."""
BATCH_WEIGHT = 0.2
"""Cost of a batch item relative to an online request; it is low as items are preempted
immediately."""
MIN_RELATIVE_FACTOR = 0.25
MAX_RELATIVE_FACTOR = 4.0
"""Bounds of a relative factor, which limit the effect of a false pace. Observed factors are 0.55 to
3.0 at a mean of 1.8."""
PREFILL_TOKEN_SECONDS = 2e-5
"""Time that an engine of mean speed needs for a prompt token: 51 tokens in 1 ms, the slowest
prefill of the deployments."""
END_WEIGHT = 0.05
"""Weight of the expected end in `ExpectedTime`: an end that is 20 ms later counts as a first event
that is 1 ms later."""
SHARE_WEIGHT = 0.01
"""Weight of the taken share of slots in `ExpectedTime`. It spreads requests over engines whose
expected times differ by less than readings of the pace vary."""

RelativeFactors = dict[str, float]
"""Relative factors by engine id: the time that work takes there, divided by the mean of the
engines. An engine that is not in it has the factor 1. Empty if no difference is known."""


def relative_factors(now: float, engines: Iterable[Engine]) -> RelativeFactors:
    """Returns the relative factors of some engines of one service.

    An engine whose factor is not known counts as an engine of mean speed.
    """
    known = {
        engine.record.engine_id: engine.time_factor(now)
        for engine in engines
        if engine.factor_source(now) is not FactorSource.UNKNOWN
    }
    if not known or min(known.values()) == max(known.values()):
        return {}
    mean = sum(known.values()) / len(known)
    return {name: bounded_factor(factor / mean) for name, factor in known.items()}


def average_relative_factor(now: float, engine: Engine, engines: Iterable[Engine]) -> float:
    """Returns the relative factor of an engine over the last seconds, for work that took as long.

    Args:
        now: this process's clock, in seconds.
        engine: the engine.
        engines: all engines of its service.
    """
    if now - engine.pace.read_at > MAX_AGE_SECONDS:
        return 1.0
    paces = [e.pace for e in engines if now - e.pace.read_at <= MAX_AGE_SECONDS] or [engine.pace]
    mean = sum(pace.average_percent for pace in paces) / len(paces)
    return bounded_factor(engine.pace.average_percent / mean)


def bounded_factor(factor: float) -> float:
    """Returns a relative factor within its bounds."""
    return min(MAX_RELATIVE_FACTOR, max(MIN_RELATIVE_FACTOR, factor))


def queue_cost(now: float, engine: Engine, zone: str) -> float:
    """Returns the cost of sending the next request to an engine that preempts batch items."""
    return taken_share(now, engine) + zone_cost(engine, zone) + prefill_cost(engine)


def taken_share(now: float, engine: Engine) -> float:
    """Returns the share of slots that is taken for an online request; batch items count little."""
    return (engine.online_load(now) + BATCH_WEIGHT * engine.batch_count()) / engine.slots


def zone_cost(engine: Engine, zone: str) -> float:
    """Returns the cost of an engine's zone for a daemon in `zone`."""
    return ZONE_PENALTY if engine.record.zone != zone else 0.0


def prefill_cost(engine: Engine) -> float:
    """Returns the cost of waiting prompt tokens."""
    return _waiting_tokens(engine) / FULL_PREFILL_TOKENS


def _waiting_tokens(engine: Engine) -> float:
    """Returns the prompt tokens that a new request probably waits for.

    The average counts as well: an engine that often has some will probably have some again when
    the request arrives.
    """
    return max(engine.waiting_prefill_tokens, engine.mean_prefill_tokens)


class SpeedPolicy(Protocol):
    """Decides how the speed of engines counts."""

    def factors(self, now: float, engines: Iterable[Engine]) -> RelativeFactors:
        """Returns the relative factors to use; computed once for each choice."""
        ...

    def average_factor(self, now: float, engine: Engine, engines: Iterable[Engine]) -> float:
        """Returns the relative factor of an engine over the last seconds.

        `engines` are all engines of its service.
        """
        ...

    def cost(self, now: float, engine: Engine, zone: str, factors: RelativeFactors) -> float:
        """Returns the cost of sending the next online request to an engine.

        Args:
            now: this process's clock, in seconds.
            engine: the engine.
            zone: the zone of the daemon that has the request.
            factors: the result of `factors` for all engines that the request may be sent to.
        """
        ...

    def max_factor(self, service: str) -> float:
        """Returns the relative factor above which pauses between events exceed a route's limit.

        Infinite where the pauses or the limit are not known.
        """
        ...


class IgnoredSpeed:
    """Treats all engines as equally fast."""

    def factors(self, now: float, engines: Iterable[Engine]) -> RelativeFactors:
        """Returns no factors."""
        return {}

    def average_factor(self, now: float, engine: Engine, engines: Iterable[Engine]) -> float:
        """Returns 1."""
        return 1.0

    def cost(self, now: float, engine: Engine, zone: str, factors: RelativeFactors) -> float:
        """Returns `queue_cost`."""
        return queue_cost(now, engine, zone)

    def max_factor(self, service: str) -> float:
        """Returns infinity."""
        return float("inf")


class _KnownSpeed:
    """What the policies that count the speed of engines have in common."""

    def __init__(self, times: RunTimes, routes: RouteTable) -> None:
        self._times = times
        self._routes = routes

    def factors(self, now: float, engines: Iterable[Engine]) -> RelativeFactors:
        """Returns the relative factors."""
        return relative_factors(now, engines)

    def average_factor(self, now: float, engine: Engine, engines: Iterable[Engine]) -> float:
        """Returns `average_relative_factor`."""
        return average_relative_factor(now, engine, engines)

    def max_factor(self, service: str) -> float:
        """Returns the limit of the routes, divided by the mean of the longest pauses."""
        pause = self._times.of(service).longest_pause
        return self._routes.shortest_gap_limit(service) / pause if pause > 0.0 else float("inf")


class WeightedShare(_KnownSpeed):
    """Multiplies the taken share of slots by the relative factor."""

    def cost(self, now: float, engine: Engine, zone: str, factors: RelativeFactors) -> float:
        """Returns the weighted share, with the new request included."""
        return _weighted_share(now, engine, zone, factors)


class ExpectedTime(_KnownSpeed):
    """Compares expected times to the first event; before any are learned, weighted shares."""

    def cost(self, now: float, engine: Engine, zone: str, factors: RelativeFactors) -> float:
        """Returns the expected time to the first event, in slot times, with small additions."""
        times = self._times.of(engine.record.service)
        share = _weighted_share(now, engine, zone, factors)
        slot_time = times.slot_time
        if not factors or slot_time <= 0.0:
            return share
        factor = factors.get(engine.record.engine_id, 1.0)
        work = times.first_event + _waiting_tokens(engine) * PREFILL_TOKEN_SECONDS
        first_event = least_wait(engine, times, factor) + factor * work
        end = first_event + factor * max(0.0, slot_time - times.first_event)
        seconds = first_event + END_WEIGHT * end
        return seconds / slot_time + zone_cost(engine, zone) + SHARE_WEIGHT * share


def _weighted_share(now: float, engine: Engine, zone: str, factors: RelativeFactors) -> float:
    if not factors:
        return queue_cost(now, engine, zone)
    factor = factors.get(engine.record.engine_id, 1.0)
    taken = taken_share(now, engine) + 1 / engine.slots
    return factor * (taken + prefill_cost(engine)) + zone_cost(engine, zone)


SPEED_POLICIES: dict[str, Callable[[RunTimes, RouteTable], SpeedPolicy]] = {
    "weighted_share": WeightedShare,
    "expected_time": ExpectedTime,
    "ignored": lambda times, routes: IgnoredSpeed(),
}
"""Speed policies by name."""
