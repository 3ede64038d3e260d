"""Gateway daemons before engines that end under some requests, on a virtual clock.

A request whose body is marked ends each engine that begins to run it; the engine is back after
some seconds as a new life. All else that the engine had is cut with it. Callers come again, at
any daemon, with the same path and body, and each try has an id of its own. The world notes which
engine lives ended under which request, and when it was sent to engines by whom.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.worlds.gateway_world import Daemon, GatewayWorld
from tests.worlds.plain_formats import HOST, SERVICE
from troutswitch.common import Address
from troutswitch.decisions.crashes.content import content_key
from troutswitch.decisions.crashes.messages import CheckEngine, EngineChecked, EngineCheckResult
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
from troutswitch.decisions.gateway_messages import ProcessResumed
from troutswitch.decisions.jobs.messages import ItemRunEnded, RunItem
from troutswitch.outcomes import AttemptOutcome, Cut, MayHaveRun, NotRun

ONLINE_PREFIX = "/online/"
SLOTS = 8
CONTACT_SECONDS = 3.0
"""Time after the third end by which every daemon that hears of others must know."""
BACK_SECONDS = 3.4
"""Time from an engine's end to the entry of its next life."""
ENTRY_GONE_SECONDS = 3.6
"""Time from an engine's end until its entry lapses."""
CONNECT_SECONDS = 0.002
BEGIN_SECONDS = 0.06
"""Time from a request's arrival at an engine to its first event."""
CRASH_SECONDS = 0.05
"""Time from the first event of a marked request to its engine's end."""
RUN_SECONDS = (0.1, 0.6)
EVENTS = 5
CALLER_SECONDS = 4.0
CALLER_TRIES = 4
CALLER_PAUSE_SECONDS = 0.1
REJECTED = 400
"""Status after which callers don't try again."""


@dataclass
class EngineLife:
    """One life of an engine, and what ends with it."""

    engine_id: str
    place: str
    is_alive: bool = True
    running: dict[object, Callable[[], None]] = field(default_factory=dict)
    """What is on it, by key, with what happens to each when the engine ends."""


@dataclass
class Sighting:
    """One arrival of a request at an engine."""

    at: float
    daemon: str
    was_in_touch: bool


@dataclass
class Caller:
    """One caller's request in all its tries."""

    path: str
    body: bytes
    is_marked: bool
    tries_left: int = CALLER_TRIES
    outcome: str = ""
    statuses: list[int] = field(default_factory=list)

    @property
    def content(self) -> str:
        """The request's name at the daemons."""
        return content_key(HOST, "POST", self.path, self.body)


@dataclass
class _Try:
    """One try at one daemon."""

    token: int
    caller: Caller
    daemon: Daemon
    attempt: int = 0
    incarnation: EngineLife | None = None
    delivered: int = 0


class CrashWorld(GatewayWorld):
    """Daemons, engines that end, and callers that come again."""

    def __init__(self, seed: int, daemons: int = 6, engines: int = 6) -> None:
        self.incarnations: dict[str, EngineLife] = {}
        self.ended: dict[str, list[float]] = defaultdict(list)
        """When engines ended under each marked content."""
        self.sightings: dict[str, list[Sighting]] = defaultdict(list)
        self.peer_loss = 0.0
        """Share of messages between daemons that are lost."""
        self.cut_from_peers: set[str] = set()
        """Daemons whose messages reach nobody, and whom none reach."""
        self.callers: list[Caller] = []
        self.marked_items: set[str] = set()
        self.misdirected = 0
        """Requests to a life that ended, answered 421 by the next life at its address."""
        self._tries: dict[int, _Try] = {}
        self._untouched_since: dict[str, float] = {}
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
        super().__init__(seed, daemons, engines, more_routes=(online,))

    # Engines.

    def list_engine(self, name: str, slots: int, is_draining: bool = False) -> None:
        """Has an engine write its entry; a new name is a new life."""
        if name not in self.incarnations:
            self.incarnations[name] = EngineLife(name, name.partition(".")[0])
        super().list_engine(name, slots, is_draining)

    def crash(self, engine_id: str) -> None:
        """Ends an engine's life: all on it is cut, and another life begins after some seconds."""
        incarnation = self.incarnations[engine_id]
        if not incarnation.is_alive:
            return
        incarnation.is_alive = False
        running, incarnation.running = dict(incarnation.running), {}
        for cut in running.values():
            cut()
        number = sum(other.place == incarnation.place for other in self.incarnations.values())
        self.after(BACK_SECONDS, lambda: self.list_engine(f"{incarnation.place}.{number}", SLOTS))
        self.after(ENTRY_GONE_SECONDS, lambda: self.remove_engine(engine_id))

    # Daemons.

    def note_trouble(self, daemon: str) -> None:
        """A daemon was disturbed, so it counts as in touch again only some seconds later."""
        self._untouched_since[daemon] = self.now

    def is_in_touch(self, daemon: Daemon) -> bool:
        """Returns whether a daemon could know what the others know."""
        since = self._untouched_since.get(daemon.name, float("-inf"))
        return not daemon.is_cut_from_store and self.now >= since + CONTACT_SECONDS

    def kill(self, name: str, down: float = 0.5) -> None:
        """Ends a daemon's life at once; its callers see their connections closed."""
        self.note_trouble(name)
        daemon = self.daemons[name]
        super().kill(name, down)
        for token, held in list(self._tries.items()):
            if held.daemon is daemon:
                self._leave(held)
                self._end_try(token, "closed", 0)

    def suspend(self, name: str, seconds: float) -> None:
        """Suspends a daemon's machine; on waking it finds the time on its clock before all else."""
        daemon = self.daemons[name]
        self.note_trouble(name)
        self.pause(name, seconds)
        self.after(seconds, lambda: self.note_trouble(name))
        self.after(seconds, lambda: self.step(daemon, ProcessResumed(seconds)))

    def send_to_peers(
        self, daemon: Daemon, addresses: tuple[Address, ...], event: GatewayEvent
    ) -> None:
        """Carries a message, unless it is lost."""
        if daemon.name in self.cut_from_peers or self.rng.random() < self.peer_loss:
            return
        cut = {self.daemons[name].core.identity.peer_address for name in self.cut_from_peers}
        reached = tuple(address for address in addresses if address not in cut)
        super().send_to_peers(daemon, reached, event)

    def step(self, daemon: Daemon, event: GatewayEvent) -> None:
        """Has a daemon take an event; an item that ended is no longer on its engine."""
        if isinstance(event, ItemRunEnded):
            for incarnation in self.incarnations.values():
                incarnation.running.pop((daemon.name, daemon.incarnation, event.run), None)
        super().step(daemon, event)

    def carry_out(self, daemon: Daemon, instruction: GatewayInstruction) -> None:
        """Does what a daemon's core asks for."""
        match instruction:
            case SendRequest():
                self._send(daemon, instruction)
            case AbortAttempt():
                self._abort(instruction)
            case FinishRequest():
                self._finish(instruction)
            case CheckEngine():
                incarnation = self.incarnations[instruction.engine_id]
                found = (
                    EngineCheckResult.LISTENS if incarnation.is_alive else EngineCheckResult.ENDED
                )
                self.step_later(
                    daemon, EngineChecked(incarnation.engine_id, found), CONNECT_SECONDS
                )
            case _:
                super().carry_out(daemon, instruction)

    # Online requests.

    def ask_online(self, name: str, is_marked: bool = False) -> Caller:
        """Has a caller send a request, again after each failure."""
        body = b"marked" if is_marked else b"plain"
        caller = Caller(f"{ONLINE_PREFIX}{name}", body, is_marked)
        self.callers.append(caller)
        self._try(caller)
        return caller

    def come_again(self, caller: Caller) -> None:
        """Has a caller begin anew with the same path and body."""
        caller.tries_left = CALLER_TRIES
        caller.outcome = ""
        self._try(caller)

    def _try(self, caller: Caller) -> None:
        caller.tries_left -= 1
        token = self.next_token()
        daemon = self.any_daemon()
        self._tries[token] = _Try(token, caller, daemon)
        event = RequestArrived(
            token,
            f"try-{token}",
            HOST,
            caller.path,
            CALLER_SECONDS,
            PromptShape(),
            content=caller.content,
        )
        self.step(daemon, event)

    def _send(self, daemon: Daemon, send: SendRequest) -> None:
        held = self._tries.get(send.token)
        if held is None:
            return
        held.attempt = send.attempt
        held.incarnation = self.incarnations[send.engine_id]
        key = (send.token, send.attempt)
        held.incarnation.running[key] = lambda: self._end_attempt(send, AttemptOutcome.CUT)
        self.after(CONNECT_SECONDS, lambda: self._arrive(daemon, held, send))

    def _arrive(self, daemon: Daemon, held: _Try, send: SendRequest) -> None:
        if not self._is_running(held, send):
            return
        assert held.incarnation is not None
        if not held.incarnation.is_alive and self._has_successor(held.incarnation):
            self.misdirected += 1
            self.step(daemon, AnswerBegun(send.token, send.attempt, None, not_run=True))
            self._end_attempt(send, AttemptOutcome.REFUSED)
        elif not held.incarnation.is_alive:
            self._end_attempt(send, AttemptOutcome.UNREACHABLE)
        elif len(held.incarnation.running) > 2 * SLOTS:
            self._end_attempt(send, AttemptOutcome.REFUSED)
        else:
            self._sight(daemon, held.caller.content)
            self.after(BEGIN_SECONDS, lambda: self._begin(held, send))

    def _has_successor(self, ended: EngineLife) -> bool:
        """Returns whether a later life has the address of a life that ended."""
        return any(
            incarnation.place == ended.place and incarnation.is_alive
            for incarnation in self.incarnations.values()
        )

    def _sight(self, daemon: Daemon, content: str) -> None:
        sighting = Sighting(self.now, daemon.name, self.is_in_touch(daemon))
        self.sightings[content].append(sighting)

    def _is_running(self, held: _Try, send: SendRequest) -> bool:
        is_current = held.attempt == send.attempt and send.token in self._tries
        return is_current and held.incarnation is not None

    def _begin(self, held: _Try, send: SendRequest) -> None:
        if not self._is_running(held, send):
            return
        self.step(held.daemon, AnswerBegun(send.token, send.attempt, None))
        if held.caller.is_marked:
            incarnation = held.incarnation
            assert incarnation is not None
            self.after(CRASH_SECONDS, lambda: self._crash_under(held, send, incarnation))
            return
        held.delivered = 1
        seconds = self.rng.uniform(*RUN_SECONDS)
        self.after(seconds, lambda: self._complete(held, send))

    def _crash_under(self, held: _Try, send: SendRequest, incarnation: EngineLife) -> None:
        if self._is_running(held, send) and incarnation.is_alive:
            self.ended[held.caller.content].append(self.now)
            self.crash(incarnation.engine_id)

    def _complete(self, held: _Try, send: SendRequest) -> None:
        if self._is_running(held, send):
            held.delivered = EVENTS
            self._end_attempt(send, AttemptOutcome.COMPLETED)
            self._end_try(send.token, "served", 200)

    def _end_attempt(self, send: SendRequest, kind: AttemptOutcome) -> None:
        held = self._tries.get(send.token)
        if held is None or held.attempt != send.attempt:
            return
        self._leave(held)
        position = str(held.delivered) if held.delivered else ""
        event = RequestAttemptEnded(
            send.token, send.attempt, kind, position=position, delivered=held.delivered
        )
        self.step(held.daemon, event)

    def _leave(self, held: _Try) -> None:
        incarnation, held.incarnation = held.incarnation, None
        if incarnation is not None:
            incarnation.running.pop((held.token, held.attempt), None)

    def _abort(self, abort: AbortAttempt) -> None:
        held = self._tries.get(abort.token)
        if held is not None and held.attempt == abort.attempt:
            self._leave(held)

    def _finish(self, finish: FinishRequest) -> None:
        match finish.outcome:
            case NotRun() as refused:
                self._end_try(finish.token, "refused", refused.status)
            case MayHaveRun() as failed:
                self._end_try(finish.token, "failed", failed.status)
            case Cut():
                self._end_try(finish.token, "cut", 0)

    def _end_try(self, token: int, outcome: str, status: int) -> None:
        held = self._tries.pop(token, None)
        if held is None:
            return
        caller = held.caller
        caller.outcome = outcome
        caller.statuses.append(status)
        if outcome != "served" and status != REJECTED and caller.tries_left > 0:
            self.after(CALLER_PAUSE_SECONDS, lambda: self._try(caller))

    # Batch items.

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        """Has an engine run an item; a marked one ends its engine."""
        incarnation = self.incarnations[run.engine_id]
        if not incarnation.is_alive:
            ended = ItemRunEnded(run.run, AttemptOutcome.UNREACHABLE, 0, "refused", ())
            self.step_later(daemon, ended, CONNECT_SECONDS)
            return
        item = run.item
        content = content_key(run.host, "POST", item.path, item.body)
        self._sight(daemon, content)
        cut = ItemRunEnded(run.run, AttemptOutcome.CUT, 200, "connection lost", ())
        key = (daemon.name, daemon.incarnation, run.run)
        incarnation.running[key] = lambda: self._cut_item(daemon, run, cut)
        if item.item_id in self.marked_items:
            self.after(
                BEGIN_SECONDS + CRASH_SECONDS, lambda: self._crash_item(content, incarnation, key)
            )
            return
        super().run_item(daemon, run)

    def _crash_item(self, content: str, incarnation: EngineLife, key: object) -> None:
        if incarnation.is_alive and key in incarnation.running:
            self.ended[content].append(self.now)
            self.crash(incarnation.engine_id)

    def _cut_item(self, daemon: Daemon, run: RunItem, cut: ItemRunEnded) -> None:
        daemon.stopped.add(run.run)  # its engine makes no more events
        self.step(daemon, cut)

    # What callers and engines saw.

    def sent_on(self, content: str) -> int:
        """Returns how often daemons in touch sent a request on after its third crash was known."""
        ended = self.ended[content]
        if len(ended) < 3:
            return 0
        known_at = ended[2] + CONTACT_SECONDS
        return sum(s.at > known_at and s.was_in_touch for s in self.sightings[content])
