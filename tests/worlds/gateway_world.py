"""Gateway daemons on a virtual clock: the decisions as they run, with a modelled store.

Each daemon is a whole `GatewayCore`. Its instructions are carried out by this world:
store calls by a `KeyedStoreModel`, with delays and faults, and batch items by modelled
engines that make one event each `EVENT_SECONDS`. Clients submit jobs and read results; an
observer checks the guarantees that they have.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import cbor2
import simpy

from tests.worlds.job_clients import JOB_KEPT_SECONDS, JobClients
from tests.worlds.job_truth import EVENTS_AN_ITEM, JobTruth, event_text
from tests.worlds.plain_formats import HOST, PREFIX, SERVICE, PlainFormats
from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import (
    Backend,
    FleetConfiguration,
    RequestLimits,
    Route,
    RouteKind,
    Service,
)
from troutswitch.decisions.gateway import GatewayCore
from troutswitch.decisions.gateway_interface import GatewayEvent, GatewayInstruction
from troutswitch.decisions.gateway_messages import (
    ClockCompared,
    DrainRequested,
    GatewayIdentity,
    TimerFired,
)
from troutswitch.decisions.jobs.messages import (
    AnswerJobCall,
    ItemBegun,
    ItemProgressed,
    ItemRunEnded,
    JobAnswer,
    JobSubmitted,
    OutputEvent,
    RunItem,
    StopItem,
)
from troutswitch.decisions.jobs.ownership import GROUP
from troutswitch.decisions.jobs.reads import JobCall
from troutswitch.decisions.jobs.records import StoreLimits
from troutswitch.decisions.peers.catch_up import PeerStateReceived, RequestPeerState
from troutswitch.decisions.slots.messages import PeerMessageReceived, SendToPeers
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    CallFailed,
    JoinGroup,
    KeyedRecord,
    LeaveGroup,
    Partition,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    StoreAnswered,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.tenants.types import Tenant
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standins.keyed_store import KeyedStoreModel

STORE_SECONDS = 0.01
LATE_SECONDS = 2.0
"""Time after which an append whose answer was lost takes effect, if it is late."""
EVENT_SECONDS = 0.1
"""Mean time between events; each run has an interval of its own around it."""
RESTART_SECONDS = 0.5
EPOCH_SECONDS = 1.7e9
"""Time of day at which the virtual clock begins."""


@dataclass
class StoreFaults:
    """Faults of the store now; `answers_lost` is a share of calls, from 0 to 1.

    While it `is_silent`, calls that are sent or wait there are never answered: they fail at their
    time-outs, also where the silence ends before.
    """

    is_down: bool = False
    is_silent: bool = False
    answers_lost: float = 0.0
    is_late: bool = False


@dataclass
class Daemon:
    """One process of a daemon. A killed one is replaced by the next `incarnation` of its name."""

    name: str
    core: GatewayCore
    incarnation: int
    is_alive: bool = True
    paused_until: float = 0.0
    is_cut_from_store: bool = False
    runs: set[int] = field(default_factory=set)
    stopped: set[int] = field(default_factory=set)
    timer_at: float = float("inf")


class GatewayWorld:
    """Daemons, store, engines, clients and observer."""

    def __init__(
        self,
        seed: int,
        daemons: int = 4,
        engines: int = 3,
        tokens_most: int = 0,
        change: Callable[[StoreCall], StoreCall] | None = None,
        more_routes: tuple[Route, ...] = (),
        tenants: tuple[Tenant, ...] | None = None,
        zones: tuple[str, ...] = ("z",),
    ) -> None:
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.store = KeyedStoreModel(4)
        self.faults = StoreFaults()
        self.violations: list[str] = []
        self.jobs: dict[str, JobTruth] = {}
        self.daemons: dict[str, Daemon] = {}
        self.store_calls: Counter[str] = Counter()
        self.zones = zones
        self._change = change or (lambda call: call)
        self._tokens = 0
        self._calls: dict[int, Callable[[JobAnswer], None]] = {}
        self.clients = JobClients(self)
        route = Route(
            "jobs",
            HOST,
            PREFIX,
            RouteKind.JOBS,
            (Backend(SERVICE, 1.0),),
            30.0,
            0.5,
            3,
            max_queued_tokens=tokens_most,
            completion_target=20.0,
            retention=600.0,
        )
        services = {SERVICE: Service(SERVICE, 100, 8, 0)}
        routes = (route, *more_routes)
        configuration = FleetConfiguration(1, routes, services, RequestLimits(), tenants)
        self._formats = PlainFormats(configuration)
        self.publish(1)
        for number in range(engines):
            self.list_engine(f"server-{number}", 8)
        for number in range(daemons):
            self.start_daemon(f"daemon-{number}", 0)

    def publish(self, version: int) -> None:
        """Has the operator write a version of the configuration."""
        record = KeyedRecord("configuration", str(version).encode())
        self.store.log(Partition("configuration")).append((record,))

    def list_engine(self, name: str, slots: int, is_draining: bool = False) -> None:
        """Has an engine write its entry."""
        record = KeyedRecord(name, cbor2.dumps([slots, is_draining]))
        self.store.log(Partition("servers")).append((record,))

    def remove_engine(self, name: str) -> None:
        """Has an engine leave without draining first: its entry is removed."""
        self.store.log(Partition("servers")).append((KeyedRecord(name, b""),))

    # Daemons.

    def start_daemon(self, name: str, incarnation: int) -> None:
        """Starts a daemon, which knows nothing of what its earlier incarnation knew."""
        number = int(name.rpartition("-")[2])
        identity = GatewayIdentity(
            name,
            self.zones[number % len(self.zones)],
            Address(f"10.0.1.{number + 1}", 7),
            drain_bound=2.0,
            apply_bound=2.0,
            min_member_ttl=1.0,
            job_retention=JOB_KEPT_SECONDS,
            store_limits=StoreLimits(262_144, 2_097_152, 4),
        )
        rng = random.Random(self.rng.getrandbits(64))
        earlier = self.daemons.get(name)
        daemon = Daemon(name, GatewayCore(identity, self._formats, rng), incarnation)
        daemon.is_cut_from_store = earlier is not None and earlier.is_cut_from_store
        self.daemons[name] = daemon
        self.step(daemon, ClockCompared(EPOCH_SECONDS))

    def kill(self, name: str, down: float = RESTART_SECONDS) -> None:
        """Kills a daemon; its next incarnation starts after some seconds."""
        daemon = self.daemons[name]
        daemon.is_alive = False
        self.after(down, lambda: self.start_daemon(name, daemon.incarnation + 1))

    def pause(self, name: str, seconds: float) -> None:
        """Suspends a daemon: events wait, and it keeps the state that it has."""
        self.daemons[name].paused_until = self.env.now + seconds

    def drain(self, name: str) -> None:
        """Stops a daemon as planned, and starts it anew."""
        daemon = self.daemons[name]
        self.step(daemon, DrainRequested())
        self.after(2.0, lambda: self.kill(name))

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Calls a function later."""
        self.env.timeout(seconds).callbacks.append(lambda _: call())

    def step(self, daemon: Daemon, event: GatewayEvent) -> None:
        """Has a daemon take an event, now or when it is no longer paused."""
        if not daemon.is_alive:
            return
        if self.env.now < daemon.paused_until:
            self.after(daemon.paused_until - self.env.now, lambda: self.step(daemon, event))
            return
        for instruction in daemon.core.step(self.env.now, event):
            self.carry_out(daemon, instruction)
        self._set_timer(daemon)

    def _set_timer(self, daemon: Daemon) -> None:
        due = max(daemon.core.next_due(), self.env.now + 0.001)
        if due >= daemon.timer_at and daemon.timer_at > self.env.now:
            return
        daemon.timer_at = due
        self.after(due - self.env.now, lambda: self._on_timer(daemon, due))

    def _on_timer(self, daemon: Daemon, due: float) -> None:
        if daemon.timer_at == due:
            daemon.timer_at = float("inf")
            self.step(daemon, TimerFired())

    def carry_out(self, daemon: Daemon, instruction: GatewayInstruction) -> None:
        """Does what a daemon's core asks for."""
        match instruction:
            case ReadNewest() | ReadRecords() | AppendRecords() | JoinGroup() | LeaveGroup():
                self._call_store(daemon, instruction)
            case RunItem():
                self.run_item(daemon, instruction)
            case StopItem():
                daemon.stopped.add(instruction.run)
            case SendToPeers():
                received = PeerMessageReceived(instruction.message)
                self.send_to_peers(daemon, instruction.addresses, received)
            case RequestPeerState():
                self._ask_peer(daemon, instruction)
            case AnswerJobCall():
                answer = self._calls.pop(instruction.token, None)
                if answer is not None:
                    answer(instruction.answer)

    def send_to_peers(
        self, daemon: Daemon, addresses: tuple[Address, ...], event: GatewayEvent
    ) -> None:
        """Carries a message from a daemon to others."""
        for peer in self.daemons.values():
            if peer.core.identity.peer_address in addresses:
                self.step_later(peer, event, 0.002)

    def _ask_peer(self, daemon: Daemon, instruction: RequestPeerState) -> None:
        for peer in self.daemons.values():
            if peer.core.identity.peer_address.host == instruction.host and peer.is_alive:
                state = peer.core.state_for_peer(self.env.now, instruction.version)
                self.step_later(daemon, PeerStateReceived(instruction.host, state), 0.005)

    def step_later(self, daemon: Daemon, event: GatewayEvent, seconds: float) -> None:
        """Has a daemon take an event later."""
        self.after(seconds, lambda: self.step(daemon, event))

    # The store.

    def _call_store(self, daemon: Daemon, call: StoreCall) -> None:
        self.store_calls[type(call).__name__] += 1
        call = self._change(call)
        if self.faults.is_down or daemon.is_cut_from_store:
            self._answer(daemon, call.call, CallFailed("down", False), 0.5)
            return
        if self.faults.is_silent:
            self._time_out(daemon, call, self.env.now)
            return
        is_write = isinstance(call, AppendRecords)
        if is_write and self.rng.random() < self.faults.answers_lost:
            late = LATE_SECONDS if self.faults.is_late else STORE_SECONDS
            self.after(late, lambda: self._act(call))
            self._answer(daemon, call.call, CallFailed("answer lost", True), 1.0)
            return
        if isinstance(call, ReadRecords) and call.wait > 0:
            self._read_waiting(daemon, call, self.env.now)
            return
        self.after(STORE_SECONDS / 2, lambda: self._act_and_answer(daemon, call))

    def _act(self, call: StoreCall) -> None:
        self.store.call(self.env.now, call)

    def _act_and_answer(self, daemon: Daemon, call: StoreCall) -> None:
        outcome = self.store.call(self.env.now, call)
        self._answer(daemon, call.call, outcome, STORE_SECONDS / 2)

    def _time_out(self, daemon: Daemon, call: StoreCall, sent_at: float) -> None:
        wait = call.wait if isinstance(call, ReadRecords) else 0.0
        left = max(0.0, sent_at + call.timeout + wait - self.now)
        self._answer(daemon, call.call, CallFailed("timed out", True), left)

    def _read_waiting(self, daemon: Daemon, call: ReadRecords, sent_at: float) -> None:
        if self.faults.is_silent:
            self._time_out(daemon, call, sent_at)
            return
        outcome = self.store.call(self.env.now, call)
        is_waiting = self.env.now < sent_at + call.wait
        if isinstance(outcome, RecordsRead) and not outcome.records and is_waiting:
            self.after(0.05, lambda: self._read_waiting(daemon, call, sent_at))
            return
        self._answer(daemon, call.call, outcome, STORE_SECONDS)

    def _answer(self, daemon: Daemon, call: int, outcome: StoreOutcome, seconds: float) -> None:
        self.step_later(daemon, StoreAnswered(call, outcome), seconds)

    def compact(self) -> None:
        """Drops the history of all partitions."""
        for log in self.store.logs.values():
            log.drop_history()

    def reassign(self) -> None:
        """Assigns all shards anew at once."""
        self.store.reassign(GROUP)

    # Engines.

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        """Has an engine run an item."""
        truth = next(
            (j for j in self.jobs.values() if any(i.item_id == run.item.item_id for i in j.items)),
            None,
        )
        if truth is None:
            self.violations.append(f"an item that nobody sent ran: {run.item.item_id}")
            return
        truth.ran[run.item.item_id] += 1
        if self.env.now > truth.ended_at + 3.0:
            self.violations.append(f"an item of an ended job ran: {run.item.item_id}")
        first = int(run.resume_after or 0)
        self.step_later(daemon, ItemBegun(run.run), 0.05)
        interval = EVENT_SECONDS * self.rng.uniform(0.5, 1.5)
        self.after(interval, lambda: self._make_event(daemon, run, first + 1, interval))

    def _make_event(self, daemon: Daemon, run: RunItem, number: int, interval: float) -> None:
        if not daemon.is_alive:
            return
        if run.run in daemon.stopped:
            ended = ItemRunEnded(run.run, AttemptOutcome.CUT, 200, "stopped", ())
            self.step(daemon, ended)
            return
        event = OutputEvent(str(number), event_text(run.item.item_id, number))
        self.step(daemon, ItemProgressed(run.run, (event,)))
        if number == EVENTS_AN_ITEM:
            self.step(daemon, ItemRunEnded(run.run, AttemptOutcome.COMPLETED, 200, "", ()))
            return
        self.after(interval, lambda: self._make_event(daemon, run, number + 1, interval))

    # Clients.

    def ask(
        self, daemon: Daemon, event: JobCall | JobSubmitted, answer: Callable[[JobAnswer], None]
    ) -> None:
        """Makes a client's call at a daemon."""
        self._calls[event.token] = answer
        self.step(daemon, event)

    def ask_any(self, event: JobCall | JobSubmitted, answer: Callable[[JobAnswer], None]) -> None:
        """Makes a client's call at a daemon that it may reach."""
        self.ask(self.any_daemon(), event, answer)

    @property
    def now(self) -> float:
        """Virtual time, in seconds."""
        return float(self.env.now)

    def next_token(self) -> int:
        """Returns a token for a call."""
        self._tokens += 1
        return self._tokens

    def any_daemon(self) -> Daemon:
        """Returns a daemon that a client may reach."""
        alive = [d for d in self.daemons.values() if d.is_alive and self.env.now >= d.paused_until]
        return self.rng.choice(alive or list(self.daemons.values()))

    def hand_in(
        self, job_id: str, items: int, tokens: int = 100, tries: int = 3, path: str = ""
    ) -> JobTruth:
        """Submits a job, again after each failure, and then reads its results.

        Each item has a path and body of its own, unless a `path` for all is given.
        """
        return self.clients.hand_in(job_id, items, tokens, tries, path)

    def end_job(self, truth: JobTruth) -> None:
        """Ends a job."""
        self.clients.end_job(truth)

    def drop_call(self, token: int) -> None:
        """Has a client stop waiting for the answer to a call."""
        self._calls.pop(token, None)

    # Runs.

    def run(self, seconds: float) -> None:
        """Lets virtual time pass, in seconds."""
        self.env.run(until=self.env.now + seconds)

    def unfinished(self) -> list[str]:
        """Returns the accepted jobs that are neither ended nor listed whole."""
        return [
            job.job_id
            for job in self.jobs.values()
            if job.is_open and len(job.results) < len(job.items)
        ]

    def waiting_tokens(self) -> int:
        """Returns the tokens of accepted items that no client has read as listed."""
        return sum(job.waiting_tokens() for job in self.jobs.values() if job.is_open)
