"""A state machine over messages that are lost, doubled and late, and changes of who counts.

Bound that it asserts, for any window of the bounds: what one ledger may allow, the tolerance once
more for each daemon that began to count within the window before, and each daemon's share of the
times in which nobody answered it.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.decisions.forwarding.worlds import engine
from tests.worlds.quota_world import FixedFleet
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
from troutswitch.decisions.tenants.uncoordinated_quota import MIN_SHARE_BURST, UNCOORDINATED_FACTOR

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
        self.on_the_way: list[tuple[int, QuotaRequest | QuotaDecision]] = []
        self.allowed: list[float] = []
        self.begun: list[float] = []
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
        self.begin(0)

    def quota(self, number: int, groups: EngineGroups) -> CoordinatedQuota:
        def emit(made: object) -> None:
            if isinstance(made, SendToPeers):
                assert isinstance(made.message, QuotaRequest | QuotaDecision)
                self.on_the_way += [(address.port, made.message) for address in made.addresses]

        return CoordinatedQuota(
            identity_of(number),
            BOUNDS,
            QuotaGroups(groups, self.claims[number], self.coordinated[number]),
            FixedFleet(DAEMONS),
            emit,
            random.Random(number),
        )

    def begin(self, number: int) -> None:
        """One daemon begins to count, and all know it."""
        self.offset += 1
        self.begun.append(self.now)
        claim = Claim(self.group, f"d{number}", Address("10.0.0.1", number), self.offset)
        for other in range(DAEMONS):
            self.claims[other].add_claim(claim)
            self.coordinated[other].clear()
        self.coordinated[number][self.group] = self.now

    @rule(number=NUMBERS)
    def another_counts(self, number: int) -> None:
        self.begin(number)

    @rule(number=NUMBERS, count=st.integers(1, 12))
    def send(self, number: int, count: int) -> None:
        for _ in range(count):
            self.tokens += 1
            result = self.quotas[number].take(self.now, self.tokens, TENANT)
            if result is None:
                self.waiting[number].add(self.tokens)
            elif result.is_allowed:
                self.allowed.append(self.now)

    @rule(drawn=st.integers(0, 1000), fate=st.sampled_from(["taken", "lost", "doubled"]))
    def deliver(self, drawn: int, fate: str) -> None:
        if not self.on_the_way:
            return
        number, message = self.on_the_way.pop(drawn % len(self.on_the_way))
        if fate == "doubled":
            self.on_the_way.append((number, message))
        if fate == "lost":
            return
        if isinstance(message, QuotaRequest):
            self.quotas[number].on_request(self.now, message)
        else:
            self.end(number, self.quotas[number].on_decision(self.now, message))

    @rule(seconds=st.sampled_from([0.001, 0.012, 0.03, 0.5, 2.0]))
    def let_pass(self, seconds: float) -> None:
        self.now += seconds
        for number, quota in enumerate(self.quotas):
            self.end(number, quota.on_timer(self.now))

    def end(self, number: int, ended: list[QuotaCompletion]) -> None:
        for end in ended:
            assert end.token in self.waiting[number], "a request has two results"
            self.waiting[number].discard(end.token)
            if end.result.is_allowed:
                self.allowed.append(self.now)

    @invariant()
    def no_window_has_too_many(self) -> None:
        ledger = self.quotas[0].coordinator.ledger
        since = self.now - BOUNDS.window
        in_window = sum(at > since for at in self.allowed)
        counted = TENANT.rate * BOUNDS.window + TENANT.burst + ledger.tolerance(LIMIT)
        begun = sum(at > since - BOUNDS.window for at in self.begun) - 1
        anew = max(0, begun) * max(1.0, ledger.tolerance(LIMIT), TENANT.burst)
        alone = UNCOORDINATED_FACTOR * (TENANT.rate * BOUNDS.window + TENANT.burst)
        assert in_window <= counted + anew + alone + DAEMONS * MIN_SHARE_BURST

    @invariant()
    def nobody_waits_longer_than_stated(self) -> None:
        assert all(quota.next_due() >= self.now - 2.0 for quota in self.quotas)


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
