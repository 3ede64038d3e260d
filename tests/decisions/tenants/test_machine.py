"""State machine of quotas: lost, duplicated and late messages, restarts, cuts from the store.

In any window of the bounds, the number of requests that were both sent and admitted in it is at
most what the users permit, whatever daemons claim the tenant's group.
"""

import random
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from troutswitch.common import Address
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import PeerMessage, QuotaDecision, QuotaHandover, QuotaRequest
from troutswitch.daemons.messages import QuotaHandoverRequest as HandoverRequest
from troutswitch.decisions.slots.coordinator_claims import CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.messages import CallFailed, StoreCall
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.tenants.coordinated_quota import CoordinatedQuota
from troutswitch.decisions.tenants.quota import QuotaCompletion
from troutswitch.decisions.tenants.quota_groups import QUOTA_GROUPS, group_of
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant
from troutswitch.standins.keyed_store import KeyedStoreModel

DAEMONS = 4
BOUNDS = QuotaBounds(window=5.0, overshoot=0.1, slack=4.0)
TENANT = Tenant("t", frozenset(), rate=2.0, burst=2.0)
PERMITTED = (TENANT.rate * BOUNDS.window + TENANT.burst) * (1 + BOUNDS.overshoot) + BOUNDS.slack
NUMBERS = st.integers(0, DAEMONS - 1)
STEP_SECONDS = 0.1


class Configuration:
    """One configuration that is always in force."""

    configuration_version = 1


@dataclass
class Process:
    """One process of a daemon."""

    claims: CoordinatorClaims
    quota: CoordinatedQuota
    waiting: set[int] = field(default_factory=set)
    calls: list[StoreCall] = field(default_factory=list)


class QuotaMachine(RuleBasedStateMachine):
    """Four daemons, a store and one tenant."""

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.tokens = 0
        self.incarnations = 0
        self.store = KeyedStoreModel()
        self.cut_off: set[int] = set()
        self.isolated: set[int] = set()
        self.in_transit: list[tuple[int, int, PeerMessage]] = []
        """Sender, receiver and message."""
        self.late: list[tuple[int, int, PeerMessage]] = []
        self.sent_at: dict[int, float] = {}
        self.admitted: list[tuple[float, float]] = []
        """When each admitted request was sent, and when it was admitted."""
        self.processes = [self.process(number) for number in range(DAEMONS)]
        for _ in range(40):
            self.pass_time(0.5)

    def process(self, number: int) -> Process:
        def emit(instruction: object) -> None:
            if isinstance(instruction, SendToPeers):
                self.in_transit += [
                    (number, address.port, instruction.message) for address in instruction.addresses
                ]

        self.incarnations += 1
        identity = DaemonIdentity(f"d{number}", "z", Address("10.0.0.1", number), self.incarnations)
        rng = random.Random(number)
        claims = CoordinatorClaims(
            identity,
            EngineGroups(),
            CallNumbers(),
            rng,
            lambda event, **fields: None,
            QUOTA_GROUPS,
        )
        quota = CoordinatedQuota(identity, BOUNDS, claims, Configuration(), emit, rng)
        return Process(claims, quota)

    def send(self, number: int) -> None:
        process = self.processes[number]
        self.tokens += 1
        self.sent_at[self.tokens] = self.now
        result = process.quota.take(self.now, self.tokens, TENANT)
        if result is None:
            process.waiting.add(self.tokens)
        elif result.is_allowed:
            self.admitted.append((self.now, self.now))

    def deliver(self) -> None:
        """Delivers each message in transit, except to and from isolated daemons."""
        messages, self.in_transit = self.in_transit, []
        for sender, number, message in messages:
            if sender == number or not self.isolated & {sender, number}:
                self.receive(number, message)

    @rule(index=st.integers(0, 1000), fate=st.sampled_from(["lost", "duplicated", "late"]))
    def disturb_message(self, index: int, fate: str) -> None:
        if not self.in_transit:
            return
        message = self.in_transit.pop(index % len(self.in_transit))
        if fate == "duplicated":
            self.in_transit += [message, message]
        if fate == "late":
            self.late.append(message)

    @rule()
    def deliver_late_messages(self) -> None:
        self.in_transit += self.late
        self.late.clear()

    @rule(number=NUMBERS)
    def isolate(self, number: int) -> None:
        self.isolated.add(number)

    @rule(number=NUMBERS)
    def cut_from_store(self, number: int) -> None:
        self.cut_off.add(number)

    def coordinators(self) -> list[int]:
        """Returns the daemons that take themselves for the tenant's coordinator."""
        group = group_of(TENANT.name)
        holds = [process.quota.coordination.holds(group) for process in self.processes]
        return [number for number, held in enumerate(holds) if held]

    @rule()
    def cut_off_coordinators(self) -> None:
        self.isolated.update(self.coordinators())
        self.cut_off.update(self.coordinators())

    @rule()
    def cut_coordinators_from_store(self) -> None:
        """Has coordinators that peers still reach hand over."""
        self.cut_off.update(self.coordinators())

    @rule()
    def restart_coordinators(self) -> None:
        for number in self.coordinators():
            self.restart(number)

    @rule()
    def reconnect(self) -> None:
        self.isolated.clear()
        self.cut_off.clear()

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        self.processes[number] = self.process(number)

    @rule(number=NUMBERS)
    def suspect_coordinator(self, number: int) -> None:
        """Has a daemon claim the group as soon as it may."""
        self.processes[number].claims.on_not_coordinator(self.now, group_of(TENANT.name))

    @rule(steps=st.sampled_from([3, 30, 70]))
    def run_shortly(self, steps: int) -> None:
        self.run(steps)

    @rule(steps=st.sampled_from([140, 200]))
    def run_for_longer_than_a_lease(self, steps: int) -> None:
        self.run(steps)

    def run(self, steps: int) -> None:
        """Has all daemons receive more requests than the quota for some time."""
        for _ in range(steps):
            for number in range(DAEMONS):
                self.send(number)
            self.deliver()
            self.pass_time(STEP_SECONDS)
            self.deliver()
            self.check_window()

    def receive(self, number: int, message: PeerMessage) -> None:
        quota = self.processes[number].quota
        match message:
            case QuotaRequest():
                quota.on_request(self.now, message)
            case QuotaDecision():
                self.on_completions(number, quota.on_decision(self.now, message))
            case HandoverRequest():
                quota.on_handover_request(self.now, message)
            case QuotaHandover():
                quota.on_handover(self.now, message)

    @rule(seconds=st.sampled_from([0.25, 2.0, 6.0, 13.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for number, process in enumerate(self.processes):
            self.answer_calls(number, process)
            self.on_completions(number, process.quota.on_timer(self.now))
            process.calls += process.claims.on_timer(self.now)

    def answer_calls(self, number: int, process: Process) -> None:
        calls, process.calls = process.calls, []
        for call in calls:
            if not process.claims.owns(call.call):
                continue
            is_cut = number in self.cut_off
            outcome = CallFailed("cut", True) if is_cut else self.store.call(self.now, call)
            process.claims.on_answer(self.now, call.call, outcome)

    def on_completions(self, number: int, completions: list[QuotaCompletion]) -> None:
        for completion in completions:
            waiting = self.processes[number].waiting
            assert completion.token in waiting, "a request has two results"
            waiting.discard(completion.token)
            if completion.result.is_allowed:
                self.admitted.append((self.sent_at[completion.token], self.now))

    def check_window(self) -> None:
        """Checks the window that ends now."""
        since = self.now - BOUNDS.window
        self.admitted = [row for row in self.admitted if row[0] >= since]
        assert len(self.admitted) <= PERMITTED

    @invariant()
    def no_request_waits_longer_than_the_maximum(self) -> None:
        assert all(process.quota.next_due() >= self.now - 6.0 for process in self.processes)


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=24
)
