"""Batch items wait for a coordinator's grants, or start without them if it is silent."""

from tests.decisions.slots.worlds import SlotsDaemon, deliver, record
from troutswitch.decisions.slots.batch_coordination import UNCOORDINATED_SECONDS
from troutswitch.decisions.slots.coordinator import DIGEST_SECONDS

NOW = 5.0
TICK = 0.05


def pair() -> tuple[SlotsDaemon, SlotsDaemon]:
    records = [record(f"s{n}") for n in range(2)]
    first, second = SlotsDaemon("first", records), SlotsDaemon("second", records)
    first.coordinate(NOW, second)
    first.messages()
    second.messages()
    return first, second


def coordinated_over(daemon: SlotsDaemon, now: float, seconds: float) -> list[bool]:
    """Checks at intervals whether items at an engine need a coordinator's grant."""
    return [
        daemon.fleet.is_coordinated(now + tick * TICK, "s0") for tick in range(int(seconds / TICK))
    ]


def test_items_wait_for_grants_again_after_a_time_without_waiting_items() -> None:
    _, second = pair()
    assert all(coordinated_over(second, NOW, UNCOORDINATED_SECONDS))
    later = NOW + 60.0
    assert all(coordinated_over(second, later, UNCOORDINATED_SECONDS))


def test_items_start_without_grants_if_the_coordinator_stays_silent() -> None:
    _, second = pair()
    coordinated = coordinated_over(second, NOW, 2 * UNCOORDINATED_SECONDS)
    assert not coordinated[-1]
    assert coordinated.index(False) >= UNCOORDINATED_SECONDS / TICK


def test_items_wait_for_a_coordinator_that_sends_digests() -> None:
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


def test_items_of_the_coordinator_always_wait_for_its_own_grants() -> None:
    first, _ = pair()
    assert all(coordinated_over(first, NOW, 3 * UNCOORDINATED_SECONDS))
