"""Registry of the requests in progress, shared by the loop's thread and the callers' threads.

For each request, identified by a token, it holds the channel for the loop's directives, the
caller's connection, and the exchange of the attempt in progress. `CallerWatch` detects callers that
disconnect.
"""

import itertools
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.clock import steady_seconds
from troutswitch.decisions.forwarding.messages import (
    AbortAttempt,
    CallerGone,
    FinishRequest,
    SendRequest,
)
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.gateway.callers.caller_watch import CallerWatch, is_closed
from troutswitch.gateway.engines.exchange import Exchange
from troutswitch.gateway.unexpected_errors import UnexpectedErrors
from troutswitch.runtime.channels import Channel


@dataclass(frozen=True, slots=True)
class LoopEnded:
    """Tells a request that the loop has ended, so that no further directive follows."""

    reason: str


Directive = SendRequest | FinishRequest | LoopEnded


@dataclass(slots=True)
class _Entry:
    """One request; `attempt` and `exchange` belong to the attempt in progress."""

    channel: Channel[Directive]
    attempt: int = 0
    exchange: Exchange | None = None
    aborted_attempt: int = 0
    is_caller_gone: bool = False


class RelayRegistry:
    """Channels, connections and exchanges of the requests in progress.

    Args:
        post: posts an event to the loop.
        errors: reports unexpected errors.
        on_thread_lost: called with the name of a thread that keeps failing.
    """

    def __init__(
        self,
        post: Callable[[GatewayEvent], None],
        errors: UnexpectedErrors | None = None,
        on_thread_lost: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._post = post
        self._errors = errors or UnexpectedErrors()
        self.caller_watch = CallerWatch(self._on_disconnect, self._errors, on_thread_lost)
        self._tokens = itertools.count(1)
        self._entries: dict[int, _Entry] = {}
        self._callers: dict[int, socket.socket] = {}
        self._ended: LoopEnded | None = None
        self._lock = threading.Lock()

    def next_token(self) -> int:
        """Returns a new token, which identifies a request within this process."""
        return next(self._tokens)

    @property
    def count(self) -> int:
        """Number of callers' requests in progress."""
        return len(self._callers)

    def register_caller(self, token: int, connection: socket.socket) -> None:
        """Registers a caller's connection until `unregister_caller`."""
        self._callers[token] = connection

    def watch(self, token: int) -> None:
        """Starts watching for the caller's disconnect.

        The request's arrival must be posted first: the loop cannot relate the disconnect to a
        request that it does not know. A connection that can't be watched is served all the same.
        """
        connection = self._callers.get(token)
        if connection is None:
            return
        try:
            self.caller_watch.add(token, connection)
        except OSError as error:  # the kernel has no memory, or the user too many watches
            self._errors.report("watch caller", error)

    def unregister_caller(self, token: int) -> None:
        """Unregisters a caller's connection and stops watching it."""
        connection = self._callers.pop(token, None)
        if connection is not None:
            self.caller_watch.remove(token, connection)

    def is_caller_gone(self, token: int) -> bool:
        """Returns whether a request's caller is known to have disconnected."""
        with self._lock:
            entry = self._entries.get(token)
            return entry is not None and entry.is_caller_gone

    def _on_disconnect(self, token: int, age: float) -> None:
        """Aborts the attempt, then reports the disconnect, which happened `age` seconds ago.

        The abort does not wait for the loop: a busy loop would keep the engine occupied.
        """
        closed_at = steady_seconds() - age
        with self._lock:
            entry = self._entries.get(token)
            exchange = entry.exchange if entry is not None else None
            if entry is not None:
                entry.is_caller_gone = True
        aborted_at = float("inf")
        if exchange is not None:
            exchange.abort()
            aborted_at = steady_seconds()
        self._post(CallerGone(token, closed_at, aborted_at))

    def open_channel(self, token: int) -> Channel[Directive]:
        """Opens the channel on which a request receives its directives."""
        channel: Channel[Directive] = Channel()
        with self._lock:
            self._entries[token] = _Entry(channel)
            ended = self._ended
        if ended is not None:
            channel.put(ended)
        return channel

    def close_channel(self, token: int) -> None:
        """Closes a request's channel."""
        with self._lock:
            self._entries.pop(token, None)

    def begin_attempt(self, token: int, attempt: int, exchange: Exchange) -> None:
        """Registers the exchange of an attempt, so that it can be aborted.

        If the caller has disconnected, the exchange is aborted before anything is sent, even if the
        watch has not reported the disconnect yet: the threads of a process that resumes after a
        suspension run in any order.
        """
        with self._lock:
            entry = self._entries.get(token)
            if entry is not None:
                entry.attempt = attempt
                entry.exchange = exchange
        if entry is None:
            return
        entry.is_caller_gone |= self._has_closed(token)
        if entry.is_caller_gone or entry.aborted_attempt == attempt:
            exchange.abort()  # aborted before it was registered

    def end_attempt(self, token: int) -> None:
        """Unregisters the exchange of an attempt that ended."""
        with self._lock:
            entry = self._entries.get(token)
            if entry is not None:
                entry.exchange = None

    def _has_closed(self, token: int) -> bool:
        connection = self._callers.get(token)
        return connection is not None and is_closed(connection)

    def end_loop(self, reason: str) -> None:
        """Has each request end with what its attempt in progress brings, without a decision."""
        ended = LoopEnded(reason)
        with self._lock:
            self._ended = ended
            entries = list(self._entries.values())
        for entry in entries:
            entry.channel.put(ended)

    def abort_all(self) -> None:
        """Aborts the attempts in progress."""
        with self._lock:
            exchanges = [entry.exchange for entry in self._entries.values()]
        for exchange in exchanges:
            if exchange is not None:
                exchange.abort()

    def send_directive(self, directive: SendRequest | FinishRequest) -> None:
        """Sends a directive to the request's thread."""
        with self._lock:
            entry = self._entries.get(directive.token)
        if entry is not None:
            entry.channel.put(directive)

    def abort_attempt(self, instruction: AbortAttempt) -> None:
        """Aborts the exchange of an attempt, now or when it is registered."""
        with self._lock:
            entry = self._entries.get(instruction.token)
            exchange = entry.exchange if entry is not None else None
            current = entry is not None and entry.attempt == instruction.attempt
            if entry is not None:
                entry.aborted_attempt = instruction.attempt
        if exchange is not None and current:
            exchange.abort(instruction.is_silent)
