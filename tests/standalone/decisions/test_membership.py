"""Membership under pauses, deaths and cuts, on virtual time."""

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

STEP = 0.05


class Net:
    """Members that exchange datagrams with a small delay."""

    def __init__(self, count: int) -> None:
        self.now = 100.0
        self.rng = random.Random(7)
        self.order = itertools.count()
        self.flying: list[tuple[float, int, Address, Address, messages.Message]] = []
        self.members: dict[Address, Membership] = {}
        self.down: set[str] = set()
        self.may_talk: Callable[[str, str], bool] = lambda one, other: True
        addresses = [Address("10.0.0.1", n) for n in range(count)]
        for number, address in enumerate(addresses):
            member = Membership(f"m{number}", INCARNATION_STEP, address, "z", random.Random(number))
            member.set_seeds(addresses)
            self.members[address] = member

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += STEP
            while self.flying and self.flying[0][0] <= self.now:
                _, _, sender, to, message = heapq.heappop(self.flying)
                self.deliver(sender, to, message)
            for address, member in self.members.items():
                if member.name not in self.down and member.next_due() <= self.now:
                    self.send(address, member.on_timer(self.now))

    def send(self, sender: Address, effects: Sequence[object]) -> None:
        for effect in effects:
            if isinstance(effect, SendDatagram):
                at = self.now + self.rng.uniform(0.0, 0.02)
                entry = (at, next(self.order), sender, effect.address, effect.message)
                heapq.heappush(self.flying, entry)

    def deliver(self, sender: Address, to: Address, message: messages.Message) -> None:
        one, other = self.members[sender].name, self.members[to].name
        if other in self.down or not self.may_talk(one, other):
            return
        member = self.members[to]
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
        self.send(to, effects)

    def states_of(self, name: str) -> set[MemberState]:
        return {
            member.members[name].state
            for member in self.members.values()
            if member.name not in self.down and name in member.members
        }

    def everyone_knows(self, count: int) -> bool:
        up = [m for m in self.members.values() if m.name not in self.down]
        return all(member.live_count() == count for member in up)


def settled(count: int) -> Net:
    net = Net(count)
    net.run(8.0)
    assert net.everyone_knows(count)
    return net


@pytest.mark.parametrize("count", [3, 20, 60])
def test_a_dead_member_is_known_everywhere_within_ten_periods(count: int) -> None:
    net = settled(count)
    net.down.add("m1")
    net.run(5.0)
    assert net.states_of("m1") == {MemberState.DEAD}


def pause_and_resume(net: Net) -> None:
    net.down.add("m1")
    net.run(1.6)
    assert MemberState.SUSPECT in net.states_of("m1")
    net.down.discard("m1")
    net.run(6.0)


def test_a_false_suspicion_is_refuted() -> None:
    net = settled(20)
    pause_and_resume(net)
    assert net.states_of("m1") == {MemberState.ALIVE}


def test_without_refutation_a_paused_member_is_declared_dead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    net = settled(20)
    monkeypatch.setattr(Membership, "_refute", lambda self, now, incarnation, state: [])
    pause_and_resume(net)
    assert MemberState.DEAD in net.states_of("m1")


def cut_and_heal(net: Net) -> None:
    net.may_talk = lambda one, other: (int(one[1:]) < 5) == (int(other[1:]) < 5)
    net.run(10.0)
    assert not net.everyone_knows(20)
    net.may_talk = lambda one, other: True
    net.run(8.0)


def test_a_healed_cut_converges() -> None:
    net = settled(20)
    cut_and_heal(net)
    assert net.everyone_knows(20)


def test_without_seeds_a_healed_cut_stays_open(monkeypatch: pytest.MonkeyPatch) -> None:
    """An unreadable machine list once wiped the seeds."""
    net = settled(20)
    for member in net.members.values():
        member.set_seeds([])
    cut_and_heal(net)
    assert not net.everyone_knows(20)


def test_a_restarted_member_is_not_its_former_self() -> None:
    net = settled(5)
    member = next(iter(net.members.values()))
    assert member.is_alive_incarnation("m1#1")
    assert not member.is_alive_incarnation("m1#2")
    update = messages.MemberUpdate("m1", 2 * INCARNATION_STEP, "alive", "10.0.0.1:1", "z")
    member.on_sync_reply(net.now, Address("10.0.0.1", 1), messages.SyncReply("m1", [update]))
    assert not member.is_alive_incarnation("m1#1")
    assert member.is_alive_incarnation("m1#2")


def judge_after_a_pause() -> MemberState:
    """A member hears a suspicion, gets no turn for five seconds, then goes on."""
    rng = random.Random(1)
    me, other = Address("10.0.0.1", 1), Address("10.0.0.1", 2)
    member = Membership("me", INCARNATION_STEP, me, "z", rng)
    update = messages.MemberUpdate("other", INCARNATION_STEP, "suspect", str(other), "z")
    member.on_timer(100.0)
    member.on_sync_reply(100.0, other, messages.SyncReply("third", [update]))
    member.on_timer(105.0)
    return member.members["other"].state


def test_a_member_that_was_starved_itself_condemns_nobody() -> None:
    assert judge_after_a_pause() is MemberState.SUSPECT


def test_without_forgiveness_it_condemns_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_discount_pause", lambda self, now: None)
    assert judge_after_a_pause() is MemberState.DEAD
