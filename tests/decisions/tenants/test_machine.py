"""State machine of quotas with lost, duplicated and late messages, and changes of the coordinator.

In any window of the bounds, the number of requests that were both sent and admitted in it is at
most the sum of: the requests that one ledger may admit; the tolerance, once more for each daemon
that began to count within the window before.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.decisions.forwarding.harness import engine
from tests.simulation.quota_fleet import FixedFleet
from troutswitch.common import Address
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import QuotaDecision, QuotaRequest
from troutswitch.decisions.slots.coordinator_claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.tenants.coordinated_quota import CoordinatedQuota
from troutswitch.decisions.tenants.quota import QuotaCompletion
from troutswitch.decisions.tenants.quota_groups import QuotaGroups
from troutswitch.decisions.tenants.quota_ledger import QuotaLimit
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant

DAEMONS = 4
BOUNDS = QuotaBounds(window=5.0, overshoot=0.1, slack=4.0)
TENANT = Tenant("t", frozenset(), rate=2.0, burst=2.0)
LIMIT = QuotaLimit(TENANT.rate, TENANT.burst, 1)
NUMBERS = st.integers(0, DAEMONS - 1)


def identity_of(number: int) -> DaemonIdentity:
    return DaemonIdentity(f"d{number}", "z", Address("10.0.0.1", number), 1)


class QuotaMachine(RuleBasedStateMachine):
    """Four daemons and one tenant."""

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.offset = 0
        self.tokens = 0
        self.in_transit: list[tuple[int, QuotaRequest | QuotaDecision]] = []
        self.sent_at: dict[int, float] = {}
        self.admitted: list[tuple[float, float]] = []
        """When each admitted request was sent, and when it was admitted."""
        self.coordinated_at: list[float] = []
        groups = EngineGroups()
        groups.update([engine("s0")])
        self.group = groups.all()[0].name
        self.coordinated: list[dict[str, float]] = [{} for _ in range(DAEMONS)]
        self.claims = [
            CoordinatorClaims(
                identity_of(n),
                groups,
                CallNumbers(),
                random.Random(n),
                lambda event, **fields: None,
            )
            for n in range(DAEMONS)
        ]
        self.quotas = [self.quota(n, groups) for n in range(DAEMONS)]
        self.waiting: list[set[int]] = [set() for _ in range(DAEMONS)]
        self.coordinate(0)

    def quota(self, number: int, groups: EngineGroups) -> CoordinatedQuota:
        def emit(instruction: object) -> None:
            if isinstance(instruction, SendToPeers):
                assert isinstance(instruction.message, QuotaRequest | QuotaDecision)
                self.in_transit += [
                    (address.port, instruction.message) for address in instruction.addresses
                ]

        return CoordinatedQuota(
            identity_of(number),
            BOUNDS,
            QuotaGroups(groups, self.claims[number], self.coordinated[number]),
            FixedFleet(DAEMONS),
            emit,
            random.Random(number),
        )

    def coordinate(self, number: int) -> None:
        """Makes one daemon the coordinator, which all daemons know."""
        self.offset += 1
        self.coordinated_at.append(self.now)
        claim = Claim(self.group, f"d{number}", Address("10.0.0.1", number), self.offset)
        for other in range(DAEMONS):
            self.claims[other].add_claim(claim)
            self.coordinated[other].clear()
        self.coordinated[number][self.group] = self.now

    @rule(number=NUMBERS)
    def change_coordinator(self, number: int) -> None:
        self.coordinate(number)

    @rule(number=NUMBERS, count=st.integers(1, 12))
    def send(self, number: int, count: int) -> None:
        for _ in range(count):
            self.tokens += 1
            self.sent_at[self.tokens] = self.now
            result = self.quotas[number].take(self.now, self.tokens, TENANT)
            if result is None:
                self.waiting[number].add(self.tokens)
            elif result.is_allowed:
                self.admitted.append((self.now, self.now))

    @rule(index=st.integers(0, 1000), fate=st.sampled_from(["delivered", "lost", "duplicated"]))
    def deliver(self, index: int, fate: str) -> None:
        if not self.in_transit:
            return
        number, message = self.in_transit.pop(index % len(self.in_transit))
        if fate == "duplicated":
            self.in_transit.append((number, message))
        if fate == "lost":
            return
        if isinstance(message, QuotaRequest):
            self.quotas[number].on_request(self.now, message)
        else:
            self.on_completions(number, self.quotas[number].on_decision(self.now, message))

    @rule(seconds=st.sampled_from([0.001, 0.012, 0.09, 0.16, 0.25, 2.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for number, quota in enumerate(self.quotas):
            self.on_completions(number, quota.on_timer(self.now))

    def on_completions(self, number: int, completions: list[QuotaCompletion]) -> None:
        for completion in completions:
            assert completion.token in self.waiting[number], "a request has two results"
            self.waiting[number].discard(completion.token)
            if completion.result.is_allowed:
                self.admitted.append((self.sent_at[completion.token], self.now))

    @invariant()
    def no_window_exceeds_the_bound(self) -> None:
        ledger = self.quotas[0].coordinator.ledger
        since = self.now - BOUNDS.window
        in_window = sum(sent > since for sent, _ in self.admitted)
        counted = TENANT.rate * BOUNDS.window + TENANT.burst + ledger.tolerance(LIMIT)
        takeovers = sum(time > since - BOUNDS.window for time in self.coordinated_at) - 1
        restarted = max(0, takeovers) * max(1.0, ledger.tolerance(LIMIT), TENANT.burst)
        assert in_window <= counted + restarted

    @invariant()
    def no_request_waits_longer_than_the_maximum(self) -> None:
        assert all(quota.next_due() >= self.now - 2.0 for quota in self.quotas)


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
