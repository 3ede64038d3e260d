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
from troutswitch.decisions.tenants.quota_groups import QUOTA_GROUPS
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant
from troutswitch.standins.keyed_store import KeyedStoreModel

DAEMONS = 4
BOUNDS = QuotaBounds(window=5.0, overshoot=0.1, slack=4.0)
TENANT = Tenant("t", frozenset(), rate=2.0, burst=2.0)
PERMITTED = (TENANT.rate * BOUNDS.window + TENANT.burst) * (1 + BOUNDS.overshoot) + BOUNDS.slack
NUMBERS = st.integers(0, DAEMONS - 1)


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
        self.in_transit: list[tuple[int, PeerMessage]] = []
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
                    (address.port, instruction.message) for address in instruction.addresses
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

    @rule(number=NUMBERS, count=st.integers(1, 12))
    def send(self, number: int, count: int) -> None:
        process = self.processes[number]
        for _ in range(count):
            self.tokens += 1
            self.sent_at[self.tokens] = self.now
            result = process.quota.take(self.now, self.tokens, TENANT)
            if result is None:
                process.waiting.add(self.tokens)
            elif result.is_allowed:
                self.admitted.append((self.now, self.now))

    @rule(index=st.integers(0, 1000), fate=st.sampled_from(["delivered", "lost", "duplicated"]))
    def deliver(self, index: int, fate: str) -> None:
        if not self.in_transit:
            return
        number, message = self.in_transit.pop(index % len(self.in_transit))
        if fate == "duplicated":
            self.in_transit.append((number, message))
        if fate != "lost":
            self.receive(number, message)

    @rule()
    def deliver_all(self) -> None:
        for _ in range(3):
            messages, self.in_transit = self.in_transit, []
            for number, message in messages:
                self.receive(number, message)

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

    @rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        self.processes[number] = self.process(number)

    @rule(number=NUMBERS)
    def cut_from_store(self, number: int) -> None:
        self.cut_off.add(number)

    @rule()
    def reconnect(self) -> None:
        self.cut_off.clear()

    @rule(seconds=st.sampled_from([0.001, 0.012, 0.1, 0.25, 0.5, 2.0, 6.0]))
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

    @invariant()
    def no_window_exceeds_what_is_permitted(self) -> None:
        since = self.now - BOUNDS.window
        assert sum(sent >= since for sent, _ in self.admitted) <= PERMITTED

    @invariant()
    def no_request_waits_longer_than_the_maximum(self) -> None:
        assert all(process.quota.next_due() >= self.now - 6.0 for process in self.processes)


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=50
)
