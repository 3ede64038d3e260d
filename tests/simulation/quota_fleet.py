"""A simulated fleet that enforces one tenant's quota, on a virtual clock, to compare policies."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.daemons.datagram import encode
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import QuotaDecision, QuotaRequest
from troutswitch.decisions.forwarding.types import EngineRecord
from troutswitch.decisions.limits import TokenBucket
from troutswitch.decisions.slots.coordinator_claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.tenants.coordinated_quota import (
    MAX_WAIT_SECONDS,
    RESEND_AFTER_SECONDS,
    SILENCE_SECONDS,
    CoordinatedQuota,
)
from troutswitch.decisions.tenants.equal_shares import EqualShares
from troutswitch.decisions.tenants.quota import Quota, QuotaCompletion, QuotaResult
from troutswitch.decisions.tenants.quota_groups import QuotaGroups
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant

MESSAGE_SECONDS = (0.001, 0.004)
"""Range of the delay of a message between daemons."""
BURST_SECONDS = (3.4, 5.8)
"""Start of the burst in each period, and length of the period."""
BURST_RATE_FACTORS = (0.383, 1.87)
"""Request rates before and during a burst, as multiples of the mean rate."""


@dataclass
class QuotaStatistics:
    """Counts of requests and messages, and the times of allowed requests.

    `within_limit` counts the requests that one token bucket for the whole fleet would allow.
    """

    requests: int = 0
    within_limit: int = 0
    refused_within_limit: int = 0
    allowed_at: list[float] = field(default_factory=list)
    messages: int = 0
    message_bytes: int = 0

    def max_allowed_in(self, window: float) -> int:
        """Returns the maximum number of requests allowed in any window of that length."""
        maximum, first = 0, 0
        for last, at in enumerate(self.allowed_at):
            while self.allowed_at[first] <= at - window:
                first += 1
            maximum = max(maximum, last - first + 1)
        return maximum


@dataclass
class _Daemon:
    """One daemon with its quota and its claims of coordination."""

    name: str
    quota: Quota
    claims: CoordinatorClaims
    coordinated: dict[str, float]
    unresponsive_until: float = float("-inf")


class FixedFleet:
    """A fleet of a fixed number of daemons, with one configuration in force."""

    configuration_version = 1

    def __init__(self, daemons: int) -> None:
        self.daemons = daemons


class QuotaFleet:
    """Daemons, the callers of one tenant, and messages that are delayed or lost."""

    def __init__(
        self, policy: str, tenant: Tenant, daemons: int, seed: int, loss: float = 0.0
    ) -> None:
        self.now = 0.0
        self.statistics = QuotaStatistics()
        self.tenant = tenant
        self.bounds = QuotaBounds()
        self._policy = policy
        self._loss = loss
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._reference_bucket = TokenBucket(tenant.burst, 0.0)
        self._tokens_within_limit: set[int] = set()
        self.group = ""
        self.daemons = [self._daemon(number, daemons) for number in range(daemons)]
        self.coordinate(0, since=-100.0)

    def _daemon(self, number: int, count: int) -> _Daemon:
        groups = EngineGroups()
        groups.update([EngineRecord("s", "service", Address("10.0.0.1", 1), "z", 8, False)])
        self.group = groups.all()[0].name
        identity = DaemonIdentity(f"d{number}", "z", Address("10.0.0.2", number), 1)
        claims = CoordinatorClaims(identity, groups, CallNumbers(), self._rng, _log_nothing)
        coordinated: dict[str, float] = {}
        if self._policy == "equal_shares":
            return _Daemon(f"d{number}", EqualShares(lambda: count), claims, coordinated)
        quota = CoordinatedQuota(
            identity,
            self.bounds,
            QuotaGroups(groups, claims, coordinated),
            FixedFleet(count),
            lambda instruction: self._send(number, instruction),
            self._rng,
        )
        return _Daemon(f"d{number}", quota, claims, coordinated)

    # The coordinator.

    def coordinate(self, number: int, since: float, known_to: set[int] | None = None) -> None:
        """Makes a daemon the coordinator, for the daemons in `known_to` (default: all of them)."""
        offset = next(self._numbers)
        self.daemons[number].coordinated[self.group] = since
        for other, daemon in enumerate(self.daemons):
            if known_to is None or other in known_to:
                claim = Claim(self.group, f"d{number}", Address("10.0.0.2", number), offset)
                daemon.claims.add_claim(claim)
                if other != number:
                    daemon.coordinated.pop(self.group, None)

    def make_unresponsive(self, number: int, seconds: float) -> None:
        """Has a daemon ignore all messages that it receives for some seconds."""
        self.daemons[number].unresponsive_until = self.now + seconds

    # Time and messages.

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedules a call of a function."""
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), callback))

    def _send(self, sender: int, instruction: object) -> None:
        if not isinstance(instruction, SendToPeers):
            return
        for address in instruction.addresses:
            self.statistics.messages += 1
            self.statistics.message_bytes += len(encode(instruction.message))
            if self._rng.random() >= self._loss:
                delay = self._rng.uniform(*MESSAGE_SECONDS)
                receiver, message = address.port, instruction.message
                self.call_later(delay, lambda r=receiver, m=message: self._receive(r, m))  # type: ignore[misc]

    def _receive(self, number: int, message: object) -> None:
        daemon = self.daemons[number]
        if self.now < daemon.unresponsive_until:
            return
        if isinstance(message, QuotaRequest):
            daemon.quota.on_request(self.now, message)
        elif isinstance(message, QuotaDecision):
            self._record_completions(daemon.quota.on_decision(self.now, message))

    def run(self, seconds: float) -> None:
        """Advances virtual time by some seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
            self._run_due_timers()
        self.now = until
        self._run_due_timers()

    def _run_due_timers(self) -> None:
        for daemon in self.daemons:
            if daemon.quota.next_due() <= self.now:
                self._record_completions(daemon.quota.on_timer(self.now))

    # Requests.

    def send_for(self, seconds: float, mean_rate: float, daemons: int | None = None) -> None:
        """Schedules the tenant's requests at a mean rate with bursts, at the first `daemons`."""
        at = 0.0
        while True:
            is_burst = (self.now + at) % BURST_SECONDS[1] >= BURST_SECONDS[0]
            at += self._rng.expovariate(mean_rate * BURST_RATE_FACTORS[is_burst])
            if at >= seconds:
                return
            number = self._rng.randrange(daemons or len(self.daemons))
            self.call_later(at, lambda n=number: self._request(n))  # type: ignore[misc]

    def _request(self, number: int) -> None:
        token = next(self._numbers)
        self.statistics.requests += 1
        rate, burst = self.tenant.rate, self.tenant.burst
        if self._reference_bucket.refill(self.now, rate, burst) >= 1.0:
            self._reference_bucket.tokens -= 1.0
            self.statistics.within_limit += 1
            self._tokens_within_limit.add(token)
        result = self.daemons[number].quota.take(self.now, token, self.tenant)
        if result is not None:
            self._record_completions([QuotaCompletion(token, result)])
        else:
            for seconds in (*RESEND_AFTER_SECONDS, SILENCE_SECONDS, MAX_WAIT_SECONDS):
                self.call_later(seconds + 1e-4, _nothing)  # runs the timers that are then due

    def _record_completions(self, completions: list[QuotaCompletion]) -> None:
        for completion in completions:
            self._record_result(completion.token, completion.result)

    def _record_result(self, token: int, result: QuotaResult) -> None:
        if result.is_allowed:
            self.statistics.allowed_at.append(self.now)
        elif token in self._tokens_within_limit:
            self.statistics.refused_within_limit += 1


def _nothing() -> None:
    """Does nothing; only the timers that run after it matter."""


def _log_nothing(event: str, **fields: object) -> None:
    """Discards a log line."""
