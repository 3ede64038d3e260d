"""The coordinator's side of a queue, message by message."""

import pytest

from tests.decisions.slots.harness import (
    GROUP,
    SLOT_SECONDS,
    SlotsDaemon,
    address_of,
    deliver,
    record,
)
from troutswitch.daemons.messages import (
    NO_ENGINE,
    EngineShare,
    HoldingsReport,
    QueuedSlotRequest,
    SlotDenied,
    SlotQueued,
    SlotReply,
    SlotRequestWithdrawn,
    engine_key,
)
from troutswitch.decisions.forwarding.placer import Assignment
from troutswitch.decisions.slots.queue_coordinator import (
    CHECK_SECONDS,
    SERVE_SECONDS,
    QueueAnswer,
)
from troutswitch.decisions.slots.slot_queue import QUEUE_SLOT_MULTIPLE, SILENT_ENTRY_SECONDS

NOW = 5.0
KEY = engine_key("s0")


class Peers:
    """Two peers that send messages to a coordinator of one engine."""

    def __init__(self, slots: int = 1) -> None:
        self.coordinator = SlotsDaemon("c", [record("s0", slots=slots)])
        self.coordinator.coordinate(NOW)
        self.coordinator.make_paced(NOW)
        self.coordinator.tick(NOW)
        self.coordinator.messages()
        self.sequences = {"p": 0, "q": 0}

    def report(self, sender: str, online: int, last_grant: int = 0) -> HoldingsReport:
        self.sequences[sender] += 1
        shares = (EngineShare(KEY, online, 0, 0),) if online else ()
        own_incarnation = self.coordinator.fleet.queues._identity.incarnation
        return HoldingsReport(
            sender,
            "z",
            address_of(sender),
            1,
            self.sequences[sender],
            shares,
            coordinator_incarnation=own_incarnation,
            last_grant_seen=last_grant,
        )

    def ask(
        self,
        number: int,
        now: float = NOW,
        *,
        sender: str = "p",
        online: int = 0,
        last_grant: int | None = None,
        max_wait_ms: int = 300,
        expires_ms: int = 1700,
        flow: str = "flow",
        may_queue: bool = True,
        is_returned: bool = False,
    ) -> list[QueueAnswer]:
        """Sends a request; returns the answers to all requests that follow from it."""
        message = QueuedSlotRequest(
            self.report(sender, online, online if last_grant is None else last_grant),
            (),
            number,
            GROUP,
            0,
            max_wait_ms,
            expires_ms,
            flow,
            0,
            may_queue,
            is_returned=is_returned,
        )
        self.coordinator.receive(now, message)
        return self.answers()

    def free(self, now: float, sender: str = "p", last_grant: int = 1) -> list[QueueAnswer]:
        """Reports that the sender has no requests at the engine any more."""
        self.coordinator.receive(now, self.report(sender, 0, last_grant))
        self.coordinator.tick(now)
        return self.answers()

    def answers(self) -> list[QueueAnswer]:
        kinds = (SlotReply, SlotQueued, SlotDenied)
        return [m for m in self.coordinator.messages() if isinstance(m, kinds)]


def granted(answers: list[QueueAnswer]) -> list[int]:
    return [a.number for a in answers if isinstance(a, SlotReply) and a.engine_key != NO_ENGINE]


def test_a_free_slot_is_granted_at_once_with_one_message() -> None:
    (answer,) = Peers().ask(1)
    assert isinstance(answer, SlotReply)
    assert (answer.engine_key, answer.grant_number) == (KEY, 1)


def test_a_request_without_a_slot_is_queued_and_granted_when_one_is_free() -> None:
    peers = Peers()
    peers.ask(1)
    (queued,) = peers.ask(2, online=1)
    assert isinstance(queued, SlotQueued)
    assert queued.position == 1
    assert queued.wait_ms == round(SLOT_SECONDS * 1000)
    assert granted(peers.free(NOW + 0.2)) == [2]


def test_a_request_that_may_not_queue_gets_a_slot_now_or_none() -> None:
    peers = Peers()
    assert granted(peers.ask(1, may_queue=False)) == [1]
    (denied,) = peers.ask(2, online=1, may_queue=False)
    assert isinstance(denied, SlotDenied)
    assert not denied.is_final
    assert denied.slots == 1
    assert peers.free(NOW + 0.2) == []


def test_a_free_slot_goes_to_the_request_with_the_best_claim() -> None:
    """Which daemon asks at the moment at which a slot is free must not matter."""
    peers = Peers()
    peers.ask(1)
    peers.ask(2, online=1, flow="large", max_wait_ms=-1)
    peers.ask(3, sender="q", flow="large")
    assert granted(peers.ask(4, NOW + 0.2, last_grant=1, flow="large", max_wait_ms=-1)) == [3]


def test_returned_callers_go_before_first_tries() -> None:
    peers = Peers()
    peers.ask(1)
    peers.ask(2, online=1)
    peers.ask(3, online=1, max_wait_ms=-1, is_returned=True)
    assert granted(peers.free(NOW + 0.1)) == [3]


def test_a_repeated_number_is_the_same_entry() -> None:
    peers = Peers()
    peers.ask(1)
    peers.ask(2, online=1)
    (again,) = peers.ask(2, NOW + 0.1, online=1)
    assert isinstance(again, SlotQueued)
    assert again.position == 1
    assert granted(peers.free(NOW + 0.2)) == [2]
    assert granted(peers.free(NOW + 0.3, last_grant=2)) == []


def test_a_lost_grant_or_denial_is_sent_again() -> None:
    """Without it a repeated request would be queued again, and granted a second slot."""
    peers = Peers()
    (grant,) = peers.ask(1)
    assert peers.ask(1, NOW + 0.1) == [grant]
    (denied,) = peers.ask(2, NOW + 0.1, online=1, expires_ms=10)
    assert isinstance(denied, SlotDenied)
    assert peers.ask(2, NOW + 0.2, online=1, expires_ms=10) == [denied]


def test_a_request_that_cannot_be_served_is_denied_at_once() -> None:
    """Load: too few slots for what is already queued."""
    peers = Peers()
    peers.ask(1)
    peers.ask(2, online=1)
    (denied,) = peers.ask(3, online=1, expires_ms=600)
    assert isinstance(denied, SlotDenied)
    assert denied.is_final
    assert denied.wait_ms == round(2 * SLOT_SECONDS * 1000)
    assert denied.retry_after_ms >= round(SLOT_SECONDS * 1000)
    assert "queued request denied" in peers.coordinator.log_events


def test_slots_that_were_taken_together_are_expected_together() -> None:
    """By the mean interval alone, a request that expires before any slot is free was kept until
    then: `wait_ms` was 50 with 8 slots that were all free 400 ms later."""
    peers = Peers(slots=8)
    for number in range(1, 9):
        peers.ask(number)
    (denied,) = peers.ask(9, online=8, last_grant=8, expires_ms=300)
    assert isinstance(denied, SlotDenied)
    assert denied.wait_ms == round(SLOT_SECONDS * 1000)


def test_a_queued_request_that_can_no_longer_be_served_is_denied_before_it_expires() -> None:
    peers = Peers()
    peers.ask(1)
    peers.ask(2, online=1, expires_ms=900)
    peers.coordinator.tick(NOW + 0.4)
    assert peers.answers() == []
    peers.coordinator.tick(NOW + 0.4 + 2 * CHECK_SECONDS + 0.1)
    (denied,) = peers.answers()
    assert isinstance(denied, SlotDenied)
    assert denied.is_final


def test_beyond_the_bound_the_last_in_order_is_denied() -> None:
    peers = Peers()
    peers.ask(1)
    for number in range(2, 2 + QUEUE_SLOT_MULTIPLE):
        peers.ask(number, online=1, max_wait_ms=-1, expires_ms=60_000)
    answers = peers.ask(9, online=1, expires_ms=60_000)
    assert [a.number for a in answers if isinstance(a, SlotQueued)] == [9]
    (denied,) = [a for a in answers if isinstance(a, SlotDenied)]
    assert denied.number == 1 + QUEUE_SLOT_MULTIPLE
    assert denied.is_final


def test_a_withdrawn_request_gets_no_slot_and_its_late_copies_are_ignored() -> None:
    peers = Peers()
    peers.ask(1)
    peers.ask(2, online=1)
    peers.coordinator.receive(NOW, SlotRequestWithdrawn("p", 1, 2, GROUP))
    assert peers.ask(2, NOW + 0.01, online=1) == []
    assert granted(peers.free(NOW + 0.2)) == []


def test_a_withdrawal_that_overtakes_its_request_holds() -> None:
    peers = Peers()
    peers.ask(1)
    peers.coordinator.receive(NOW, SlotRequestWithdrawn("p", 1, 2, GROUP))
    assert peers.ask(2, online=1) == []


def test_entries_of_a_dead_daemon_expire() -> None:
    """Failure: the daemon that has queued requests is killed."""
    peers = Peers()
    peers.ask(1)
    peers.ask(2, sender="q", expires_ms=60_000)
    end = NOW + SILENT_ENTRY_SECONDS + CHECK_SECONDS + 0.01
    peers.ask(3, end - 0.1, online=1, last_grant=1, expires_ms=60_000)
    peers.coordinator.tick(end)
    peers.answers()
    assert granted(peers.free(end)) == [3]


def test_a_restarted_daemon_has_none_of_its_former_entries() -> None:
    peers = Peers()
    peers.ask(1)
    peers.ask(2, sender="q")
    restarted = HoldingsReport("q", "z", address_of("q"), 2, 1)
    message = QueuedSlotRequest(restarted, (), 1, GROUP, 0, 300, 1700, "flow", 0, True)
    peers.coordinator.receive(NOW, message)
    (queued,) = peers.answers()
    assert isinstance(queued, SlotQueued)
    assert queued.position == 1
    assert len(peers.coordinator.fleet.queues._queues[GROUP].queue) == 1


def test_a_planned_stop_tells_all_queued_requests() -> None:
    peers = Peers()
    peers.ask(1)
    peers.ask(2, online=1)
    peers.ask(3, sender="q")
    peers.coordinator.fleet.drain()
    peers.coordinator.tick(NOW + 0.01)
    replies = [a for a in peers.answers() if isinstance(a, SlotReply)]
    assert sorted(a.number for a in replies) == [2, 3]
    assert not any(a.is_coordinator for a in replies)
    (reply,) = peers.ask(4)
    assert isinstance(reply, SlotReply)
    assert not reply.is_coordinator


def test_a_daemon_that_never_coordinated_says_so() -> None:
    daemon = SlotsDaemon("d", [record("s0")])
    daemon.tick(NOW)
    report = HoldingsReport("p", "z", address_of("p"), 1, 1)
    daemon.receive(NOW, QueuedSlotRequest(report, (), 1, GROUP, 0, 9, 9, "flow", 0, True))
    (reply,) = [m for m in daemon.messages() if isinstance(m, SlotReply)]
    assert not reply.is_coordinator


def test_a_slot_that_is_free_soon_is_granted_by_the_timer() -> None:
    """A slot counts as free if one is expected within 20 ms; no report announces that."""
    peers = Peers()
    peers.ask(1)
    peers.ask(2, online=1)
    assert peers.coordinator.fleet.queues.next_due() == pytest.approx(NOW + SERVE_SECONDS)
    peers.coordinator.times.of("service").slot_time = 0.01
    peers.coordinator.tick(NOW + SERVE_SECONDS)
    assert granted(peers.answers()) == [2]


def test_batch_items_yield_to_a_queued_request() -> None:
    peers = Peers()
    peers.coordinator.waiting = 1
    peers.coordinator.tick(NOW + 1.0)
    assert len(peers.coordinator.items) == 1
    assert granted(peers.ask(1, NOW + 1.0)) == [1]
    assert peers.coordinator.items == []


def test_own_requests_share_the_queue_without_messages() -> None:
    peers = Peers()
    coordinator = peers.coordinator
    coordinator.queue_slot(NOW, 1)
    coordinator.queue_slot(NOW, 2)
    (behind,) = peers.ask(7)
    assert isinstance(behind, SlotQueued)
    assert behind.position == 2
    coordinator.end_request(NOW + 0.1, 1)
    coordinator.tick(NOW + 0.1)
    assert [token for token, _ in coordinator.placements] == [1, 2]
    assert peers.answers() == []
    coordinator.end_request(NOW + 0.2, 2)
    coordinator.tick(NOW + 0.2)
    assert granted(peers.answers()) == [7]


def test_two_own_grants_never_use_one_slot() -> None:
    """An own grant is counted only when its request is sent, after the step that granted it."""
    coordinator = Peers(slots=4).coordinator
    for token in range(12):
        coordinator.queue_slot(NOW, token)
    assert len(coordinator.online) == 4
    for token in range(2):
        coordinator.end_request(NOW + 0.1, token)
    for _ in range(5):
        coordinator.tick(NOW + 0.1)
        deliver(NOW, coordinator)
    placed = [p for _, p in coordinator.placements if isinstance(p, Assignment)]
    assert len(placed) == 6
    assert coordinator.engine("s0").online_count() == 4


def test_a_request_that_can_use_no_engine_of_the_group_is_not_queued() -> None:
    """Failure: it waited until it expired, while engines of other groups could run it."""
    peers = Peers()
    for is_full in (False, True):
        number = 1 + is_full
        message = QueuedSlotRequest(
            peers.report("p", 0), (), number, GROUP, 0, 300, 1700, "flow", 0, True, (KEY,)
        )
        peers.coordinator.receive(NOW, message)
        (denied,) = peers.answers()
        assert isinstance(denied, SlotDenied)
        assert (denied.is_final, denied.slots) == (False, 0)
        peers.ask(10, sender="q")


def test_a_queued_request_that_can_use_no_engine_any_more_leaves_the_queue() -> None:
    peers = Peers()
    peers.ask(1)
    peers.ask(2, online=1)
    message = QueuedSlotRequest(
        peers.report("p", 1, 1), (), 2, GROUP, 0, 200, 1600, "flow", 0, True, (KEY,)
    )
    peers.coordinator.receive(NOW + 0.1, message)
    (denied,) = peers.answers()
    assert isinstance(denied, SlotDenied)
    assert (denied.is_final, denied.slots) == (False, 0)
    assert len(peers.coordinator.fleet.queues._queues[GROUP].queue) == 0


def test_requests_are_not_refused_while_the_group_has_no_engine() -> None:
    """Failure: a queue without slots has a bound of 0, so each request was refused for it."""
    peers = Peers()
    peers.coordinator.engines.mark_draining("s0")
    (denied,) = peers.ask(1)
    assert isinstance(denied, SlotDenied)
    assert (denied.is_final, denied.slots) == (False, 0)
