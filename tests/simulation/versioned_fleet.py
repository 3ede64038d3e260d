"""A simulated fleet with engines of several software versions, and callers that resume streams.

Each event of a stream carries the version of the engine that wrote it. When a stream breaks off,
its caller resumes it at a random daemon after the last event that it received, and names the try
that brought the first event. The simulation counts the streams that hold events of two versions,
and how many streams began and went on.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TypeGuard

from tests.simulation.crashing_fleet import (
    EVENTS_PER_ANSWER,
    ONLINE_PREFIX,
    SLOTS,
    Caller,
    CallerRequest,
    CrashingFleet,
)
from tests.simulation.fleet import STORE_SECONDS, Daemon
from troutswitch.common import Address
from troutswitch.decisions.forwarding.messages import (
    AnswerBegun,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.gateway_interface import GatewayEvent, GatewayInstruction
from troutswitch.decisions.peers.catch_up import RequestPeerState
from troutswitch.decisions.slots.messages import PeerMessageReceived
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    CallFailed,
    ReadNewest,
    ReadRecords,
    StoreAnswered,
)
from troutswitch.decisions.streams.version_history import VERSIONS
from troutswitch.outcomes import AttemptOutcome

EVENT_SECONDS = 0.15
EVENTS_PER_STREAM = 2 * EVENTS_PER_ANSWER


@dataclass
class StreamCaller(Caller):
    """A caller with the events that it received, over all its tries."""

    versions: list[str] = field(default_factory=list)
    """Version of the engine that wrote each event, in order."""
    first_try_id: str = ""
    """Id of the try that brought the first event."""
    is_resumed: bool = False
    """Whether a try resumed the stream at a daemon that can be informed."""
    has_continued: bool = False
    """Whether a try that resumed the stream brought an event."""

    @property
    def is_mixed(self) -> bool:
        """Whether the stream holds events of several versions."""
        return len(set(self.versions)) > 1


class VersionedFleet(CrashingFleet):
    """A fleet with engines of several versions.

    Args:
        versions: the versions of the first engines, in order, repeated for further engines.
    """

    def __init__(
        self, seed: int, versions: tuple[str, ...], daemons: int = 6, engines: int = 6
    ) -> None:
        self._initial_versions = versions
        self.streams: list[StreamCaller] = []
        self._resuming: set[int] = set()
        """Tokens of the tries that resume a stream."""
        self.tries: Counter[str] = Counter()
        """Tries that began a stream anew ("new") or resumed one ("resumed"), and those of each
        kind that brought an event ("new, served", "resumed, served")."""
        self.resumption_daemons: tuple[str, ...] = ()
        """Names of the daemons at which callers resume streams; any if empty. Callers know no
        suspended machine, so these may be suspended."""
        self.resumptions: dict[bool, Counter[str]] = {False: Counter(), True: Counter()}
        """Tries that resumed a stream ("tried") and those that brought an event ("served"), by
        whether they reached a daemon of `resumption_daemons`."""
        self._at_named: set[int] = set()
        """Tokens of the tries that reached such a daemon."""
        self.refuses_version_records = False
        """Whether the store refuses to append records of versions."""
        self.version_reads = 0
        """Reads of the records of versions."""
        self.peer_messages: Counter[str] = Counter()
        """Messages sent between daemons, by type."""
        super().__init__(seed, daemons, engines)

    def register_engine(self, name: str, slots: int, is_draining: bool = False) -> None:
        """Writes an engine's entry; engines that have no version yet get one of the first ones."""
        address = name.partition(".")[0]
        if address not in self.engine_versions:
            number = len(self.engine_versions) % len(self._initial_versions)
            self.engine_versions[address] = self._initial_versions[number]
        super().register_engine(name, slots, is_draining)

    def start_engine(self, name: str, version: str) -> None:
        """Starts a new engine of a version."""
        self.engine_versions[name] = version
        self.register_engine(name, SLOTS)

    def retire_engine(self, name: str) -> None:
        """Drains an engine and ends it two seconds later."""
        self.register_engine(name, SLOTS, is_draining=True)
        self.call_later(2.0, lambda: self._end_engine(name))

    def _end_engine(self, name: str) -> None:
        self.remove_engine(name)
        incarnation = self.incarnations[name]
        incarnation.is_alive = False
        for on_end in list(incarnation.running.values()):
            on_end()

    def send_to_peers(
        self, daemon: Daemon, addresses: tuple[Address, ...], event: GatewayEvent
    ) -> None:
        """Counts and delivers a message between daemons."""
        if isinstance(event, PeerMessageReceived):
            self.peer_messages[type(event.message).__name__] += len(addresses)
        super().send_to_peers(daemon, addresses, event)

    def execute(self, daemon: Daemon, instruction: GatewayInstruction) -> None:
        """Executes an instruction; an isolated daemon reads no state from its peers."""
        if self._is_refused(instruction):
            refused = StoreAnswered(instruction.call, CallFailed("refused", False))
            self.step_later(daemon, refused, STORE_SECONDS)
            return
        if isinstance(instruction, ReadNewest | ReadRecords):
            self.version_reads += instruction.partition == VERSIONS
        is_isolated = daemon.name in self.isolated_from_peers
        if not (is_isolated and isinstance(instruction, RequestPeerState)):
            super().execute(daemon, instruction)

    def _is_refused(self, instruction: GatewayInstruction) -> TypeGuard[AppendRecords]:
        is_record = isinstance(instruction, AppendRecords) and instruction.partition == VERSIONS
        return is_record and self.refuses_version_records

    # Streams.

    def open_stream(self) -> StreamCaller:
        """Opens a stream at a random daemon, with retries and resumptions until it is complete."""
        name = f"{ONLINE_PREFIX}stream-{len(self.streams)}"
        caller = StreamCaller(name, b"plain", False)
        self.streams.append(caller)
        self.send_request(caller)
        return caller

    def leave(self, caller: StreamCaller) -> None:
        """Has the caller lose its connection, after which it resumes its stream."""
        for token, request in list(self.requests_by_token.items()):
            if request.caller is caller:
                self.lose_connection(token, request)

    def daemon_for(self, caller: Caller) -> Daemon:
        """Returns the daemon that a caller's next try reaches."""
        is_resumption = isinstance(caller, StreamCaller) and bool(caller.versions)
        if is_resumption and self.resumption_daemons:
            return self.daemons[self.rng.choice(self.resumption_daemons)]
        return super().daemon_for(caller)

    def arrival(self, token: int, caller: Caller) -> RequestArrived:
        """Returns the arrival of a try, which resumes the stream if the caller has events of it."""
        arrived = super().arrival(token, caller)
        if not isinstance(caller, StreamCaller):
            return arrived
        if not caller.versions:
            self.tries["new"] += 1
            return arrived
        self.tries["resumed"] += 1
        self._resuming.add(token)
        is_at_named = self.requests_by_token[token].daemon.name in self.resumption_daemons
        if is_at_named:
            self._at_named.add(token)
        self.resumptions[is_at_named]["tried"] += 1
        caller.is_resumed |= self.can_be_informed(self.requests_by_token[token].daemon)
        position = str(len(caller.versions))
        return replace(arrived, resume_after=position, resumed_id=caller.first_try_id)

    def begin_answer(self, request: CallerRequest, send: SendRequest) -> None:
        """Begins an engine's answer; a stream has one event per `EVENT_SECONDS`."""
        if not isinstance(request.caller, StreamCaller):
            super().begin_answer(request, send)
        elif self.is_running(request, send):
            self.step(request.daemon, AnswerBegun(send.token, send.attempt, None))
            self._send_event(request.caller, request, send)

    def _send_event(self, caller: StreamCaller, request: CallerRequest, send: SendRequest) -> None:
        if not self.is_running(request, send):
            return
        if not request.delivered:
            is_resumed = request.token in self._resuming
            caller.has_continued |= is_resumed
            if is_resumed:
                self.resumptions[request.token in self._at_named]["served"] += 1
            self.tries["resumed, served" if is_resumed else "new, served"] += 1
        caller.first_try_id = caller.first_try_id or f"try-{request.token}"
        caller.versions.append(self.engine_version(send.engine_id))
        request.delivered += 1
        if len(caller.versions) < EVENTS_PER_STREAM:
            self.call_later(EVENT_SECONDS, lambda: self._send_event(caller, request, send))
            return
        self.end_attempt(send, AttemptOutcome.COMPLETED)
        self.end_request(send.token, "served", 200)

    def attempt_ended(
        self, request: CallerRequest, send: SendRequest, outcome: AttemptOutcome
    ) -> RequestAttemptEnded:
        """Returns the event of an attempt's end; positions count the events of all tries."""
        ended = super().attempt_ended(request, send, outcome)
        if not isinstance(request.caller, StreamCaller):
            return ended
        versions = request.caller.versions
        began = versions[-request.delivered] if request.delivered else ""
        return replace(ended, position=str(len(versions) or ""), began_version=began)

    # Results.

    @property
    def mixed_streams(self) -> int:
        """Number of streams that hold events of several versions."""
        return sum(caller.is_mixed for caller in self.streams)

    @property
    def begun_share(self) -> float:
        """Share of the tries for new streams that brought an event."""
        return self.tries["new, served"] / max(1, self.tries["new"])

    @property
    def resumed_streams(self) -> int:
        """Number of streams that callers resumed at daemons that can be informed."""
        return sum(caller.is_resumed for caller in self.streams)

    @property
    def continued_share(self) -> float:
        """Share of these streams that went on."""
        continued = sum(caller.is_resumed and caller.has_continued for caller in self.streams)
        return continued / max(1, self.resumed_streams)
