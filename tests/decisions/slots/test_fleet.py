"""When batch items wait for a place to be granted, and when they start without."""

from tests.decisions.slots.worlds import GROUP, SlotsOf, deliver, incarnation_of, record
from troutswitch.daemons.messages import BatchSlotGrant, engine_key
from troutswitch.decisions.slots.batch_coordination import UNCOORDINATED_SECONDS
from troutswitch.decisions.slots.coordinator import DIGEST_SECONDS

NOW = 5.0
TICK = 0.05


def pair() -> tuple[SlotsOf, SlotsOf]:
    records = [record(f"s{n}") for n in range(2)]
    first, second = SlotsOf("first", records), SlotsOf("second", records)
    first.coordinate(NOW, second)
    first.messages()
    second.messages()
    return first, second


def looks(daemon: SlotsOf, now: float, seconds: float) -> list[bool]:
    """Looks again and again whether places at an engine are granted."""
    return [
        daemon.fleet.is_coordinated(now + tick * TICK, "s0") for tick in range(int(seconds / TICK))
    ]


def test_after_a_quiet_time_items_wait_for_the_coordinator_s_word() -> None:
    _, second = pair()
    assert all(looks(second, NOW, UNCOORDINATED_SECONDS))
    later = NOW + 60.0
    assert all(looks(second, later, UNCOORDINATED_SECONDS))


def test_items_start_without_a_coordinator_that_stays_silent() -> None:
    _, second = pair()
    seen = looks(second, NOW, 2 * UNCOORDINATED_SECONDS)
    assert not seen[-1]
    assert seen.index(False) >= UNCOORDINATED_SECONDS / TICK


def test_a_coordinator_that_tells_digests_is_waited_for() -> None:
    first, second = pair()
    second.waiting = 3
    now = NOW
    for _ in range(int(4 * UNCOORDINATED_SECONDS / DIGEST_SECONDS)):
        now += DIGEST_SECONDS
        second.tick(now)
        deliver(now, first, second)
        first.tick(now)
        deliver(now, first, second)
        assert second.fleet.is_coordinated(now, "s0")


def test_the_coordinator_itself_grants_its_own_places() -> None:
    first, _ = pair()
    assert all(looks(first, NOW, 3 * UNCOORDINATED_SECONDS))


def test_places_of_a_daemon_that_does_not_coordinate_are_not_used() -> None:
    _, second = pair()
    second.waiting = 3
    second.take(NOW, BatchSlotGrant("stranger", 1, GROUP, 1, engine_key("s0"), 3))
    assert second.items == []
    assert "grant of another coordinator" in second.lines


def test_a_word_that_comes_twice_is_taken_once() -> None:
    _, second = pair()
    second.waiting = 9
    grant = BatchSlotGrant("first", incarnation_of("first"), GROUP, 1, engine_key("s0"), 2)
    second.take(NOW, grant)
    second.take(NOW, grant)
    assert len(second.items) == 2
