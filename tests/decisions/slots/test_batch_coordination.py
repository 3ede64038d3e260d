"""When batch items wait for a slot to be granted, and when they start without."""

from tests.decisions.slots.worlds import SlotsOf, deliver, record
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


def checks(daemon: SlotsOf, now: float, seconds: float) -> list[bool]:
    """Checks at intervals whether slots at an engine are granted by a coordinator."""
    return [
        daemon.fleet.is_coordinated(now + tick * TICK, "s0") for tick in range(int(seconds / TICK))
    ]


def test_after_a_time_without_need_items_wait_for_the_coordinator_s_grants() -> None:
    _, second = pair()
    assert all(checks(second, NOW, UNCOORDINATED_SECONDS))
    later = NOW + 60.0
    assert all(checks(second, later, UNCOORDINATED_SECONDS))


def test_items_start_without_a_coordinator_that_stays_silent() -> None:
    _, second = pair()
    seen = checks(second, NOW, 2 * UNCOORDINATED_SECONDS)
    assert not seen[-1]
    assert seen.index(False) >= UNCOORDINATED_SECONDS / TICK


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


def test_the_coordinator_grants_its_own_items_slots() -> None:
    first, _ = pair()
    assert all(checks(first, NOW, 3 * UNCOORDINATED_SECONDS))
