"""A simulated fleet of gateway daemons on a virtual clock, with a model of the store.

Each daemon is a complete `GatewayCore`. The simulation executes its instructions: store calls
go to a `KeyedStoreModel` with delays and faults, and batch items run at modelled engines that
produce one event per `EVENT_SECONDS` on average. Clients submit jobs and read results, and every
violation of the guarantees given to them is collected in `violations`.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import cbor2
import simpy

from tests.simulation.datagram_links import DatagramLinks
from tests.simulation.job_clients import JOB_RETENTION_SECONDS, JobClients
from tests.simulation.observed_job import EVENTS_PER_ITEM, ObservedJob, event_text
from tests.simulation.plain_formats import HOST, PREFIX, SERVICE, PlainFormats
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
    Formats,
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
from troutswitch.decisions.policies import Policies
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
"""Duration of a store call."""
LOST_APPEND_DELAY_SECONDS = 2.0
"""Time until an append whose answer was lost takes effect, if `delays_lost_appends` is set."""
EVENT_SECONDS = 0.1
"""Mean time between events; the interval of a run is 0.5 to 1.5 times as long."""
RESTART_SECONDS = 0.5
EPOCH_SECONDS = 1.7e9
"""Wall clock time at which the virtual clock starts."""


@dataclass
class StoreFaults:
    """Current faults of the store; `answer_loss_rate` is the share of appends, from 0 to 1.

    While the store `is_silent`, neither new calls nor calls that wait there are ever answered: they
    fail at their timeouts, even if the silence ends earlier.
    """

    is_down: bool = False
    is_silent: bool = False
    answer_loss_rate: float = 0.0
    delays_lost_appends: bool = False


@dataclass
class Daemon:
    """One process of a daemon; a killed one is replaced by the next `incarnation` of its name."""

    name: str
    core: GatewayCore
    incarnation: int
    is_alive: bool = True
    paused_until: float = 0.0
    is_partitioned_from_store: bool = False
    is_store_silent: bool = False
    """Whether its calls of the store are never answered."""
    runs: set[int] = field(default_factory=set)
    stopped_runs: set[int] = field(default_factory=set)
    timer_at: float = float("inf")


class SimulatedFleet:
    """Gateway daemons with their store, engines and clients on one virtual clock."""

    has_memory_limit = False
    """Whether the daemons' settings name a limit of memory."""

    def __init__(
        self,
        seed: int,
        daemons: int = 4,
        engines: int = 3,
        max_queued_tokens: int = 0,
        rewrite_call: Callable[[StoreCall], StoreCall] | None = None,
        extra_routes: tuple[Route, ...] = (),
        tenants: tuple[Tenant, ...] | None = None,
        zones: tuple[str, ...] = ("z",),
        policies: Policies | None = None,
        cache_tokens: int = 0,
        extra_services: tuple[Service, ...] = (),
    ) -> None:
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.store = KeyedStoreModel(4)
        self.faults = StoreFaults()
        self.links = DatagramLinks(random.Random(seed))
        self.violations: list[str] = []
        self.jobs: dict[str, ObservedJob] = {}
        self.daemons: dict[str, Daemon] = {}
        self.store_calls: Counter[str] = Counter()
        self.engine_versions: dict[str, str] = {}
        """Software versions of engines, by the part of their names before the first dot."""
        self.zones = zones
        self._policies = policies
        self._rewrite_call = rewrite_call or (lambda call: call)
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
            max_queued_tokens=max_queued_tokens,
            completion_target=20.0,
            retention=600.0,
        )
        own_service = Service(SERVICE, 100, 8, cache_tokens)
        services = {service.name: service for service in (own_service, *extra_services)}
        routes = (route, *extra_routes)
        configuration = FleetConfiguration(1, routes, services, RequestLimits(), tenants)
        self.formats = self.make_formats(configuration)
        self.publish(1)
        for number in range(engines):
            self.register_engine(f"server-{number}", 8)
        for number in range(daemons):
            self.start_daemon(f"daemon-{number}", 0)

    def make_formats(self, configuration: FleetConfiguration) -> Formats:
        """Returns the decoders of what `publish` and `register_engine` write."""
        return PlainFormats(configuration)

    def publish(self, version: int) -> None:
        """Writes a version of the configuration to the store, as an operator does."""
        record = KeyedRecord("configuration", str(version).encode())
        self.store.log(Partition("configuration")).append((record,))

    def register_engine(self, name: str, slots: int, is_draining: bool = False) -> None:
        """Writes an engine's entry to the store."""
        fields = [slots, is_draining, self.engine_version(name), self.engine_service(name)]
        record = KeyedRecord(name, cbor2.dumps(fields))
        self.store.log(Partition("servers")).append((record,))

    def engine_service(self, name: str) -> str:
        """Returns the service of an engine."""
        return SERVICE

    def engine_version(self, name: str) -> str:
        """Returns the software version of an engine, which all its incarnations share."""
        return self.engine_versions.get(name.partition(".")[0], "v1")

    def remove_engine(self, name: str) -> None:
        """Removes an engine's entry from the store without draining the engine first."""
        self.store.log(Partition("servers")).append((KeyedRecord(name, b""),))

    # Daemons.

    def start_daemon(self, name: str, incarnation: int) -> None:
        """Starts a daemon without any state of its earlier incarnation."""
        number = int(name.rpartition("-")[2])
        identity = GatewayIdentity(
            name,
            self.zones[number % len(self.zones)],
            Address(f"10.0.1.{number + 1}", 7),
            drain_bound=2.0,
            apply_bound=2.0,
            min_member_ttl=1.0,
            job_retention=JOB_RETENTION_SECONDS,
            store_limits=StoreLimits(262_144, 2_097_152, 4),
            has_memory_limit=self.has_memory_limit,
        )
        rng = random.Random(self.rng.getrandbits(64))
        earlier = self.daemons.get(name)
        daemon = Daemon(name, GatewayCore(identity, self.formats, rng, self._policies), incarnation)
        if earlier is not None:
            daemon.is_partitioned_from_store = earlier.is_partitioned_from_store
            daemon.is_store_silent = earlier.is_store_silent
        self.daemons[name] = daemon
        self.step(daemon, ClockCompared(EPOCH_SECONDS))

    def kill(self, name: str, down: float = RESTART_SECONDS) -> None:
        """Kills a daemon; its next incarnation starts after `down` seconds."""
        daemon = self.daemons[name]
        daemon.is_alive = False
        self.call_later(down, lambda: self.start_daemon(name, daemon.incarnation + 1))

    def pause(self, name: str, seconds: float) -> None:
        """Suspends a daemon: its events are delayed, and it keeps its state."""
        self.daemons[name].paused_until = self.env.now + seconds

    def drain(self, name: str) -> None:
        """Drains a daemon and restarts it."""
        daemon = self.daemons[name]
        self.step(daemon, DrainRequested())
        self.call_later(2.0, lambda: self.kill(name))

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedules a call of a function."""
        self.env.timeout(seconds).callbacks.append(lambda _: call())

    def step(self, daemon: Daemon, event: GatewayEvent) -> None:
        """Feeds an event to a daemon, immediately or once it is no longer paused."""
        if not daemon.is_alive:
            return
        if self.env.now < daemon.paused_until:
            self.call_later(daemon.paused_until - self.env.now, lambda: self.step(daemon, event))
            return
        for instruction in daemon.core.step(self.env.now, event):
            self.execute(daemon, instruction)
        self._set_timer(daemon)

    def _set_timer(self, daemon: Daemon) -> None:
        due = max(daemon.core.next_due(), self.env.now + 0.001)
        if due >= daemon.timer_at and daemon.timer_at > self.env.now:
            return
        daemon.timer_at = due
        self.call_later(due - self.env.now, lambda: self._on_timer(daemon, due))

    def _on_timer(self, daemon: Daemon, due: float) -> None:
        if daemon.timer_at == due:
            daemon.timer_at = float("inf")
            self.step(daemon, TimerFired())

    def execute(self, daemon: Daemon, instruction: GatewayInstruction) -> None:
        """Executes an instruction of a daemon's core."""
        match instruction:
            case ReadNewest() | ReadRecords() | AppendRecords() | JoinGroup() | LeaveGroup():
                self._call_store(daemon, instruction)
            case RunItem():
                self.run_item(daemon, instruction)
            case StopItem():
                daemon.stopped_runs.add(instruction.run)
            case SendToPeers():
                received = PeerMessageReceived(instruction.message)
                self.send_to_peers(daemon, instruction.addresses, received)
            case RequestPeerState():
                self._request_peer_state(daemon, instruction)
            case AnswerJobCall():
                answer = self._calls.pop(instruction.token, None)
                if answer is not None:
                    answer(instruction.answer)

    def send_to_peers(
        self, daemon: Daemon, addresses: tuple[Address, ...], event: GatewayEvent
    ) -> None:
        """Delivers a message of a daemon to the daemons at the given addresses."""
        for peer in self.daemons.values():
            if peer.core.identity.peer_address in addresses:
                self.deliver(daemon, peer, event)

    def deliver(self, sender: Daemon, receiver: Daemon, event: GatewayEvent) -> None:
        """Delivers a message of one daemon to another, as the link between them does."""
        for seconds in self.links.delays(sender.name, receiver.name):
            self.step_later(receiver, event, seconds)

    def _request_peer_state(self, daemon: Daemon, instruction: RequestPeerState) -> None:
        for peer in self.daemons.values():
            is_asked = peer.core.identity.peer_address.host == instruction.host
            if is_asked and peer.is_alive and self._reaches(daemon, peer):
                state = peer.core.state_for_peer(self.env.now, instruction.version)
                self.step_later(daemon, PeerStateReceived(instruction.host, state), 0.005)

    def _reaches(self, daemon: Daemon, peer: Daemon) -> bool:
        """Whether a peer answers a daemon's call now."""
        return self.env.now >= peer.paused_until and self.links.connects(daemon.name, peer.name)

    def step_later(self, daemon: Daemon, event: GatewayEvent, seconds: float) -> None:
        """Feeds an event to a daemon after a delay."""
        self.call_later(seconds, lambda: self.step(daemon, event))

    # The store.

    def store_seconds(self, daemon: Daemon, call: StoreCall) -> float:
        """Returns how long a call of the store takes."""
        return STORE_SECONDS

    def _call_store(self, daemon: Daemon, call: StoreCall) -> None:
        self.store_calls[type(call).__name__] += 1
        call = self._rewrite_call(call)
        if self.faults.is_down or daemon.is_partitioned_from_store:
            self._answer(daemon, call.call, CallFailed("down", False), 0.5)
            return
        if self.faults.is_silent or daemon.is_store_silent:
            self._time_out(daemon, call, self.env.now)
            return
        is_write = isinstance(call, AppendRecords)
        if is_write and self.rng.random() < self.faults.answer_loss_rate:
            delay = LOST_APPEND_DELAY_SECONDS if self.faults.delays_lost_appends else STORE_SECONDS
            self.call_later(delay, lambda: self._apply(call))
            self._answer(daemon, call.call, CallFailed("answer lost", True), 1.0)
            return
        if isinstance(call, ReadRecords) and call.wait > 0:
            self._read_waiting(daemon, call, self.env.now)
            return
        seconds = self.store_seconds(daemon, call)
        self.call_later(seconds / 2, lambda: self._apply_and_answer(daemon, call, seconds / 2))

    def _apply(self, call: StoreCall) -> None:
        self.store.call(self.env.now, call)

    def _apply_and_answer(self, daemon: Daemon, call: StoreCall, seconds: float) -> None:
        outcome = self.store.call(self.env.now, call)
        self._answer(daemon, call.call, outcome, seconds)

    def _time_out(self, daemon: Daemon, call: StoreCall, sent_at: float) -> None:
        wait = call.wait if isinstance(call, ReadRecords) else 0.0
        remaining = max(0.0, sent_at + call.timeout + wait - self.now)
        self._answer(daemon, call.call, CallFailed("timed out", True), remaining)

    def _read_waiting(self, daemon: Daemon, call: ReadRecords, sent_at: float) -> None:
        if self.faults.is_silent or daemon.is_store_silent:
            self._time_out(daemon, call, sent_at)
            return
        outcome = self.store.call(self.env.now, call)
        is_waiting = self.env.now < sent_at + call.wait
        if isinstance(outcome, RecordsRead) and not outcome.records and is_waiting:
            self.call_later(0.05, lambda: self._read_waiting(daemon, call, sent_at))
            return
        self._answer(daemon, call.call, outcome, STORE_SECONDS)

    def _answer(self, daemon: Daemon, call: int, outcome: StoreOutcome, seconds: float) -> None:
        self.step_later(daemon, StoreAnswered(call, outcome), seconds)

    def compact(self) -> None:
        """Drops the history of all partitions, so that only the newest records remain."""
        for log in self.store.logs.values():
            log.drop_history()

    def reassign_shards(self) -> None:
        """Reassigns all shards to the members of the group."""
        self.store.reassign(GROUP)

    # Engines.

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        """Runs an item at an engine."""
        job = next(
            (j for j in self.jobs.values() if any(i.item_id == run.item.item_id for i in j.items)),
            None,
        )
        if job is None:
            self.violations.append(f"an item that nobody sent ran: {run.item.item_id}")
            return
        job.run_counts[run.item.item_id] += 1
        if self.env.now > job.ended_at + 3.0:
            self.violations.append(f"an item of an ended job ran: {run.item.item_id}")
        first = int(run.resume_after or 0)
        self.step_later(daemon, ItemBegun(run.run), 0.05)
        interval = EVENT_SECONDS * self.rng.uniform(0.5, 1.5)
        self.call_later(interval, lambda: self._make_event(daemon, run, first + 1, interval))

    def _make_event(self, daemon: Daemon, run: RunItem, number: int, interval: float) -> None:
        if not daemon.is_alive:
            return
        if run.run in daemon.stopped_runs:
            ended = ItemRunEnded(run.run, AttemptOutcome.CUT, 200, "stopped", ())
            self.step(daemon, ended)
            return
        text = event_text(run.item.item_id, number, self.engine_version(run.engine_id))
        event = OutputEvent(str(number), text)
        self.step(daemon, ItemProgressed(run.run, (event,)))
        if number == EVENTS_PER_ITEM:
            self.step(daemon, ItemRunEnded(run.run, AttemptOutcome.COMPLETED, 200, "", ()))
            return
        self.call_later(interval, lambda: self._make_event(daemon, run, number + 1, interval))

    # Clients.

    def ask(
        self, daemon: Daemon, event: JobCall | JobSubmitted, answer: Callable[[JobAnswer], None]
    ) -> None:
        """Sends a client's call to a daemon; `answer` gets the answer."""
        self._calls[event.token] = answer
        self.step(daemon, event)

    def call_any_daemon(
        self, event: JobCall | JobSubmitted, answer: Callable[[JobAnswer], None]
    ) -> None:
        """Sends a client's call to a random daemon that is up."""
        self.ask(self.random_daemon(), event, answer)

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return float(self.env.now)

    def next_token(self) -> int:
        """Returns a new token for a call to a daemon."""
        self._tokens += 1
        return self._tokens

    def random_daemon(self) -> Daemon:
        """Returns a random daemon that is up, or any daemon if none is."""
        alive = [d for d in self.daemons.values() if d.is_alive and self.env.now >= d.paused_until]
        return self.rng.choice(alive or list(self.daemons.values()))

    def submit_job(
        self,
        job_id: str,
        items: int,
        tokens: int = 100,
        tries: int = 3,
        path: str = "",
        parts: str = "",
    ) -> ObservedJob:
        """Submits a job, retrying on failure, and then reads its results periodically.

        Items have different paths, or the same `path` and different bodies. `parts` has the ids of
        the parts of their prompts, separated by spaces.
        """
        return self.clients.submit_job(job_id, items, tokens, tries, path, parts)

    def end_job(self, job: ObservedJob) -> None:
        """Has a client end a job."""
        self.clients.end_job(job)

    def drop_call(self, token: int) -> None:
        """Discards the answer to a call if it still arrives."""
        self._calls.pop(token, None)

    # Runs.

    def run(self, seconds: float) -> None:
        """Advances virtual time by some seconds."""
        self.env.run(until=self.env.now + seconds)

    def unfinished_jobs(self) -> list[str]:
        """Returns the accepted jobs that were not ended and lack results of items."""
        return [
            job.job_id
            for job in self.jobs.values()
            if job.is_open and len(job.results) < len(job.items)
        ]

    def waiting_tokens(self) -> int:
        """Returns the total tokens of accepted items whose results no client has read."""
        return sum(job.waiting_tokens() for job in self.jobs.values() if job.is_open)
