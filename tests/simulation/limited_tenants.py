"""A simulated fleet of gateway daemons that enforces the quotas of tenants, with its engines.

Each daemon is a complete `GatewayCore`. Messages between daemons are delayed, lost or cut, daemons
stall as when a core's quota of processor time is spent, and engines fail some attempts. The
simulation records each run at an engine, with the time at which the caller sent the request, and
each answer to a caller.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from tests.simulation.fleet import Daemon, SimulatedFleet
from tests.simulation.plain_formats import HOST, SERVICE
from troutswitch.common import Address
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    AnswerBegun,
    FinishRequest,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.forwarding.types import Backend, PromptShape, Route, RouteKind
from troutswitch.decisions.gateway_interface import GatewayEvent, GatewayInstruction
from troutswitch.decisions.limits import TokenBucket
from troutswitch.decisions.peers.catch_up import RequestPeerState
from troutswitch.decisions.policies import Policies
from troutswitch.decisions.tenants.types import QuotaBounds, Tenant, key_digest
from troutswitch.outcomes import AttemptOutcome

ONLINE_PREFIX = "/online/"
BOUNDS = QuotaBounds()
CONNECT_SECONDS = 0.002
RUN_SECONDS = 0.03
STALL_PERIOD_SECONDS = 0.1
"""Period of a core's quota of processor time."""
START_SECONDS = 12.0
"""Time in which daemons find each other and the store, and accounts fill, before requests are sent.
Traffic on the users' machines starts later still."""
BURST_SECONDS = (3.4, 5.8)
"""Start of the burst in each period, and length of the period."""
BURST_RATE_FACTORS = (0.383, 1.87)
"""Request rates before and during a burst, as multiples of the mean rate."""


def max_runs(tenant: Tenant) -> float:
    """Returns the number of a tenant's requests that may run in a window."""
    in_window = tenant.rate * BOUNDS.window + tenant.burst
    return in_window * (1 + BOUNDS.overshoot) + BOUNDS.slack


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a request at an engine."""

    sent_at: float
    arrived_at: float


@dataclass(slots=True)
class TenantRecord:
    """What happened to one tenant's requests.

    `within_limit` counts the requests that one token bucket of the tenant's rate and burst for the
    whole fleet allows; `refused_within_limit` those of them that were not run.
    """

    tenant: Tenant
    bucket: TokenBucket
    runs: list[Run] = field(default_factory=list)
    requests: int = 0
    within_limit: int = 0
    refused_within_limit: int = 0

    def most_runs(self) -> int:
        """Returns the most requests that were both sent and run in one window."""
        window = BOUNDS.window
        return max((self._runs_in(run.sent_at, window) for run in self.runs), default=0)

    def _runs_in(self, begin: float, window: float) -> int:
        return sum(run.sent_at >= begin and run.arrived_at <= begin + window for run in self.runs)


@dataclass(slots=True)
class _Sent:
    """A request that has no answer yet."""

    record: TenantRecord
    daemon: Daemon
    sent_at: float
    is_within_limit: bool
    runs: int = 0


class LimitedTenantFleet(SimulatedFleet):
    """Daemons, and callers of tenants with quotas.

    Attributes:
        message_seconds: range of the delay of a message between daemons.
        message_loss: share of messages between daemons that are lost.
        stall_share: share of each `STALL_PERIOD_SECONDS` in which a daemon does not run.
        failure_rate: share of attempts that an engine runs and that end without an answer.
        sides: the side of the network on which a daemon is, 0 by default; daemons on different
            sides exchange no messages.
    """

    def __init__(
        self,
        seed: int,
        daemons: int,
        tenants: Sequence[Tenant],
        message_seconds: tuple[float, float] = (0.001, 0.004),
        policies: Policies | None = None,
    ) -> None:
        self.message_seconds = message_seconds
        self.message_loss = 0.0
        self.stall_share = 0.0
        self.failure_rate = 0.0
        self.sides: dict[str, int] = {}
        self.records = {
            t.name: TenantRecord(t, TokenBucket(max(1.0, t.burst), 0.0)) for t in tenants
        }
        self._sent: dict[int, _Sent] = {}
        online = Route(
            "online",
            HOST,
            ONLINE_PREFIX,
            RouteKind.REPEATABLE,
            (Backend(SERVICE, 1.0),),
            5.0,
            0.5,
            3,
        )
        super().__init__(
            seed,
            daemons,
            engines=6,
            extra_routes=(online,),
            tenants=tuple(tenants),
            policies=policies,
        )
        self.run(START_SECONDS)

    # Daemons.

    def step(self, daemon: Daemon, event: GatewayEvent) -> None:
        """Feeds an event to a daemon, after its stall if it stalls now."""
        number = int(daemon.name.rpartition("-")[2])
        phase = (self.now + 0.037 * number) % STALL_PERIOD_SECONDS
        if phase < self.stall_share * STALL_PERIOD_SECONDS:
            wait = self.stall_share * STALL_PERIOD_SECONDS - phase + 1e-6
            self.call_later(wait, lambda: self.step(daemon, event))
            return
        super().step(daemon, event)

    def send_to_peers(
        self, daemon: Daemon, addresses: tuple[Address, ...], event: GatewayEvent
    ) -> None:
        """Delivers a message between daemons of one side, unless it is lost."""
        for peer in list(self.daemons.values()):
            is_lost = self.rng.random() < self.message_loss
            if peer.core.identity.peer_address not in addresses or is_lost:
                continue
            if self._are_connected(daemon, peer):
                name, delay = peer.name, self.rng.uniform(*self.message_seconds)
                self.call_later(delay, lambda name=name: self.step(self.daemons[name], event))  # type: ignore[misc]

    def _are_connected(self, one: Daemon, other: Daemon) -> bool:
        return self.sides.get(one.name, 0) == self.sides.get(other.name, 0)

    def cut(self, names: Sequence[str], side: int, *, from_store: bool) -> None:
        """Moves daemons to another side of the network, with or without the store."""
        for name in names:
            self.sides[name] = side
            self.daemons[name].is_partitioned_from_store = from_store

    def execute(self, daemon: Daemon, instruction: GatewayInstruction) -> None:
        """Executes an instruction of a daemon's core."""
        match instruction:
            case SendRequest():
                self.call_later(CONNECT_SECONDS, lambda: self._run_attempt(daemon, instruction))
            case FinishRequest():
                self._finish(instruction.token)
            case AbortAttempt():
                pass
            case RequestPeerState():
                if self.sides.get(daemon.name, 0) == 0:
                    super().execute(daemon, instruction)
            case _:
                super().execute(daemon, instruction)

    # Requests.

    def send_for(self, tenant: str, seconds: float, rate: float, daemons: int = 0) -> None:
        """Schedules a tenant's requests at random daemons, or at the first `daemons` alone."""
        at = self.rng.expovariate(rate)
        while at < seconds:
            self.call_later(at, lambda: self._send(tenant, daemons))
            at += self.rng.expovariate(rate)

    def send_with_bursts(self, tenant: str, seconds: float, mean_rate: float) -> None:
        """Schedules a tenant's requests at random daemons, at a mean rate with bursts."""
        at = 0.0
        while at < seconds:
            is_burst = at % BURST_SECONDS[1] >= BURST_SECONDS[0]
            at += self.rng.expovariate(mean_rate * BURST_RATE_FACTORS[is_burst])
            self.call_later(at, lambda: self._send(tenant, 0))

    def _send(self, tenant: str, daemons: int) -> None:
        record = self.records[tenant]
        names = list(self.daemons)[: daemons or None]
        daemon = self.daemons[self.rng.choice(names)]
        if not daemon.is_alive:
            return
        record.requests += 1
        limit = record.tenant
        is_within = record.bucket.refill(self.now, limit.rate, max(1.0, limit.burst)) >= 1.0
        if is_within:
            record.bucket.tokens -= 1.0
            record.within_limit += 1
        token = self.next_token()
        self._sent[token] = _Sent(record, daemon, self.now, is_within)
        (key,) = limit.keys
        path = f"{ONLINE_PREFIX}{token}"
        arrived = RequestArrived(token, f"r{token}", HOST, path, 4.0, PromptShape(), caller_key=key)
        self.step(daemon, arrived)

    def _run_attempt(self, daemon: Daemon, send: SendRequest) -> None:
        sent = self._sent.get(send.token)
        if sent is None or not daemon.is_alive:
            return
        sent.record.runs.append(Run(sent.sent_at, self.now))
        sent.runs += 1
        if self.rng.random() < self.failure_rate:
            lost = RequestAttemptEnded(send.token, send.attempt, AttemptOutcome.CUT, "lost")
            self.step_later(daemon, lost, RUN_SECONDS)
            return
        self.step_later(daemon, AnswerBegun(send.token, send.attempt, None), RUN_SECONDS / 2)
        ended = RequestAttemptEnded(send.token, send.attempt, AttemptOutcome.COMPLETED, status=200)
        self.step_later(daemon, ended, RUN_SECONDS)
        self.call_later(RUN_SECONDS, lambda: self._finish(send.token))

    def _finish(self, token: int) -> None:
        sent = self._sent.pop(token, None)
        if sent is not None and not sent.runs and sent.is_within_limit:
            sent.record.refused_within_limit += 1


def tenant(name: str, rate: float, burst: float) -> Tenant:
    """Returns a tenant with one key."""
    return Tenant(name, frozenset({key_digest(f"key-{name}")}), rate, burst)
