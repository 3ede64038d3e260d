"""State machine of queued requests: their daemons, two coordinators, and an unreliable network.

Messages are lost, doubled and late; daemons restart, coordinators change, are suspended and stop.
Each token is one request that may not repeat. Its search ends once at most, in an engine or a
refusal; never in both, and never in two engines. Once messages are delivered again, every search
has ended and no queue has an entry.
"""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.decisions.slots.harness import GROUP, SlotsDaemon, incarnation_of, record
from troutswitch.common import Address
from troutswitch.daemons.messages import KnownClaim, PeerMessage
from troutswitch.decisions.forwarding.placer import Assignment, NoSlotInTime
from troutswitch.decisions.slots.coordinator import GRACE_SECONDS
from troutswitch.decisions.slots.queue_coordinator import QueueCoordinator
from troutswitch.decisions.slots.queued_requests import REPEAT_SECONDS, REPLY_TIMEOUT_SECONDS
from troutswitch.decisions.slots.slot_queue import SILENT_ENTRY_SECONDS

ENGINES = 1
SLOTS = 1
"""One slot, so that most requests wait."""
COORDINATORS = ("c", "d")
HOLDERS = ("h1", "h2")
FLOWS = ("small", "large")
MAX_EXPIRY = 2.0
MAX_WAIT = MAX_EXPIRY + REPEAT_SECONDS + 4 * REPLY_TIMEOUT_SECONDS
"""Time after which a search has ended whatever happens: no slot is of use after the expiry, and a
lost denial is noticed with the next repetition."""
STEP = 0.02
INDEXES = st.integers(0, 10_000)


class QueueMachine(RuleBasedStateMachine):
    """Two holders and two daemons that coordinate in turn."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.in_transit: list[tuple[Address, PeerMessage]] = []
        self.daemons: dict[str, SlotsDaemon] = {}
        self.suspended: set[str] = set()
        self.asked_at: dict[int, float] = {}
        self.owners: dict[int, str] = {}
        self.withdrawn: set[int] = set()
        self.ended: dict[int, type] = {}
        self.ends: dict[str, list[tuple[float, int]]] = {}
        self.tokens = 0
        self.incarnations = 0
        self.claims = 1

    @initialize()
    def start(self) -> None:
        self.daemons = {name: self._new(name) for name in (*COORDINATORS, *HOLDERS)}
        first, *others = self.daemons.values()
        first.coordinate(self.now, *others)
        self.now += GRACE_SECONDS
        self.collect()

    def _new(self, name: str, incarnation: int = 0) -> SlotsDaemon:
        records = [record(f"s{n}", slots=SLOTS) for n in range(ENGINES)]
        daemon = SlotsDaemon(name, records, incarnation=incarnation)
        daemon.make_paced(self.now)
        self.ends[name] = []
        return daemon

    def running(self) -> list[tuple[str, SlotsDaemon]]:
        return [(n, daemon) for n, daemon in self.daemons.items() if n not in self.suspended]

    def collect(self) -> None:
        """Puts messages in transit, and checks that each search ends once."""
        for name, daemon in self.daemons.items():
            for sent in daemon.outbox:
                self.in_transit += [(address, sent.message) for address in sent.addresses]
            daemon.outbox = []
            for token, placement in daemon.placements:
                assert token not in self.ended, "a request was both sent and refused, or sent twice"
                assert token not in self.withdrawn, "a withdrawn request was placed"
                self.ended[token] = type(placement)
                if isinstance(placement, Assignment):
                    self.ends[name].append((self.now + 0.2, token))
                else:
                    assert isinstance(placement, NoSlotInTime)
                    assert placement.retry_after is not None
            daemon.placements = []

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for name, daemon in self.running():
            for end in [end for end in self.ends[name] if end[0] <= self.now]:
                self.ends[name].remove(end)
                daemon.end_request(self.now, end[1])
            daemon.tick(self.now)
        self.collect()

    # Requests.

    @rule(index=INDEXES, flow=st.sampled_from(FLOWS), expiry=st.floats(0.05, MAX_EXPIRY))
    def ask(self, index: int, flow: str, expiry: float) -> None:
        name, daemon = self.running()[index % len(self.running())]
        self.tokens += 1
        self.asked_at[self.tokens], self.owners[self.tokens] = self.now, name
        daemon.queue_slot(self.now, self.tokens, flow, expiry=expiry, is_returned=index % 5 == 0)
        self.collect()

    @rule(index=INDEXES)
    def withdraw(self, index: int) -> None:
        waiting = [t for t in self.waiting() if self.owners[t] not in self.suspended]
        if waiting:
            token = waiting[index % len(waiting)]
            self.daemons[self.owners[token]].fleet.requests.withdraw(self.now, token)
            self.withdrawn.add(token)
            self.collect()

    def waiting(self) -> list[int]:
        return [t for t in self.asked_at if t not in self.ended and t not in self.withdrawn]

    # Messages.

    def receive(self, address: Address, message: PeerMessage) -> None:
        for _, daemon in self.running():
            if daemon.address == address:
                daemon.receive(self.now, message)
        self.collect()

    @precondition(lambda self: self.in_transit)
    @rule(index=INDEXES)
    def deliver(self, index: int) -> None:
        self.receive(*self.in_transit.pop(index % len(self.in_transit)))

    @rule()
    def deliver_all(self) -> None:
        while self.in_transit:
            self.receive(*self.in_transit.pop(0))

    @precondition(lambda self: self.in_transit)
    @rule(index=INDEXES)
    def double(self, index: int) -> None:
        self.in_transit.append(self.in_transit[index % len(self.in_transit)])

    @precondition(lambda self: self.in_transit)
    @rule(index=INDEXES)
    def lose(self, index: int) -> None:
        self.in_transit.pop(index % len(self.in_transit))

    @rule(seconds=st.floats(0.001, 0.15))
    def wait(self, seconds: float) -> None:
        self.pass_time(seconds)

    # Failures.

    @rule(name=st.sampled_from(COORDINATORS), knowing=st.sets(st.sampled_from(HOLDERS)))
    def claim(self, name: str, knowing: set[str]) -> None:
        """Makes a daemon the coordinator; only some others know it, so two may act at once."""
        self.claims += 1
        daemon = self.daemons[name]
        claim = KnownClaim(GROUP, name, daemon.address, self.claims)
        for known_by in (name, *knowing):
            self.daemons[known_by].fleet.claims.add_claims((claim,))

    @rule(name=st.sampled_from((*COORDINATORS, *HOLDERS)))
    def suspend_or_resume(self, name: str) -> None:
        if name in self.suspended:
            self.suspended.discard(name)
        elif len(self.running()) > 2:
            self.suspended.add(name)

    @rule(name=st.sampled_from((*COORDINATORS, *HOLDERS)))
    def restart(self, name: str) -> None:
        """Kills a daemon with its requests, and starts a new incarnation of it."""
        claims = tuple(
            claim
            for daemon in self.daemons.values()
            for claim in daemon.fleet.claims.known_claims()
        )
        for token in [t for t in self.waiting() if self.owners[t] == name]:
            self.withdrawn.add(token)
        self.incarnations += 1
        incarnation = incarnation_of(name) + 1000 * self.incarnations
        self.daemons[name] = self._new(name, incarnation)
        self.daemons[name].fleet.claims.add_claims(claims)
        self.daemons[name].tick(self.now)

    # Checks.

    @invariant()
    def queues_are_consistent(self) -> None:
        for daemon in self.daemons.values():
            for state in daemon.fleet.queues._queues.values():
                state.queue.validate()

    def teardown(self) -> None:
        """Every search ends, and no queue has a forgotten entry, once nothing fails any more."""
        self.suspended.clear()
        asked = set(self.waiting())
        for _ in range(round((MAX_WAIT + SILENT_ENTRY_SECONDS) / STEP)):
            self.pass_time(STEP)
            self.deliver_all()
        assert not asked & set(self.waiting()), "a search did not end"
        for daemon in self.daemons.values():
            assert not daemon.fleet.requests._queued.open_tokens
            entries = [len(s.queue) for s in daemon.fleet.queues._queues.values()]
            assert sum(entries) == 0, "a queue has a forgotten entry"


SETTINGS = settings(
    max_examples=50, stateful_step_count=50, deadline=None, database=None, derandomize=True
)


def test_requests_in_queues_over_an_unreliable_network() -> None:
    run_state_machine_as_test(QueueMachine, settings=SETTINGS)


def test_the_machine_finds_entries_that_are_never_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the machine detects requests that are forgotten in a queue."""
    monkeypatch.setattr(QueueCoordinator, "_check", lambda self, now, state: None)
    monkeypatch.setattr(QueueCoordinator, "on_withdrawn", lambda self, now, message: None)
    monkeypatch.setattr(QueueCoordinator, "_serve", lambda self, now, state: None)
    found = settings(SETTINGS, phases=(Phase.generate,))
    with pytest.raises(AssertionError):
        run_state_machine_as_test(QueueMachine, settings=found)
