"""Daemons that keep one tenant's quota together, on a virtual clock, to compare ways to keep it."""

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
from troutswitch.decisions.tenants.coordinated_quota import CoordinatedQuota
from troutswitch.decisions.tenants.equal_shares import EqualShares
from troutswitch.decisions.tenants.quota import Quota, QuotaCompletion, QuotaResult
from troutswitch.decisions.tenants.quota_groups import QuotaGroups
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant

MESSAGE_SECONDS = (0.001, 0.004)
"""Time of a message between daemons."""
CREST_SECONDS = (3.4, 5.8)
"""Of each such period, requests come at the rate of a crest after the first part."""
CREST_FACTORS = (0.383, 1.87)
"""Rates before and in a crest, in means."""


@dataclass
class QuotaFigures:
    """What was seen. `owed` are requests inside the limit by a count that knows all at once."""

    requests: int = 0
    owed: int = 0
    refused_owed: int = 0
    allowed_at: list[float] = field(default_factory=list)
    messages: int = 0
    message_bytes: int = 0

    def most_in(self, window: float) -> int:
        """Returns the most requests that were allowed in any window."""
        most, first = 0, 0
        for last, at in enumerate(self.allowed_at):
            while self.allowed_at[first] <= at - window:
                first += 1
            most = max(most, last - first + 1)
        return most


@dataclass
class _Daemon:
    """One daemon's quota."""

    name: str
    quota: Quota
    claims: CoordinatorClaims
    coordinated: dict[str, float]
    silent_until: float = float("-inf")


class FixedFleet:
    """A fleet of some daemons, with one configuration in force."""

    configuration_version = 1

    def __init__(self, daemons: int) -> None:
        self.daemons = daemons


class QuotaWorld:
    """Daemons, one tenant's callers, and messages that take time or are lost."""

    def __init__(
        self, policy: str, tenant: Tenant, daemons: int, seed: int, loss: float = 0.0
    ) -> None:
        self.now = 0.0
        self.figures = QuotaFigures()
        self.tenant = tenant
        self.bounds = QuotaBounds()
        self._policy = policy
        self._loss = loss
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._reference = TokenBucket(tenant.burst, 0.0)
        self._owed: set[int] = set()
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
            lambda made: self._send(number, made),
            self._rng,
            leases=self._policy == "leased",
        )
        return _Daemon(f"d{number}", quota, claims, coordinated)

    # The coordinator.

    def coordinate(self, number: int, since: float, known_to: set[int] | None = None) -> None:
        """Has a daemon count from now on, as far as daemons know of its claim."""
        offset = next(self._numbers)
        self.daemons[number].coordinated[self.group] = since
        for other, daemon in enumerate(self.daemons):
            if known_to is None or other in known_to:
                claim = Claim(self.group, f"d{number}", Address("10.0.0.2", number), offset)
                daemon.claims.add_claim(claim)
                if other != number:
                    daemon.coordinated.pop(self.group, None)

    def silence(self, number: int, seconds: float) -> None:
        """Has a daemon reply to nobody for some seconds."""
        self.daemons[number].silent_until = self.now + seconds

    # Time and messages.

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Does something later."""
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), act))

    def _send(self, sender: int, made: object) -> None:
        if not isinstance(made, SendToPeers):
            return
        for address in made.addresses:
            self.figures.messages += 1
            self.figures.message_bytes += len(encode(made.message))
            if self._rng.random() >= self._loss:
                delay = self._rng.uniform(*MESSAGE_SECONDS)
                receiver, message = address.port, made.message
                self.after(delay, lambda r=receiver, m=message: self._receive(r, m))  # type: ignore[misc]

    def _receive(self, number: int, message: object) -> None:
        daemon = self.daemons[number]
        if self.now < daemon.silent_until:
            return
        if isinstance(message, QuotaRequest):
            daemon.quota.on_request(self.now, message)
        elif isinstance(message, QuotaDecision):
            self._end(daemon.quota.on_decision(self.now, message))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
            self._run_timers()
        self.now = until
        self._run_timers()

    def _run_timers(self) -> None:
        for daemon in self.daemons:
            if daemon.quota.next_due() <= self.now:
                self._end(daemon.quota.on_timer(self.now))

    # Requests.

    def send_for(self, seconds: float, mean_rate: float, daemons: int | None = None) -> None:
        """Has the tenant send at a mean rate, in crests, through some of the daemons."""
        at = 0.0
        while True:
            is_crest = (self.now + at) % CREST_SECONDS[1] >= CREST_SECONDS[0]
            at += self._rng.expovariate(mean_rate * CREST_FACTORS[is_crest])
            if at >= seconds:
                return
            number = self._rng.randrange(daemons or len(self.daemons))
            self.after(at, lambda n=number: self._request(n))  # type: ignore[misc]

    def _request(self, number: int) -> None:
        token = next(self._numbers)
        self.figures.requests += 1
        rate, burst = self.tenant.rate, self.tenant.burst
        if self._reference.refill(self.now, rate, burst) >= 1.0:
            self._reference.tokens -= 1.0
            self.figures.owed += 1
            self._owed.add(token)
        result = self.daemons[number].quota.take(self.now, token, self.tenant)
        if result is not None:
            self._end([QuotaCompletion(token, result)])
        else:
            for seconds in (0.0121, 0.0301):
                self.after(seconds, _nothing)  # so that time-outs are noticed

    def _end(self, ended: list[QuotaCompletion]) -> None:
        for end in ended:
            self._note(end.token, end.result)

    def _note(self, token: int, result: QuotaResult) -> None:
        if result.is_allowed:
            self.figures.allowed_at.append(self.now)
        elif token in self._owed:
            self.figures.refused_owed += 1


def _nothing() -> None:
    """Only lets time pass."""


def _log_nothing(event: str, **fields: object) -> None:
    """Stands for a log."""
