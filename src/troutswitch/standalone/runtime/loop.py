"""The event loop of a daemon: one thread that owns all state and makes every decision.

It waits on the UDP socket and a wake-up socket pair, passes events to the `DaemonCore`, and passes
its effects to an `EffectRunner`, whose threads make the blocking calls.
"""

import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.standalone.constants import MAX_DATAGRAM_BYTES
from troutswitch.standalone.daemons.messages import Message, Sealer
from troutswitch.standalone.decisions.daemon import DaemonCore
from troutswitch.standalone.decisions.effects import Effect
from troutswitch.standalone.decisions.events import DatagramReceived, Event, TimerFired

IDLE_SECONDS = 1.0
"""Maximum wait of an idle loop."""
MAX_DATAGRAMS_PER_TURN = 64
"""Maximum number of datagrams read before events and timers are handled."""


class Clock:
    """Seconds since the epoch, monotonic."""

    def __init__(self) -> None:
        self._offset = time.time() - steady_seconds()

    def now(self) -> float:
        """Returns the current time in seconds since the epoch."""
        return steady_seconds() + self._offset


class PeerSocket:
    """The UDP socket to other daemons; datagrams are signed by a `Sealer`."""

    def __init__(self, address: Address, sealer: Sealer, clock: Clock) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.socket.bind((address.host, address.port))
        self.socket.setblocking(False)
        self.address = Address(address.host, self.socket.getsockname()[1])
        self.sealer = sealer
        self._clock = clock

    def send(self, address: Address, message: Message) -> None:
        """Sends a message; drops it if the socket's buffer is full."""
        datagram = self.sealer.seal(self._clock.now(), message)
        try:
            self.socket.sendto(datagram, (address.host, address.port))
        except OSError:
            return

    def receive(self) -> DatagramReceived | None:
        """Returns the next authentic message, or None if none is pending."""
        while True:
            try:
                datagram, (host, port) = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, ConnectionRefusedError):
                return None
            message = self.sealer.open(self._clock.now(), datagram)
            if message is not None:
                return DatagramReceived(Address(host, port), message)

    def close(self) -> None:
        """Closes the socket."""
        self.socket.close()


class Loop:
    """Runs one `DaemonCore` on one thread."""

    def __init__(
        self,
        core: DaemonCore,
        peers: PeerSocket,
        clock: Clock,
        execute: Callable[[Effect], None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.core = core
        self.busy_seconds = 0.0
        self._peers = peers
        self._clock = clock
        self._execute = execute
        self._on_failure = on_failure
        self._events: deque[Event] = deque()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="loop", daemon=True)

    def start(self) -> None:
        """Starts the loop's thread."""
        self._thread.start()

    def post(self, event: Event) -> None:
        """Queues an event; may be called from any thread."""
        self._events.append(event)
        self._wake()

    def stop(self) -> None:
        """Stops the loop and waits for its thread."""
        self._stopping = True
        self._wake()
        self._thread.join(timeout=2.0)

    def _wake(self) -> None:
        try:
            self._wake_sender.send(b"\0")
        except BlockingIOError:
            return  # a wake-up is already pending

    def _run(self) -> None:
        selector = selectors.DefaultSelector()
        selector.register(self._peers.socket, selectors.EVENT_READ)
        selector.register(self._wake_receiver, selectors.EVENT_READ)
        try:
            while not self._stopping:
                due = self.core.next_due()
                wait = min(max(0.0, due - self._clock.now()), IDLE_SECONDS)
                selector.select(0.0 if self._events else wait)
                started = time.thread_time()
                self._turn()
                self.busy_seconds += time.thread_time() - started
        except BaseException as error:
            self._on_failure(error)
            raise
        finally:
            selector.close()

    def _turn(self) -> None:
        self._drain_wakeups()
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            received = self._peers.receive()
            if received is None:
                break
            self._step(received)
        while self._events:
            self._step(self._events.popleft())
        if self.core.next_due() <= self._clock.now():
            self._step(TimerFired())

    def _drain_wakeups(self) -> None:
        try:
            while self._wake_receiver.recv(4096):
                pass
        except BlockingIOError:
            return

    def _step(self, event: Event) -> None:
        for effect in self.core.step(self._clock.now(), event):
            self._execute(effect)
