"""A simulated fleet of gateway daemons whose engines crash under some requests.

A crashing request ends each engine that starts to run it, together with everything else that the
engine runs. The engine restarts some seconds later as a new incarnation. Callers retry at random
daemons with the same path and body, and with a new request id each time. The simulation records
the crashes under each request, and when which daemon sent the request to an engine.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.simulation.fleet import Daemon, SimulatedFleet
from tests.simulation.plain_formats import HOST, SERVICE
from troutswitch.common import Address
from troutswitch.decisions.crashes.content import content_key
from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked, EngineCheckResult
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    AnswerBegun,
    CallerGone,
    FinishRequest,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.forwarding.types import (
    Backend,
    PromptPart,
    PromptShape,
    Route,
    RouteKind,
)
from troutswitch.decisions.gateway_interface import GatewayEvent, GatewayInstruction
from troutswitch.decisions.gateway_messages import ProcessResumed
from troutswitch.decisions.jobs.messages import ItemRunEnded, RunItem
from troutswitch.outcomes import AttemptOutcome, Cut, MayHaveRun, NotRun

ONLINE_PREFIX = "/online/"
SLOTS = 8
CONTACT_SECONDS = 3.0
"""Time after the third crash by which every daemon that can be informed must know of it."""
ENGINE_RESTART_SECONDS = 3.4
"""Time from an engine's crash until its next incarnation writes its entry."""
ENTRY_EXPIRY_SECONDS = 3.6
"""Time from an engine's crash until its entry is removed."""
CONNECT_SECONDS = 0.002
FIRST_EVENT_SECONDS = 0.06
"""Time from a request's arrival at an engine until its first event."""
CRASH_DELAY_SECONDS = 0.05
"""Time from the first event of a crashing request until its engine crashes."""
ANSWER_SECONDS = (0.1, 0.6)
EVENTS_PER_ANSWER = 5
CALLER_TIMEOUT_SECONDS = 4.0
MAX_CALLER_TRIES = 4
CALLER_RETRY_SECONDS = 0.1
PART_TOKENS = 50
OUTPUT_TOKENS = 20
REJECTED_STATUS = 400
"""Status after which callers do not retry."""


@dataclass
class EngineIncarnation:
    """One incarnation of an engine, with the requests and items that it runs."""

    engine_id: str
    address: str
    is_alive: bool = True
    running: dict[object, Callable[[], None]] = field(default_factory=dict)
    """The callback for a crash of the engine, of each request or item that it runs."""


@dataclass
class EngineArrival:
    """One arrival of a request or item at an engine, and the daemon that sent it."""

    at: float
    daemon: str
    could_be_informed: bool


@dataclass
class Caller:
    """One caller, its request, and the outcomes of its tries."""

    path: str
    body: bytes
    crashes_engines: bool
    parts: tuple[str, ...] = ()
    """Ids of the parts of its prompt; the last belongs to the request alone."""
    remaining_tries: int = MAX_CALLER_TRIES
    outcome: str = ""
    statuses: list[int] = field(default_factory=list)

    @property
    def content(self) -> str:
        """The key by which daemons recognise the request in every try."""
        return content_key(HOST, "POST", self.path, self.body)


@dataclass
class CallerRequest:
    """One try of a caller at one daemon."""

    token: int
    caller: Caller
    daemon: Daemon
    attempt: int = 0
    incarnation: EngineIncarnation | None = None
    delivered: int = 0


class CrashingFleet(SimulatedFleet):
    """A fleet with engines that crash and callers that retry."""

    def __init__(self, seed: int, daemons: int = 6, engines: int = 6) -> None:
        self.incarnations: dict[str, EngineIncarnation] = {}
        self.crash_times: dict[str, list[float]] = defaultdict(list)
        """Times of the crashes under each crashing request or item, by content key."""
        self.arrivals: dict[str, list[EngineArrival]] = defaultdict(list)
        self.peer_loss_rate = 0.0
        """Share of sends between daemons that are lost, from 0 to 1."""
        self.isolated_from_peers: set[str] = set()
        """Daemons that neither send nor receive messages between daemons."""
        self.callers: list[Caller] = []
        self.crashing_items: set[str] = set()
        self.crashing_part = ""
        """Id of the part of prompts that crashes engines, or empty."""
        self.entry_expiry_seconds = ENTRY_EXPIRY_SECONDS
        """Time from an engine's crash until its entry is removed."""
        self.misdirected_requests = 0
        """Requests to a crashed incarnation that the next one at its address refused with 421."""
        self.requests_by_token: dict[int, CallerRequest] = {}
        self._disturbed_at: dict[str, float] = {}
        online = Route(
            "online",
            HOST,
            ONLINE_PREFIX,
            RouteKind.STREAM,
            (Backend(SERVICE, 1.0),),
            5.0,
            0.5,
            2,
            is_resumable=True,
            gap_limit=0.3,
        )
        super().__init__(seed, daemons, engines, extra_routes=(online,))

    # Engines.

    def register_engine(self, name: str, slots: int, is_draining: bool = False) -> None:
        """Writes an engine's entry to the store; a new name is a new incarnation."""
        if name not in self.incarnations:
            self.incarnations[name] = EngineIncarnation(name, name.partition(".")[0])
        super().register_engine(name, slots, is_draining)

    def crash(self, engine_id: str) -> None:
        """Ends an engine and all that it runs; its next incarnation starts some seconds later."""
        incarnation = self.incarnations[engine_id]
        if not incarnation.is_alive:
            return
        incarnation.is_alive = False
        running, incarnation.running = dict(incarnation.running), {}
        for on_crash in running.values():
            on_crash()
        number = sum(other.address == incarnation.address for other in self.incarnations.values())
        self.call_later(
            ENGINE_RESTART_SECONDS,
            lambda: self.register_engine(f"{incarnation.address}.{number}", SLOTS),
        )
        self.call_later(self.entry_expiry_seconds, lambda: self.remove_engine(engine_id))

    # Daemons.

    def mark_disturbed(self, daemon: str) -> None:
        """Excludes a daemon from those that can be informed, for `CONTACT_SECONDS` from now."""
        self._disturbed_at[daemon] = self.now

    def can_be_informed(self, daemon: Daemon) -> bool:
        """Whether a daemon reaches the store and has been undisturbed for `CONTACT_SECONDS`."""
        disturbed_at = self._disturbed_at.get(daemon.name, float("-inf"))
        return not daemon.is_partitioned_from_store and self.now >= disturbed_at + CONTACT_SECONDS

    def kill(self, name: str, down: float = 0.5) -> None:
        """Kills a daemon, which closes its callers' connections."""
        self.mark_disturbed(name)
        daemon = self.daemons[name]
        super().kill(name, down)
        for token, request in list(self.requests_by_token.items()):
            if request.daemon is daemon:
                self.lose_connection(token, request)

    def lose_connection(self, token: int, request: CallerRequest) -> None:
        """Ends a caller's try without an answer; its daemon is told if it is alive."""
        self._detach_from_engine(request)
        self.step(request.daemon, CallerGone(token, self.now))
        self.end_request(token, "closed", 0)

    def suspend(self, name: str, seconds: float) -> None:
        """Suspends a daemon's machine; the daemon notices the suspension first when it resumes."""
        daemon = self.daemons[name]
        self.mark_disturbed(name)
        self.pause(name, seconds)
        self.call_later(seconds, lambda: self.mark_disturbed(name))
        self.call_later(seconds, lambda: self.step(daemon, ProcessResumed(seconds)))

    def send_to_peers(
        self, daemon: Daemon, addresses: tuple[Address, ...], event: GatewayEvent
    ) -> None:
        """Delivers a message between daemons, unless it is lost or an end of it is isolated."""
        if daemon.name in self.isolated_from_peers or self.rng.random() < self.peer_loss_rate:
            return
        isolated = {
            self.daemons[name].core.identity.peer_address for name in self.isolated_from_peers
        }
        reachable = tuple(address for address in addresses if address not in isolated)
        super().send_to_peers(daemon, reachable, event)

    def step(self, daemon: Daemon, event: GatewayEvent) -> None:
        """Feeds an event to a daemon; an item whose run ended is removed from its engine."""
        if isinstance(event, ItemRunEnded):
            for incarnation in self.incarnations.values():
                incarnation.running.pop((daemon.name, daemon.incarnation, event.run), None)
        super().step(daemon, event)

    def execute(self, daemon: Daemon, instruction: GatewayInstruction) -> None:
        """Executes an instruction of a daemon's core."""
        match instruction:
            case SendRequest():
                self._start_attempt(daemon, instruction)
            case AbortAttempt():
                self._abort(instruction)
            case FinishRequest():
                self._finish(instruction)
            case CheckEngine():
                incarnation = self.incarnations[instruction.engine_id]
                listens = incarnation.is_alive or self._has_successor(incarnation)
                result = EngineCheckResult.LISTENS if listens else EngineCheckResult.ENDED
                self.step_later(
                    daemon, EngineChecked(incarnation.engine_id, result), CONNECT_SECONDS
                )
            case _:
                super().execute(daemon, instruction)

    # Online requests.

    def send_online(self, name: str, crashes_engines: bool = False) -> Caller:
        """Sends a caller's request to a random daemon, with retries on failure."""
        body = b"marked" if crashes_engines else b"plain"
        caller = Caller(f"{ONLINE_PREFIX}{name}", body, crashes_engines)
        self.callers.append(caller)
        self.send_request(caller)
        return caller

    def send_parts(self, name: str, *parts: str) -> Caller:
        """Sends a request of its own path and body, with the given parts in its prompt."""
        crashes_engines = self.crashing_part in parts
        path, body = f"{ONLINE_PREFIX}{name}", name.encode()
        caller = Caller(path, body, crashes_engines, (*parts, f"own-{name}"))
        self.callers.append(caller)
        self.send_request(caller)
        return caller

    def resend(self, caller: Caller) -> None:
        """Has a caller send the same path and body again, with all its retries."""
        caller.remaining_tries = MAX_CALLER_TRIES
        caller.outcome = ""
        self.send_request(caller)

    def send_request(self, caller: Caller) -> None:
        caller.remaining_tries -= 1
        token = self.next_token()
        daemon = self.daemon_for(caller)
        self.requests_by_token[token] = CallerRequest(token, caller, daemon)
        self.step(daemon, self.arrival(token, caller))

    def daemon_for(self, caller: Caller) -> Daemon:
        """Returns the daemon that a caller's next try reaches."""
        return self.random_daemon()

    def arrival(self, token: int, caller: Caller) -> RequestArrived:
        """Returns the event of a caller's request that arrives at a daemon."""
        return RequestArrived(
            token,
            f"try-{token}",
            HOST,
            caller.path,
            CALLER_TIMEOUT_SECONDS,
            _prompt_of(caller.parts),
            content=caller.content,
        )

    def _start_attempt(self, daemon: Daemon, send: SendRequest) -> None:
        request = self.requests_by_token.get(send.token)
        if request is None:
            return
        request.attempt = send.attempt
        request.incarnation = self.incarnations[send.engine_id]
        key = (send.token, send.attempt)
        request.incarnation.running[key] = lambda: self.end_attempt(send, AttemptOutcome.CUT)
        self.call_later(CONNECT_SECONDS, lambda: self._arrive(daemon, request, send))

    def _arrive(self, daemon: Daemon, request: CallerRequest, send: SendRequest) -> None:
        if not self.is_running(request, send):
            return
        assert request.incarnation is not None
        if not request.incarnation.is_alive and self._has_successor(request.incarnation):
            self.misdirected_requests += 1
            self.step(daemon, AnswerBegun(send.token, send.attempt, None, not_run=True))
            self.end_attempt(send, AttemptOutcome.REFUSED)
        elif not request.incarnation.is_alive:
            self.end_attempt(send, AttemptOutcome.UNREACHABLE)
        elif len(request.incarnation.running) > 2 * SLOTS:
            self.end_attempt(send, AttemptOutcome.REFUSED)
        else:
            self._record_arrival(daemon, request.caller.content)
            if self.crashing_part in request.caller.parts:
                self._record_arrival(daemon, self.crashing_part)
            self.call_later(FIRST_EVENT_SECONDS, lambda: self.begin_answer(request, send))

    def _has_successor(self, ended: EngineIncarnation) -> bool:
        """Whether a later incarnation listens at the address of one that crashed."""
        return any(
            incarnation.address == ended.address and incarnation.is_alive
            for incarnation in self.incarnations.values()
        )

    def _record_arrival(self, daemon: Daemon, content: str) -> None:
        arrival = EngineArrival(self.now, daemon.name, self.can_be_informed(daemon))
        self.arrivals[content].append(arrival)

    def is_running(self, request: CallerRequest, send: SendRequest) -> bool:
        is_current = request.attempt == send.attempt and send.token in self.requests_by_token
        return is_current and request.incarnation is not None

    def begin_answer(self, request: CallerRequest, send: SendRequest) -> None:
        if not self.is_running(request, send):
            return
        self.step(request.daemon, AnswerBegun(send.token, send.attempt, None))
        if request.caller.crashes_engines:
            incarnation = request.incarnation
            assert incarnation is not None
            self.call_later(
                CRASH_DELAY_SECONDS, lambda: self._crash_under(request, send, incarnation)
            )
            return
        request.delivered = 1
        seconds = self.rng.uniform(*ANSWER_SECONDS)
        self.call_later(seconds, lambda: self._complete(request, send))

    def _crash_under(
        self, request: CallerRequest, send: SendRequest, incarnation: EngineIncarnation
    ) -> None:
        if self.is_running(request, send) and incarnation.is_alive:
            self.crash_times[request.caller.content].append(self.now)
            if self.crashing_part in request.caller.parts:
                self.crash_times[self.crashing_part].append(self.now)
            self.crash(incarnation.engine_id)

    def _complete(self, request: CallerRequest, send: SendRequest) -> None:
        if self.is_running(request, send):
            request.delivered = EVENTS_PER_ANSWER
            self.end_attempt(send, AttemptOutcome.COMPLETED)
            self.end_request(send.token, "served", 200)

    def end_attempt(self, send: SendRequest, outcome: AttemptOutcome) -> None:
        request = self.requests_by_token.get(send.token)
        if request is None or request.attempt != send.attempt:
            return
        self._detach_from_engine(request)
        self.step(request.daemon, self.attempt_ended(request, send, outcome))

    def attempt_ended(
        self, request: CallerRequest, send: SendRequest, outcome: AttemptOutcome
    ) -> RequestAttemptEnded:
        """Returns the event of an attempt's end."""
        position = str(request.delivered) if request.delivered else ""
        return RequestAttemptEnded(
            send.token, send.attempt, outcome, position=position, delivered=request.delivered
        )

    def _detach_from_engine(self, request: CallerRequest) -> None:
        incarnation, request.incarnation = request.incarnation, None
        if incarnation is not None:
            incarnation.running.pop((request.token, request.attempt), None)

    def _abort(self, abort: AbortAttempt) -> None:
        request = self.requests_by_token.get(abort.token)
        if request is not None and request.attempt == abort.attempt:
            self._detach_from_engine(request)

    def _finish(self, finish: FinishRequest) -> None:
        match finish.outcome:
            case NotRun() as refused:
                self.end_request(finish.token, "refused", refused.status)
            case MayHaveRun() as failed:
                self.end_request(finish.token, "failed", failed.status)
            case Cut():
                self.end_request(finish.token, "cut", 0)

    def end_request(self, token: int, outcome: str, status: int) -> None:
        request = self.requests_by_token.pop(token, None)
        if request is None:
            return
        caller = request.caller
        caller.outcome = outcome
        caller.statuses.append(status)
        if outcome != "served" and status != REJECTED_STATUS and caller.remaining_tries > 0:
            self.call_later(CALLER_RETRY_SECONDS, lambda: self.send_request(caller))

    # Batch items.

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        """Runs an item at an engine; a crashing item ends the engine."""
        incarnation = self.incarnations[run.engine_id]
        if not incarnation.is_alive:
            ended = ItemRunEnded(run.run, AttemptOutcome.UNREACHABLE, 0, "refused", ())
            self.step_later(daemon, ended, CONNECT_SECONDS)
            return
        item = run.item
        content = content_key(run.host, "POST", item.path, item.body)
        self._record_arrival(daemon, content)
        cut = ItemRunEnded(run.run, AttemptOutcome.CUT, 200, "connection lost", ())
        key = (daemon.name, daemon.incarnation, run.run)
        incarnation.running[key] = lambda: self._cut_item(daemon, run, cut)
        if item.item_id in self.crashing_items:
            self.call_later(
                FIRST_EVENT_SECONDS + CRASH_DELAY_SECONDS,
                lambda: self._crash_item(content, incarnation, key),
            )
            return
        super().run_item(daemon, run)

    def _crash_item(self, content: str, incarnation: EngineIncarnation, key: object) -> None:
        if incarnation.is_alive and key in incarnation.running:
            self.crash_times[content].append(self.now)
            self.crash(incarnation.engine_id)

    def _cut_item(self, daemon: Daemon, run: RunItem, cut: ItemRunEnded) -> None:
        daemon.stopped_runs.add(run.run)  # its engine produces no more events
        self.step(daemon, cut)

    # Observations.

    def late_attempts(self, content: str, crashes: int = 3) -> int:
        """Returns the number of attempts of a request after its third crash had to be known.

        Attempts of daemons that could not be informed are not counted.

        Args:
            content: the key of the request's content, or the id of the crashing part.
            crashes: number of crashes from which attempts count.
        """
        crash_times = self.crash_times[content]
        if len(crash_times) < crashes:
            return 0
        known_at = crash_times[crashes - 1] + CONTACT_SECONDS
        return sum(
            arrival.at > known_at and arrival.could_be_informed
            for arrival in self.arrivals[content]
        )


def _prompt_of(parts: tuple[str, ...]) -> PromptShape:
    """Returns a prompt with the given parts, or one of unknown size without any."""
    if not parts:
        return PromptShape()
    shape = tuple(PromptPart(part, PART_TOKENS) for part in parts)
    return PromptShape(PART_TOKENS * len(parts), OUTPUT_TOKENS, shape)
