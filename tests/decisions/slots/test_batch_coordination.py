"""Batch items wait for a coordinator's grants, or start without them if it is silent."""

from tests.decisions.slots.harness import SlotsDaemon, deliver, record
from troutswitch.decisions.slots.batch_coordination import UNCOORDINATED_SECONDS
from troutswitch.decisions.slots.coordinator import DIGEST_SECONDS

NOW = 5.0
TICK = 0.05


def pair() -> tuple[SlotsDaemon, SlotsDaemon]:
    records = [record(f"s{n}") for n in range(2)]
    coordinator, peer = SlotsDaemon("first", records), SlotsDaemon("second", records)
    coordinator.coordinate(NOW, peer)
    coordinator.messages()
    peer.messages()
    return coordinator, peer


def coordinated_over(daemon: SlotsDaemon, now: float, seconds: float) -> list[bool]:
    """Checks at intervals whether items at an engine need a coordinator's grant."""
    return [
        daemon.fleet.is_coordinated(now + tick * TICK, "s0") for tick in range(int(seconds / TICK))
    ]


def test_items_wait_for_grants_again_after_a_time_without_waiting_items() -> None:
    _, peer = pair()
    assert all(coordinated_over(peer, NOW, UNCOORDINATED_SECONDS))
    later = NOW + 60.0
    assert all(coordinated_over(peer, later, UNCOORDINATED_SECONDS))


def test_items_start_without_grants_if_the_coordinator_stays_silent() -> None:
    _, peer = pair()
    coordinated = coordinated_over(peer, NOW, 2 * UNCOORDINATED_SECONDS)
    assert not coordinated[-1]
    assert coordinated.index(False) >= UNCOORDINATED_SECONDS / TICK


def test_items_wait_for_a_coordinator_that_sends_digests() -> None:
    coordinator, peer = pair()
    peer.waiting = 3
    now = NOW
    for _ in range(int(4 * UNCOORDINATED_SECONDS / DIGEST_SECONDS)):
        now += DIGEST_SECONDS
        peer.tick(now)
        deliver(now, coordinator, peer)
        coordinator.tick(now)
        deliver(now, coordinator, peer)
        assert peer.fleet.is_coordinated(now, "s0")


def test_items_of_the_coordinator_always_wait_for_its_own_grants() -> None:
    coordinator, _ = pair()
    assert all(coordinated_over(coordinator, NOW, 3 * UNCOORDINATED_SECONDS))
