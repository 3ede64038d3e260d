"""Searches of paced services: messages, waits in queues, and what happens when a side fails."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
import pytest

from tests.decisions.slots.harness import GROUP, SLOT_SECONDS, SlotsDaemon, deliver, record
from troutswitch.daemons.messages import (
    GroupDigest,
    HoldingsReport,
    KnownClaim,
    QueuedSlotRequest,
    SlotDenied,
    SlotReply,
    SlotRequest,
    SlotRequestWithdrawn,
    engine_key,
)
from troutswitch.decisions.forwarding.placer import AssignedBy, Assignment, NoSlotInTime, Placement
from troutswitch.decisions.forwarding.wait_estimate import WaitEstimate
from troutswitch.decisions.slots.coordinator import GRACE_SECONDS
from troutswitch.decisions.slots.coordinator_health import SUSPECT_MISSES
from troutswitch.decisions.slots.queued_requests import (
    FIRST_REPEATS_SECONDS,
    NEXT_COORDINATOR_SECONDS,
    REPEAT_SECONDS,
    REPLY_TIMEOUT_SECONDS,
)
from troutswitch.decisions.slots.reports import REPORT_SECONDS
from troutswitch.decisions.slots.slot_queue import SILENT_ENTRY_SECONDS

NOW = 5.0
T = TypeVar("T")


def fleet(*names: str, engines: int = 1, slots: int = 1) -> list[SlotsDaemon]:
    """Returns daemons of which the first coordinates the group of the service."""
    records = [record(f"s{n}", slots=slots) for n in range(engines)]
    daemons = [SlotsDaemon(name, records) for name in names]
    daemons[0].coordinate(NOW, *daemons[1:])
    for daemon in daemons:
        daemon.make_paced(NOW)
        daemon.messages()
    return daemons


def learn_queue(coordinator: SlotsDaemon, *peers: SlotsDaemon) -> None:
    """Lets peers know that a coordinator queues requests."""
    identity = coordinator.fleet.queues._identity
    for peer in peers:
        peer.fleet.queueing.on_message(identity.name, identity.incarnation, queues=True)


def full_pair() -> tuple[SlotsDaemon, SlotsDaemon]:
    """Returns a coordinator and a peer whose request 1 has the only slot; 2 is queued."""
    coordinator, peer = fleet("c", "p")
    for token in (1, 2):
        peer.queue_slot(NOW, token)
        deliver(NOW, coordinator, peer)
    assert list(peer.online) == [1]
    return coordinator, peer


def recorded(kind: type[T], messages: list[T]) -> Callable[[object], bool]:
    """Returns a filter for `deliver` that keeps all messages and records those of a kind."""

    def keep(message: object) -> bool:
        if isinstance(message, kind):
            messages.append(message)
        return True

    return keep


def play(until: float, start: float, *daemons: SlotsDaemon, step: float = 0.005) -> None:
    now = start
    while now < until:
        now += step
        for daemon in daemons:
            daemon.tick(now)
        deliver(now, *daemons)


def placement_of(daemon: SlotsDaemon, token: int) -> Placement | None:
    placements = [placement for placed, placement in daemon.placements if placed == token]
    assert len(placements) <= 1, "a search ended twice"
    return placements[0] if placements else None


def assigned_by(daemon: SlotsDaemon, token: int) -> AssignedBy | None:
    placement = placement_of(daemon, token)
    return placement.assigned_by if isinstance(placement, Assignment) else None


def test_a_request_that_finds_a_slot_takes_two_datagrams_as_without_a_pace() -> None:
    counts: list[int] = []
    for is_paced in (False, True):
        coordinator, peer = fleet("c", "p")
        if is_paced:
            peer.queue_slot(NOW, 1)
        else:
            peer.request_slot(NOW, 1)
        counts.append(deliver(NOW, coordinator, peer))
    assert counts == [2, 2]


def test_a_request_takes_two_datagrams_at_a_coordinator_that_is_known_to_queue() -> None:
    coordinator, peer = fleet("c", "p")
    learn_queue(coordinator, peer)
    sent: list[QueuedSlotRequest] = []
    peer.queue_slot(NOW, 1)
    assert deliver(NOW, coordinator, peer, keep=recorded(QueuedSlotRequest, sent)) == 2
    assert len(sent) == 1


def of_earlier_version(coordinator: SlotsDaemon, *peers: SlotsDaemon) -> Callable[[float], None]:
    """Returns a `deliver` to a coordinator that knows no queue: it ignores messages about them."""

    def deliver_all(now: float) -> None:
        while any(daemon.outbox for daemon in (coordinator, *peers)):
            for sent in coordinator.outbox:
                if isinstance(sent.message, SlotReply):
                    message = msgspec.structs.replace(sent.message, queues=False)
                    for peer in peers:
                        if peer.address in sent.addresses:
                            peer.receive(now, message)
            coordinator.outbox = []
            for peer in peers:
                outbox, peer.outbox = peer.outbox, []
                for sent in outbox:
                    if isinstance(sent.message, HoldingsReport | SlotRequest):
                        coordinator.receive(now, sent.message)

    return deliver_all


def test_a_coordinator_of_an_earlier_version_is_sent_no_queued_requests() -> None:
    """Failure: it ignores them; each timed out, and its group was claimed again and again."""
    coordinator, peer = fleet("c", "p")
    deliver_all = of_earlier_version(coordinator, peer)
    now = NOW
    for token in range(1, 20):
        now += 0.05
        peer.queue_slot(now, token)
        deliver_all(now)
        peer.tick(now + REPLY_TIMEOUT_SECONDS)
        deliver_all(now + REPLY_TIMEOUT_SECONDS)
    assert assigned_by(peer, 1) is AssignedBy.COORDINATOR
    assert placement_of(peer, 19) == NoSlotInTime(WaitEstimate(SLOT_SECONDS, 1, 1, 0.0))
    assert not {"slot request not answered", "coordinator suspected"} & set(peer.log_events)


def test_a_daemon_that_restarts_with_an_earlier_version_is_suspected_once() -> None:
    """Failure: a rollback while its peers still count on its queue."""
    coordinator, peer = fleet("c", "p")
    learn_queue(coordinator, peer)
    deliver_all = of_earlier_version(coordinator, peer)
    now = NOW
    for token in range(1, 100):
        now += 0.1
        peer.queue_slot(now, token)
        deliver_all(now)
        peer.tick(now + REPLY_TIMEOUT_SECONDS)
        deliver_all(now + REPLY_TIMEOUT_SECONDS)
    assert peer.log_events.count("coordinator suspected") == 1
    assert peer.log_events.count("slot request not answered") == SUSPECT_MISSES


def test_a_message_of_another_incarnation_ends_what_is_known_of_a_queue() -> None:
    coordinator, peer = fleet("c", "p")
    learn_queue(coordinator, peer)
    incarnation = coordinator.fleet.queues._identity.incarnation
    peer.receive(NOW, GroupDigest("c", incarnation, GROUP, (), 0, 0))
    assert peer.fleet.queueing.queues("c")
    peer.receive(NOW, GroupDigest("c", incarnation + 1, GROUP, (), 0, 0))
    assert not peer.fleet.queueing.queues("c")
    peer.queue_slot(NOW, 1)
    assert [type(message) for message in peer.messages()] == [SlotRequest]


def test_services_without_a_pace_send_the_same_messages_as_before() -> None:
    records = [record("s0")]
    coordinator, peer = SlotsDaemon("c", records), SlotsDaemon("p", records)
    coordinator.coordinate(NOW, peer)
    peer.queue_slot(NOW, 1)
    assert [type(message) for message in peer.messages()] == [SlotRequest]


def test_a_queued_request_gets_the_slot_that_becomes_free() -> None:
    coordinator, peer = full_pair()
    peer.end_request(NOW + 0.05, 1)
    play(NOW + 0.05 + 2 * REPORT_SECONDS, NOW + 0.05, coordinator, peer)
    assert assigned_by(peer, 2) is AssignedBy.COORDINATOR
    assert {"slot request queued", "slot granted after wait"} <= set(peer.log_events)


def test_groups_are_tried_before_a_request_queues_at_the_shortest_wait() -> None:
    records = [record(f"a{n}", zone="a", slots=1) for n in range(9)]
    records += [record(f"b{n}", zone="b", slots=2) for n in range(9)]
    here, there = SlotsDaemon("here", records, "a"), SlotsDaemon("there", records, "b")
    peer = SlotsDaemon("peer", records, "a")
    here.coordinate(NOW, there, peer, group="service|a|0", offset=1)
    there.coordinate(NOW, here, peer, group="service|b|0", offset=2)
    for daemon in (here, there, peer):
        daemon.make_paced(NOW)
    for token in range(27):
        peer.queue_slot(NOW, token)
        deliver(NOW, here, there, peer)
    assert len(peer.online) == 27
    now = NOW + 0.2
    for token in range(9):
        peer.end_request(now, token)
    for token in range(100, 109):
        peer.queue_slot(now, token)
        deliver(now, here, there, peer)
    assert len(peer.online) == 27
    peer.queue_slot(now, 99)
    sent: list[QueuedSlotRequest] = []
    deliver(
        now,
        here,
        there,
        peer,
        keep=recorded(QueuedSlotRequest, sent),
    )
    assert [(m.group, m.may_queue) for m in sent] == [
        ("service|a|0", False),
        ("service|b|0", False),
        ("service|b|0", True),
    ]


@pytest.mark.parametrize("ended_after", range(0, 100, 10))
def test_a_free_slot_goes_to_a_queued_request_before_a_batch_item(ended_after: int) -> None:
    """Failure: an item was started in the slot and stopped at once for the queued request."""
    coordinator, peer = fleet("c", "p")
    peer.queue_slot(NOW, 1)
    deliver(NOW, coordinator, peer)
    play(NOW + GRACE_SECONDS, NOW, coordinator, peer)
    now = NOW + GRACE_SECONDS
    peer.queue_slot(now, 2)
    deliver(now, coordinator, peer)
    coordinator.waiting = 3
    end = now + 0.1 + ended_after / 1000
    play(end, now, coordinator, peer)
    peer.end_request(end, 1)
    play(end + 0.1, end, coordinator, peer)
    assert assigned_by(peer, 2) is AssignedBy.COORDINATOR
    assert "item to yield" not in coordinator.log_events


def test_a_queued_request_is_repeated_and_its_messages_are_bounded() -> None:
    coordinator, peer = full_pair()
    sent_at: list[float] = []
    now = NOW
    while now < NOW + 1.5:
        now += 0.005
        for daemon in (coordinator, peer):
            daemon.tick(now)
        requests = [m for m in peer.outbox if isinstance(m.message, QueuedSlotRequest)]
        sent_at += [now - NOW] * len(requests)
        deliver(now, coordinator, peer)
    later = FIRST_REPEATS_SECONDS[-1] + REPEAT_SECONDS
    expected = [*FIRST_REPEATS_SECONDS, later, later + REPEAT_SECONDS]
    assert sent_at == pytest.approx(expected, abs=0.02)


@pytest.mark.parametrize("queued_for", [0.05, 0.25, 0.6])
def test_a_dead_coordinator_delays_a_request_until_the_next_repetition_at_most(
    queued_for: float,
) -> None:
    """Failure: the coordinator is killed, suspended or partitioned while requests wait."""
    coordinator, peer = full_pair()
    play(NOW + queued_for, NOW, coordinator, peer)
    play(NOW + queued_for + REPEAT_SECONDS + REPLY_TIMEOUT_SECONDS + 0.01, NOW + queued_for, peer)
    assert assigned_by(peer, 2) is AssignedBy.FALLBACK
    assert "queue not confirmed" in peer.log_events


def test_a_suspended_coordinator_that_goes_on_sends_no_request_twice() -> None:
    """Its late grant is returned, so that the slot does not stay empty."""
    coordinator, peer = full_pair()
    play(NOW + 0.2, NOW, peer)
    assert assigned_by(peer, 2) is AssignedBy.FALLBACK
    peer.end_request(NOW + 0.2, 1)
    peer.end_request(NOW + 0.2, 2)
    play(NOW + 0.5, NOW + 0.2, coordinator, peer)
    assert len(peer.placements) == 2
    assert coordinator.engine("s0").online_count() == 0


def test_an_unanswered_first_message_falls_back_as_without_a_pace() -> None:
    coordinator, peer = fleet("c", "p")
    learn_queue(coordinator, peer)
    peer.queue_slot(NOW, 1)
    assert peer.fleet.requests.next_due() == pytest.approx(NOW + REPLY_TIMEOUT_SECONDS)
    peer.tick(NOW + REPLY_TIMEOUT_SECONDS)
    assert assigned_by(peer, 1) is AssignedBy.FALLBACK
    assert "slot request not answered" in peer.log_events
    withdrawn = [m for m in peer.messages() if isinstance(m, SlotRequestWithdrawn)]
    assert len(withdrawn) == 1


def test_a_new_coordinator_gets_the_queue_with_the_repetitions() -> None:
    """Failure: two coordinators at once, and a new one that begins with an empty queue."""
    old, new, peer = fleet("c", "d", "p")
    for token in (1, 2):
        peer.queue_slot(NOW, token)
        deliver(NOW, old, new, peer)
    claim = KnownClaim(GROUP, "d", new.address, 2)
    for daemon in (new, peer):
        daemon.fleet.claims.add_claims((claim,))
    play(NOW + 0.2, NOW, old, new, peer)
    assert [len(d.fleet.queues._queues[GROUP].queue) for d in (old, new)] == [0, 1]
    peer.end_request(NOW + 0.2, 1)
    play(NOW + 0.25, NOW + 0.2, old, new, peer)
    assert assigned_by(peer, 2) is AssignedBy.COORDINATOR


def test_a_grant_of_the_former_coordinator_takes_the_request_out_of_the_new_queue() -> None:
    old, new, peer = fleet("c", "d", "p")
    for token in (1, 2):
        peer.queue_slot(NOW, token)
        deliver(NOW, old, new, peer)
    peer.fleet.claims.add_claims((KnownClaim(GROUP, "d", new.address, 2),))
    new.fleet.claims.add_claims((KnownClaim(GROUP, "d", new.address, 2),))
    new.tick(NOW)
    play(NOW + 0.2, NOW, new, peer)
    queue = new.fleet.queues._queues[GROUP].queue
    assert len(queue) == 1
    awaited = next(iter(queue.entries)).number
    late = SlotReply("c", 9, awaited, GROUP, 7, engine_key("s0"), 0, 0, 1)
    peer.receive(NOW + 0.2, late)
    deliver(NOW + 0.2, new, peer)
    assert assigned_by(peer, 2) is AssignedBy.COORDINATOR
    assert len(queue) == 0


def test_a_planned_stop_ends_no_request_unplaced() -> None:
    coordinator, peer = full_pair()
    coordinator.fleet.drain()
    play(NOW + NEXT_COORDINATOR_SECONDS + 0.03, NOW, coordinator, peer)
    assert assigned_by(peer, 2) is AssignedBy.FALLBACK


def test_requests_move_to_the_next_coordinator_after_a_planned_stop() -> None:
    """Failure: all queued requests were sent to engines at the moment of the stop."""
    coordinator, successor, peer = fleet("c", "d", "p")
    for token in range(1, 6):
        peer.queue_slot(NOW, token, expiry=5.0)
        deliver(NOW, coordinator, successor, peer)
    coordinator.fleet.drain()
    play(NOW + 0.1, NOW, coordinator, successor, peer)
    claim = KnownClaim(GROUP, "d", successor.address, 2)
    for daemon in (successor, peer):
        daemon.fleet.claims.add_claims((claim,))
    play(NOW + 0.15, NOW + 0.1, coordinator, successor, peer)
    assert list(peer.online) == [1]
    assert len(successor.fleet.queues._queues[GROUP].queue) == 4
    peer.end_request(NOW + 0.15, 1)
    play(NOW + 0.2, NOW + 0.15, coordinator, successor, peer)
    assert assigned_by(peer, 2) is AssignedBy.COORDINATOR
    assert list(peer.online) == [2]


def test_a_caller_that_leaves_after_a_planned_stop_is_forgotten() -> None:
    coordinator, peer = full_pair()
    coordinator.fleet.drain()
    play(NOW + 0.05, NOW, coordinator, peer)
    peer.fleet.requests.withdraw(NOW + 0.05, 2)
    play(NOW + 1.0, NOW + 0.05, coordinator, peer)
    assert placement_of(peer, 2) is None
    assert not peer.fleet.requests._queued.open_tokens


def test_own_queued_requests_move_to_the_next_coordinator() -> None:
    coordinator, peer = fleet("c", "p")
    for token in (1, 2):
        coordinator.queue_slot(NOW, token)
    assert list(coordinator.online) == [1]
    for daemon in (peer, coordinator):
        daemon.fleet.claims.add_claims((KnownClaim(GROUP, "p", peer.address, 2),))
        daemon.tick(NOW + 0.01)
    play(NOW + 0.2, NOW + 0.01, coordinator, peer)
    assert len(peer.fleet.queues._queues[GROUP].queue) == 1
    coordinator.end_request(NOW + 0.2, 1)
    play(NOW + 0.25, NOW + 0.2, coordinator, peer)
    assert assigned_by(coordinator, 2) is AssignedBy.COORDINATOR


def test_a_peers_request_stays_queued_when_its_daemon_becomes_the_coordinator() -> None:
    coordinator, peer = full_pair()
    for daemon in (peer, coordinator):
        daemon.fleet.claims.add_claims((KnownClaim(GROUP, "p", peer.address, 2),))
    play(NOW + 0.2, NOW, coordinator, peer)
    assert placement_of(peer, 2) is None
    peer.end_request(NOW + 0.2, 1)
    play(NOW + 0.25, NOW + 0.2, coordinator, peer)
    assert assigned_by(peer, 2) is AssignedBy.COORDINATOR


def test_a_caller_that_leaves_is_taken_out_of_the_queue_at_once() -> None:
    coordinator, peer = full_pair()
    peer.fleet.requests.withdraw(NOW + 0.01, 2)
    assert deliver(NOW + 0.01, coordinator, peer) == 1
    assert len(coordinator.fleet.queues._queues[GROUP].queue) == 0
    play(NOW + 1.0, NOW + 0.01, coordinator, peer)
    assert placement_of(peer, 2) is None


def test_a_grant_after_the_withdrawal_is_returned() -> None:
    coordinator, peer = full_pair()
    peer.end_request(NOW + 0.05, 1)
    peer.tick(NOW + 0.05 + REPORT_SECONDS)
    peer.fleet.requests.withdraw(NOW + 0.06, 2)
    reports = [sent for sent in peer.outbox if isinstance(sent.message, HoldingsReport)]
    peer.outbox = []
    coordinator.receive(NOW + 0.07, reports[0].message)
    coordinator.tick(NOW + 0.07)
    assert coordinator.engine("s0").online_count() == 1
    deliver(NOW + 0.07, coordinator, peer)
    play(NOW + 0.1, NOW + 0.07, coordinator, peer)
    assert placement_of(peer, 2) is None
    assert coordinator.engine("s0").online_count() == 0


def test_requests_of_a_dead_daemon_leave_the_queue() -> None:
    """Failure: a daemon with queued requests is killed."""
    coordinator, dead, peer = fleet("c", "dead", "p")
    peer.queue_slot(NOW, 1)
    deliver(NOW, coordinator, dead, peer)
    dead.queue_slot(NOW, 5, expiry=60.0)
    deliver(NOW, coordinator, dead, peer)
    play(NOW + SILENT_ENTRY_SECONDS + 0.1, NOW, coordinator, peer)
    assert len(coordinator.fleet.queues._queues[GROUP].queue) == 0


def test_a_denial_ends_the_search_with_the_coordinators_time() -> None:
    coordinator, peer = full_pair()
    peer.queue_slot(NOW, 3, expiry=0.2)
    denials: list[SlotDenied] = []
    deliver(
        NOW,
        coordinator,
        peer,
        keep=recorded(SlotDenied, denials),
    )
    placement = placement_of(peer, 3)
    assert isinstance(placement, NoSlotInTime)
    assert placement.retry_after == denials[0].retry_after_ms / 1000
    assert "slot request denied" in peer.log_events


def test_the_coordinators_own_request_is_denied_in_the_same_step() -> None:
    (coordinator,) = fleet("c")
    coordinator.queue_slot(NOW, 1)
    coordinator.queue_slot(NOW, 2, expiry=0.2)
    placement = placement_of(coordinator, 2)
    assert isinstance(placement, NoSlotInTime)
    assert placement.retry_after is not None


def test_a_request_without_an_engine_falls_back_to_none() -> None:
    coordinator, peer = full_pair()
    peer.engines.mark_draining("s0")
    peer.end_request(NOW + 0.05, 1)
    play(NOW + 0.1, NOW + 0.05, coordinator, peer)
    assert not isinstance(placement_of(peer, 2), Assignment)


def test_an_own_request_that_can_use_no_engine_any_more_leaves_the_queue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    (coordinator,) = fleet("c")
    coordinator.queue_slot(NOW, 1)
    coordinator.queue_slot(NOW, 2)
    assert placement_of(coordinator, 2) is None
    monkeypatch.setattr(coordinator, "candidates", lambda now, token: [])
    play(NOW + FIRST_REPEATS_SECONDS[0] + 0.02, NOW, coordinator)
    assert assigned_by(coordinator, 2) is AssignedBy.FALLBACK
