"""An engine that is no longer listed gets no new work, even at a daemon whose readings fail.

Guards against a daemon that sent requests to an engine twelve seconds after it had left, while all
other daemons had stopped within a second. The engine left without a drain notice, so its entry just
disappeared. The daemon's own readings of the list failed, sometimes or always, while the store
served all others. Each failed reading kept missing entries in use for two more seconds, as if the
store were down for all and entries had expired for that reason. The engine stayed in use for as
long as readings failed.
"""

from tests.decisions.forwarding.harness import engine
from tests.simulation.fleet import SimulatedFleet
from tests.simulation.plain_formats import SERVICE
from troutswitch.decisions.forwarding.engines import EngineRegistry

DRAIN_SECONDS = 2.0
READ_SECONDS = 0.5
"""Interval of whole lists in these tests, slightly shorter than a daemon's own interval."""


def in_use(registry: EngineRegistry, service: str = "s") -> set[str]:
    return {engine_state.record.engine_id for engine_state in registry.of_service(service)}


def test_occasional_failed_readings_do_not_keep_an_unlisted_engine_in_use() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    for number in range(1, 41):
        if number % 3 == 1:
            registry.on_list_failed((number - 0.5) * READ_SECONDS)
        now = number * READ_SECONDS
        registry.on_list(now, [engine("b")])
        if now > DRAIN_SECONDS:
            assert in_use(registry) == {"b"}, f"the unlisted engine is in use after {now} s"


def test_daemon_cut_off_from_the_store_drops_engines_that_peers_no_longer_list() -> None:
    fleet = SimulatedFleet(1)
    fleet.run(3.0)
    cut_off_daemon = fleet.daemons["daemon-0"]
    cut_off_daemon.is_partitioned_from_store = True
    fleet.run(2.0)
    fleet.remove_engine("server-0")
    fleet.run(DRAIN_SECONDS)
    for name, daemon in fleet.daemons.items():
        assert "server-0" not in in_use(daemon.core.engines, SERVICE), name
    assert in_use(cut_off_daemon.core.engines, SERVICE) == {"server-1", "server-2"}


def test_rare_lists_with_failed_readings_between_do_not_keep_an_unlisted_engine_in_use() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    for now in (2.5, 5.0):
        registry.on_list_failed(now - 0.1)
        registry.on_list(now, [engine("b")])
        assert in_use(registry) == ({"a", "b"} if now < 5.0 else {"b"})


def test_one_failed_reading_keeps_no_engine_in_use() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    registry.on_list_failed(0.6)
    registry.on_list(1.0, [engine("b")])
    assert in_use(registry) == {"b"}


def test_entry_missing_shortly_after_an_outage_stays_in_use() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    registry.on_list_failed(9.8)
    registry.on_list(10.0, [engine("a"), engine("b")])
    registry.on_list(10.6, [engine("b")])
    assert in_use(registry) == {"a", "b"}
    registry.on_list(11.2, [engine("a"), engine("b")])
    registry.on_list(12.0, [engine("a")])
    assert in_use(registry) == {"a"}
