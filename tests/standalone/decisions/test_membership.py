"""Membership under pauses, crashes and network partitions, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

import pytest

from troutswitch.common import Address
from troutswitch.standalone.daemons import messages
from troutswitch.standalone.decisions.effects import SendDatagram
from troutswitch.standalone.decisions.members import INCARNATION_STEP, MemberState
from troutswitch.standalone.decisions.membership import Membership

STEP_SECONDS = 0.05


class SimulatedNetwork:
    """Members that exchange datagrams with a delay of at most 20 ms."""

    def __init__(self, count: int) -> None:
        self.now = 100.0
        self.rng = random.Random(7)
        self.sequence_numbers = itertools.count()
        self.in_flight: list[tuple[float, int, Address, Address, messages.Message]] = []
        self.members: dict[Address, Membership] = {}
        self.stopped: set[str] = set()
        self.can_reach: Callable[[str, str], bool] = lambda sender, recipient: True
        addresses = [Address("10.0.0.1", n) for n in range(count)]
        for number, address in enumerate(addresses):
            member = Membership(f"m{number}", INCARNATION_STEP, address, "z", random.Random(number))
            member.set_seeds(addresses)
            self.members[address] = member

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, sender, recipient, message = heapq.heappop(self.in_flight)
                self.deliver(sender, recipient, message)
            for address, member in self.members.items():
                if member.name not in self.stopped and member.next_due() <= self.now:
                    self.send(address, member.on_timer(self.now))

    def send(self, sender: Address, effects: Sequence[object]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                arrival_time = self.now + self.rng.uniform(0.0, 0.02)
                entry = (
                    arrival_time,
                    next(self.sequence_numbers),
                    sender,
                    effect.address,
                    effect.message,
                )
                heapq.heappush(self.in_flight, entry)

    def deliver(self, sender: Address, recipient: Address, message: messages.Message) -> None:
        sender_name, recipient_name = self.members[sender].name, self.members[recipient].name
        if recipient_name in self.stopped or not self.can_reach(sender_name, recipient_name):
            return
        member = self.members[recipient]
        match message:
            case messages.Ping():
                effects = member.on_ping(self.now, sender, message)
            case messages.Ack():
                effects = member.on_ack(self.now, message)
            case messages.IndirectPing():
                effects = member.on_indirect_ping(self.now, sender, message)
            case messages.SyncRequest():
                effects = member.on_sync_request(self.now, sender, message)
            case messages.SyncReply():
                effects = member.on_sync_reply(self.now, sender, message)
            case _:
                raise AssertionError(message)
        self.send(recipient, effects)

    def states_of(self, name: str) -> set[MemberState]:
        return {
            member.members[name].state
            for member in self.members.values()
            if member.name not in self.stopped and name in member.members
        }

    def all_have_live_count(self, count: int) -> bool:
        running = [m for m in self.members.values() if m.name not in self.stopped]
        return all(member.live_count() == count for member in running)


def converged_network(count: int) -> SimulatedNetwork:
    network = SimulatedNetwork(count)
    network.run(8.0)
    assert network.all_have_live_count(count)
    return network


@pytest.mark.parametrize("count", [3, 20, 60])
def test_dead_member_is_known_to_all_members_within_ten_periods(count: int) -> None:
    network = converged_network(count)
    network.stopped.add("m1")
    network.run(5.0)
    assert network.states_of("m1") == {MemberState.DEAD}


def pause_and_resume(network: SimulatedNetwork) -> None:
    network.stopped.add("m1")
    network.run(1.6)
    assert MemberState.SUSPECT in network.states_of("m1")
    network.stopped.discard("m1")
    network.run(6.0)


def test_false_suspicion_is_refuted() -> None:
    network = converged_network(20)
    pause_and_resume(network)
    assert network.states_of("m1") == {MemberState.ALIVE}


def test_paused_member_is_declared_dead_without_refutation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = converged_network(20)
    monkeypatch.setattr(Membership, "_refute", lambda self, now, incarnation, state: [])
    pause_and_resume(network)
    assert MemberState.DEAD in network.states_of("m1")


def partition_and_heal(network: SimulatedNetwork) -> None:
    network.can_reach = lambda sender, recipient: (int(sender[1:]) < 5) == (int(recipient[1:]) < 5)
    network.run(10.0)
    assert not network.all_have_live_count(20)
    network.can_reach = lambda sender, recipient: True
    network.run(8.0)


def test_members_converge_after_a_healed_partition() -> None:
    network = converged_network(20)
    partition_and_heal(network)
    assert network.all_have_live_count(20)


def test_members_stay_partitioned_without_seeds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an unreadable machine list that removes the seeds."""
    network = converged_network(20)
    for member in network.members.values():
        member.set_seeds([])
    partition_and_heal(network)
    assert not network.all_have_live_count(20)


def test_restarted_member_has_a_different_identity() -> None:
    network = converged_network(5)
    member = next(iter(network.members.values()))
    assert member.is_alive_incarnation("m1#1")
    assert not member.is_alive_incarnation("m1#2")
    update = messages.MemberUpdate("m1", 2 * INCARNATION_STEP, "alive", "10.0.0.1:1", "z")
    member.on_sync_reply(network.now, Address("10.0.0.1", 1), messages.SyncReply("m1", [update]))
    assert not member.is_alive_incarnation("m1#1")
    assert member.is_alive_incarnation("m1#2")


def state_after_observer_pause() -> MemberState:
    """Returns the state of a suspected member after a pause of five seconds of the observer."""
    rng = random.Random(1)
    me, other = Address("10.0.0.1", 1), Address("10.0.0.1", 2)
    member = Membership("me", INCARNATION_STEP, me, "z", rng)
    update = messages.MemberUpdate("other", INCARNATION_STEP, "suspect", str(other), "z")
    member.on_timer(100.0)
    member.on_sync_reply(100.0, other, messages.SyncReply("third", [update]))
    member.on_timer(105.0)
    return member.members["other"].state


def test_paused_member_does_not_declare_others_dead() -> None:
    assert state_after_observer_pause() is MemberState.SUSPECT


def test_paused_member_declares_others_dead_without_discounting_the_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Membership, "_discount_pause", lambda self, now: None)
    assert state_after_observer_pause() is MemberState.DEAD
