"""An engine that has left the list takes no new work, whoever cannot read the list.

What users saw: one daemon sent requests to an engine twelve seconds after it had left. All other
daemons had stopped within a second.
Order of events: an engine leaves without saying that it drains, so that its entry just
goes. One daemon's readings of the list fail, now and then or always, while the store serves
everybody else; what it does read, or hears from peers, lacks the entry.
Cause: each failed reading kept missing entries in use for two more seconds, as entries also
lapse while the store is away for all. A daemon's own failed call was taken for that.
Evidence: below, both worlds kept the engine in use for as long as the readings went on failing.
"""

from tests.decisions.forwarding.harness import engine
from tests.worlds.gateway_world import GatewayWorld
from tests.worlds.plain_formats import SERVICE
from troutswitch.decisions.forwarding.engines import EngineRegistry

DRAIN_SECONDS = 2.0
READ_SECONDS = 0.5
"""Interval of whole lists in these tests: a little less than a daemon's own."""


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
    world = GatewayWorld(1)
    world.run(3.0)
    cut_off_daemon = world.daemons["daemon-0"]
    cut_off_daemon.is_cut_from_store = True
    world.run(2.0)
    world.remove_engine("server-0")
    world.run(DRAIN_SECONDS)
    for name, daemon in world.daemons.items():
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
