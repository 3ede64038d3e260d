"""Which periods without a list count as an outage of the store, and how long entries are kept.

Guards against two failures. An engine that left got requests after the bound, for up to 3.99 s,
because the time that one unanswered reading takes was taken for an outage. And too few engines were
in use just after an outage, because a reading that ended without any outcome did not count as
failed, so that engines whose entries had expired in the outage were dropped.
"""

import pytest

from tests.decisions.forwarding.harness import engine
from tests.simulation.fleet import SimulatedFleet
from tests.simulation.plain_formats import SERVICE
from troutswitch.decisions.forwarding.engine_list import EngineListReader
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.storage.messages import CallFailed, NewestPage, ReadNewest
from troutswitch.decisions.storage.read_attempts import INITIAL_TIMEOUT_SECONDS, CallNumbers

DRAIN_SECONDS = 2.0


class ExtremeJitter:
    """A random source that always returns the same end of a range."""

    def __init__(self, is_high: bool) -> None:
        self._is_high = is_high

    def uniform(self, low: float, high: float) -> float:
        return high if self._is_high else low


def in_use(registry: EngineRegistry, service: str = "s") -> set[str]:
    return {engine_state.record.engine_id for engine_state in registry.of_service(service)}


@pytest.mark.parametrize("is_high", [False, True])
def test_one_unanswered_reading_keeps_no_engine_in_use_beyond_the_bound(is_high: bool) -> None:
    """With the reader's own timing, one reading times out and all others are answered."""
    jitter = ExtremeJitter(is_high)
    reader = EngineListReader(CallNumbers(), jitter, 0.3 * DRAIN_SECONDS)  # type: ignore[arg-type]
    registry = EngineRegistry()
    now, readings, left_at = 0.0, 0, float("inf")
    while now < 8.0:
        now = max(now, reader.next_due())
        for call in reader.on_timer(now):
            assert isinstance(call, ReadNewest)
            readings += 1
            if readings == 4:
                now += INITIAL_TIMEOUT_SECONDS
                reader.on_answer(now, call.call, CallFailed("no answer", False))
                registry.on_list_failed(now)
                continue
            reader.on_answer(now, call.call, NewestPage((), False, 0))
            has_left = now > left_at
            registry.on_list(now, [engine("b")] if has_left else [engine("a"), engine("b")])
            if readings == 3:
                left_at = now + 0.02
        if now > left_at + DRAIN_SECONDS:
            assert in_use(registry) == {"b"}, f"in use {now - left_at:.2f} s after it left"


def test_entries_expired_in_an_outage_stay_in_use_with_short_read_intervals() -> None:
    """With a drain bound of 1 s, the list is read each 0.3 s."""
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    registry.on_list_failed(9.9)
    for number in range(6):
        registry.on_list(10.0 + 0.3 * number, [engine("b")])
    assert in_use(registry) == {"a", "b"}


def test_readings_without_any_outcome_count_as_an_outage() -> None:
    """All calls are lost for 8 s; an entry expires meanwhile and is not renewed immediately."""
    fleet = SimulatedFleet(1)
    fleet.run(3.0)
    call_store = fleet._call_store
    fleet._call_store = lambda daemon, call: None  # type: ignore[method-assign]
    fleet.run(8.0)
    assert fleet.daemons["daemon-0"].core.membership.reader.attempts.failures
    fleet.remove_engine("server-0")
    fleet._call_store = call_store  # type: ignore[method-assign]
    returned_at = fleet.now
    while any(d.core.engines.listed_at < returned_at for d in fleet.daemons.values()):
        fleet.run(0.05)
    for name, daemon in fleet.daemons.items():
        assert "server-0" in in_use(daemon.core.engines, SERVICE), name


def test_entries_renewed_within_two_seconds_after_a_silent_outage_stay_in_use() -> None:
    for seed in range(1, 6):
        fleet = SimulatedFleet(seed)
        fleet.run(3.0)
        fleet.faults.is_silent = True
        fleet.run(2.0)
        fleet.remove_engine("server-0")
        fleet.run(1.5 + 0.1 * seed)
        fleet.faults.is_silent = False
        for _ in range(18):
            fleet.run(0.1)
            for name, daemon in fleet.daemons.items():
                assert "server-0" in in_use(daemon.core.engines, SERVICE), (seed, name)
