"""No record in the platform's topics ends a daemon, or hides the records beside it."""

from hypothesis import example, given
from hypothesis import strategies as st

from tests.proofs.test_untrusted_values import (
    FLEET_EXAMPLES,
    ITEMS,
    START_SECONDS,
    check_sound_work,
)
from tests.simulation.platform_fleet import CONFIGURATION, ENGINES, SLOTS, PlatformFleet
from tests.test_decoders import JSON, JSON_FRAGMENTS, PLACES, changed_json
from troutswitch.platform.configuration import FormatError, decode_configuration
from troutswitch.platform.names import CONFIGURATION_KEY

KEYS = st.sampled_from(["", "x", "server-0@1", "\u20ac", "\ufffd" * 80, "a b", "i" * 250, "\x00"])
ENTRIES = st.builds(
    lambda place, is_added, fragment: changed_json(
        JSON["platform.configuration.decode_engine"], place, is_added, fragment
    ),
    PLACES,
    st.booleans(),
    JSON_FRAGMENTS,
)
CONFIGURATIONS = st.builds(
    lambda place, is_added, fragment: changed_json(
        JSON["platform.configuration.decode_configuration"], place, is_added, fragment
    ),
    PLACES,
    st.booleans(),
    JSON_FRAGMENTS,
)


def sound_fleet() -> PlatformFleet:
    fleet = PlatformFleet(1, daemons=2)
    fleet.run(START_SECONDS)
    fleet.submit_job("job", ITEMS)
    fleet.run(0.5)
    return fleet


def listed_engines(fleet: PlatformFleet) -> list[set[str]]:
    return [set(daemon.core.engines.engines) for daemon in fleet.daemons.values()]


NESTED = b"[" * 30_000 + b"]" * 30_000
ENTRY_WITH_NESTED_FIELD = changed_json(
    JSON["platform.configuration.decode_engine"], 0, True, NESTED
)


@FLEET_EXAMPLES
@example([("nested", ENTRY_WITH_NESTED_FIELD)])
@given(st.lists(st.tuples(KEYS, ENTRIES), min_size=1, max_size=20))
def test_engine_list_is_followed_beside_entries_of_another_writer(
    rows: list[tuple[str, bytes]],
) -> None:
    fleet = sound_fleet()
    for number, (key, value) in enumerate(rows):
        fleet.write(ENGINES, f"{key}{number}", value)
    fleet.run(1.0)
    fleet.register_engine("server-9", SLOTS)
    fleet.remove_engine("server-1")
    fleet.start_daemon("daemon-2", 0)
    check_sound_work(fleet)
    for engines in listed_engines(fleet):
        assert {"server-0", "server-2", "server-9"} <= engines
        assert "server-1" not in engines


@FLEET_EXAMPLES
@given(st.lists(CONFIGURATIONS, min_size=1, max_size=5))
def test_next_configuration_is_in_force_after_malformed_ones(values: list[bytes]) -> None:
    fleet = sound_fleet()
    for value in values:
        if is_malformed(value):
            fleet.write(CONFIGURATION, CONFIGURATION_KEY, value)
    fleet.run(1.0)
    assert [daemon.core.routes.version for daemon in fleet.daemons.values()] == [1, 1]
    fleet.publish(2)
    check_sound_work(fleet)
    assert [daemon.core.routes.version for daemon in fleet.daemons.values()] == [2, 2]


def is_malformed(value: bytes) -> bool:
    try:
        decode_configuration(value)
    except FormatError:
        return True
    return False
