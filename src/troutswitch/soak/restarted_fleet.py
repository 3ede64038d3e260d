"""Kills all daemons at once beside releases of engines, while callers resume their streams.

Each event of a stream names the engine that wrote it, so the text that a caller has received over
all its attempts shows whether it was joined from several software versions. The play is seeded; the
times at which the processes come up are not.
"""

import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from troutswitch.common import Address
from troutswitch.platform import names
from troutswitch.soak.callers import DaemonEndpoint, request_headers
from troutswitch.soak.fleet import Engine, Fleet, http_call
from troutswitch.soak.load_kinds import LoadKind
from troutswitch.soak.observations import Exchange, Observations, Outcome, RequestKind
from troutswitch.soak.receiving import exchange_on_new_connection
from troutswitch.standins.content import LONG_ITEM_EVENTS, LONG_ITEM_PREFIX
from troutswitch.standins.model_engine import BEHAVIOUR_PATH
from troutswitch.standins.ports import HOST

CALLERS = 12
RETRY_SECONDS = 0.1
"""Pause before a caller resumes a stream: a little less than a refusal states."""
RESUMING_SECONDS = 8.0
"""Time after a stream's last event for which its caller resumes it."""
STREAMING_SECONDS = 3.5
"""Time before a kill: longer than a stream takes, so that streams are at all positions."""
MAX_HEAD_START_SECONDS = 2.0
"""Longest time for which engines of a further version are listed before the daemons are killed."""
MAX_DELAY_SECONDS = 0.6
"""Longest time between two steps of a release after the daemons are ready again."""


class Release(StrEnum):
    """When engines of the next version take over, seen from the kill of all daemons."""

    NONE = "none"
    WHILE_DOWN = "while down"
    """All engines are replaced while no daemon runs."""
    AFTERWARDS = "afterwards"
    """The former engines end just after the daemons came back, and the next are listed then."""
    HALF_BEFORE = "half before"
    """Half of the engines are of the next version before; the others are replaced afterwards."""
    WITHDRAWN = "withdrawn"
    """The next version is listed shortly before, and gone when the daemons come back."""


@dataclass(slots=True)
class ReceivedStream:
    """A stream as its caller received it, over all attempts."""

    name: str
    engines: list[str] = field(default_factory=list)
    """The engine that wrote each event, in order."""
    first_id: str = ""
    """Request id of the attempt that brought the first event."""
    resumptions: int = 0
    """Attempts that resumed it and got an answer."""
    has_continued: bool = False
    """Whether such an attempt brought an event."""
    fault: str = ""
    """How its events are not those that follow on each other."""
    last_event_at: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether all events were received."""
        return len(self.engines) >= LONG_ITEM_EVENTS

    def add(self, answer: bytes) -> None:
        """Adds the complete events of an attempt's answer."""
        for event in answer.split(b"\n\n")[:-1]:
            fields = event.decode().partition("data: ")[2].split(" ")
            number, engine = int(fields[1]), fields[2]
            if number != len(self.engines) + 1:
                self.fault = f"event {number} follows {len(self.engines)}"
            self.engines.append(engine)
            self.last_event_at = time.monotonic()


class StreamCallers:
    """Callers that open streams at random daemons, and resume each one that breaks off."""

    def __init__(
        self, seed: int, endpoints: list[DaemonEndpoint], observations: Observations
    ) -> None:
        self.stop_requested = threading.Event()
        self.streams: list[ReceivedStream] = []
        self._seed = seed
        self._endpoints = endpoints
        self._observations = observations
        self._threads = [
            threading.Thread(target=self._open_streams, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Starts all callers."""
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Lets each caller end its stream, and waits for that."""
        self.stop_requested.set()
        for thread in self._threads:
            thread.join()

    def _open_streams(self, number: int) -> None:
        rng = random.Random(f"{self._seed}-{number}")
        count = 0
        while not self.stop_requested.wait(rng.uniform(0.0, RETRY_SECONDS)):
            count += 1
            stream = ReceivedStream(f"restarted-{self._seed}-{number}-{count}")
            self.streams.append(stream)
            self._receive(rng, stream)

    def _receive(self, rng: random.Random, stream: ReceivedStream) -> None:
        """Receives a stream to its end, or until the caller gives it up."""
        attempt = 0
        stream.last_event_at = time.monotonic()
        while not stream.is_complete:
            if time.monotonic() - stream.last_event_at > RESUMING_SECONDS:
                return
            if not stream.engines and self.stop_requested.is_set():
                return
            attempt += 1
            if not self._attempt(rng, stream, f"{stream.name}-{attempt}"):
                time.sleep(RETRY_SECONDS)

    def _attempt(self, rng: random.Random, stream: ReceivedStream, request_id: str) -> bool:
        """Makes an attempt; returns whether it brought an event."""
        endpoint = rng.choice(self._endpoints)
        path, body = f"/{RequestKind.STREAM}/{stream.name}", LONG_ITEM_PREFIX
        exchange = Exchange(
            request_id, RequestKind.STREAM, path, body, endpoint.daemon, time.monotonic()
        )
        headers = request_headers(request_id)
        received = len(stream.engines)
        if received:
            exchange.resumed_id, exchange.resumed_after = stream.first_id, received
            headers |= {names.LAST_EVENT_ID: str(received), names.RESUMES: stream.first_id}
        is_connected = exchange_on_new_connection(
            endpoint.address, exchange, headers, self._observations
        )
        if not is_connected or exchange.outcome is Outcome.MALFORMED:
            return False
        if exchange.status == 200:
            stream.add(exchange.answer)
        has_events = len(stream.engines) > received
        if received:
            stream.resumptions += bool(exchange.status)
            stream.has_continued |= has_events
        elif has_events:
            stream.first_id = request_id
        return has_events


class RestartedFleet(Fleet):
    """A fleet whose engines are replaced by those of further versions."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        daemons: int = 3,
        engines: int = 4,
        load: frozenset[LoadKind] = frozenset(),
    ) -> None:
        super().__init__(folder, seed, daemons, engines, load)
        self.rng = random.Random(seed)
        self.next_engines: list[Engine] = []
        """Engines of the next version, which run and are not listed yet."""
        self._releases = 0
        self._engine_count = engines

    # Engines.

    def prepare_release(self) -> None:
        """Starts engines of the next version."""
        self._releases += 1
        version = f"v{self._releases + 1}"
        self.next_engines = [
            self._start_unlisted(f"server-{self._releases}-{number}", version)
            for number in range(self._engine_count)
        ]
        for engine in self.next_engines:
            self._wait_until(lambda engine=engine: _answers(engine.address))

    def _start_unlisted(self, name: str, version: str) -> Engine:
        address = Address(HOST, self.ports.reserve())
        link = self._add_link(address, refuses_with_target=True)
        journal = self.folder / f"{name}.journal"
        journal.touch()
        engine = Engine(self._make_child(name), address, link, journal, self.seed)
        engine.starts, engine.versions = 1, (version,)
        engine.child.arguments = self._engine_arguments(engine)
        self.observations.engine_versions[engine.engine_id] = version
        self.group.add(engine.child)
        return engine

    def list_next(self, count: int | None = None) -> None:
        """Lists engines of the next version, all of them or the first few that are not listed."""
        listed = self.next_engines[:count]
        self.next_engines = [engine for engine in self.next_engines if engine not in listed]
        for engine in listed:
            self.operator.list_engine(engine.engine_id, engine.link.address, version=engine.version)
        self.engines += listed

    def end_engines(self, engines: list[Engine]) -> None:
        """Ends engines, whose records stay listed."""
        for engine in engines:
            engine.child.signal(signal.SIGKILL)

    def unlist(self, engines: list[Engine]) -> None:
        """Removes the records of engines."""
        for engine in engines:
            self.operator.unlist_engine(engine.engine_id)
        self.engines = [engine for engine in self.engines if engine not in engines]

    # Daemons.

    def kill_daemons(self) -> None:
        """Kills all daemons at once."""
        for daemon in self.daemons:
            daemon.child.signal(signal.SIGKILL)
        for daemon in self.daemons:
            assert daemon.child.process is not None
            daemon.child.process.wait()

    def start_daemons(self) -> None:
        """Starts all daemons anew, and waits until the first is ready."""
        for daemon in self.daemons:
            daemon.child.start()
        self._wait_until(lambda: any(daemon.is_ready() for daemon in self.daemons))

    # A round.

    def play(self, release: Release) -> None:
        """Kills all daemons while streams are open, with a release of engines beside it."""
        former = list(self.engines)
        if release is not Release.NONE:
            self.prepare_release()
        time.sleep(STREAMING_SECONDS)
        steps: dict[Release, Callable[[list[Engine]], None]] = {
            Release.NONE: self._kill_and_start,
            Release.WHILE_DOWN: self._replace_while_down,
            Release.AFTERWARDS: self._replace_afterwards,
            Release.HALF_BEFORE: self._replace_half_before,
            Release.WITHDRAWN: self._withdraw,
        }
        steps[release](former)
        time.sleep(STREAMING_SECONDS)

    def _kill_and_start(self, former: list[Engine]) -> None:
        self.kill_daemons()
        self.start_daemons()

    def _replace_while_down(self, former: list[Engine]) -> None:
        self.kill_daemons()
        self.end_engines(former)
        self.unlist(former)
        self.list_next()
        self.start_daemons()

    def _replace_afterwards(self, former: list[Engine]) -> None:
        self.kill_daemons()
        self.start_daemons()
        self._pause()
        self.end_engines(former)
        self._pause()
        self.list_next()
        self._pause()
        self.unlist(former)

    def _replace_half_before(self, former: list[Engine]) -> None:
        self.list_next(len(former) // 2)
        time.sleep(self.rng.uniform(0.0, MAX_HEAD_START_SECONDS))
        self._replace_afterwards(former)

    def _withdraw(self, former: list[Engine]) -> None:
        self.list_next()
        withdrawn = [engine for engine in self.engines if engine not in former]
        time.sleep(self.rng.uniform(0.0, MAX_HEAD_START_SECONDS))
        self.kill_daemons()
        self.end_engines(withdrawn)
        self.unlist(withdrawn)
        self.start_daemons()

    def _pause(self) -> None:
        time.sleep(self.rng.uniform(0.0, MAX_DELAY_SECONDS))


def _answers(address: Address) -> bool:
    return http_call(address, "POST", BEHAVIOUR_PATH, b"{}") == 200


@dataclass(frozen=True, slots=True)
class StreamResults:
    """What came of the streams of a play.

    `joined` has the streams with events of several versions, or whose events don't follow on each
    other; `continued` and `completed` count resumed ones.
    """

    opened: int
    resumed: int
    continued: int
    completed: int
    joined: tuple[str, ...]


def play_restarts(folder: Path, seed: int, releases: list[Release]) -> StreamResults:
    """Plays kills of all daemons, one for each release, and returns what came of the streams."""
    fleet = RestartedFleet(folder, seed)
    try:
        fleet.start()
        callers = StreamCallers(seed, fleet.direct_endpoints(), fleet.observations)
        callers.start()
        for release in releases:
            fleet.play(release)
        callers.finish()
    finally:
        fleet.stop()
    return results_of(callers.streams, fleet.observations.engine_versions)


def results_of(streams: list[ReceivedStream], versions: dict[str, str]) -> StreamResults:
    """Returns what came of streams whose engines had the given versions."""
    resumed = [stream for stream in streams if stream.resumptions]
    joined = []
    for stream in streams:
        used = list(dict.fromkeys(versions[engine] for engine in stream.engines))
        if len(used) > 1 or stream.fault:
            joined.append(f"{stream.name}: {' then '.join(used)} {stream.fault}".strip())
    return StreamResults(
        len(streams),
        len(resumed),
        sum(stream.has_continued for stream in resumed),
        sum(stream.is_complete for stream in resumed),
        tuple(joined),
    )
