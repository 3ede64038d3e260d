"""The HTTP listener: a waitress server on one port, with its own threads.

It owns the port and the connections; the application produces the responses. While the listener
drains, each response carries `Connection: close`. The listener reports connections that it closes,
and requests whose callers disconnected before they were served.
"""

import contextlib
import logging
import socket
import sys
import threading
from collections.abc import Callable
from functools import partial
from typing import Any

import waitress.channel
import waitress.server
import waitress.task

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import RequestLimits
from troutswitch.gateway.callers.accounted_channel import (
    DEFAULT_TIME_LIMIT_SECONDS,
    AccountedChannel,
)
from troutswitch.gateway.callers.caller_watch import close_age, is_closed
from troutswitch.gateway.callers.dispatcher import GrowingDispatcher
from troutswitch.gateway.callers.unread_answers import UnreadAnswer, UnreadAnswers
from troutswitch.gateway.memory.account import MemoryAccount
from troutswitch.gateway.service_thread import ServiceThread
from troutswitch.gateway.unexpected_errors import UnexpectedErrors
from troutswitch.runtime.http import WsgiApplication
from troutswitch.runtime.send_queue import unacknowledged_bytes

THREAD_STACK_BYTES = 256 * 1024
"""Small, because most threads only wait for I/O."""
BACKLOG = 1024
"""Connections that the kernel queues until they are accepted."""
CONNECTION_IDLE_SECONDS = 60
"""Minimum idle time after which a caller's connection is closed."""
LOOKAHEAD_REQUESTS = 1
"""Requests read ahead of the one in progress: waitress keeps reading, and so detects a close."""
LINGER_BYTES = 64 * 1024
"""Bytes that a caller has not acknowledged from which on its connection is kept open. Fewer bytes
are on their way for a moment only. A draining listener closes no connection with any."""
CLEANUP_INTERVAL_SECONDS = 10
"""Interval between sweeps for idle connections."""

CONNECTION_KEY = "troutswitch.connection"
"""Key of the connection's socket in a request's WSGI environment."""


BEGIN_ANSWER_KEY = "troutswitch.begin_answer"
"""Key of `_Channel.begin_answer` in the WSGI environment."""
DESCRIBE_ANSWER_KEY = "troutswitch.describe_answer"
"""Key of `AccountedChannel.describe_answer` in the WSGI environment, where answers are counted."""


class _Task(waitress.task.WSGITask):  # type: ignore[misc]
    """A request whose response carries `Connection: close` while the listener drains."""

    @property
    def has_body(self) -> bool:
        """Whether the response has a body. One to HEAD has none (RFC 9110, section 9.3.2).

        waitress writes it: the caller would take its bytes for the next response.
        """
        return bool(super().has_body) and self.request.command != "HEAD"

    def build_response_header(self) -> bytes:
        """Returns the head of the response."""
        if self.channel.server.is_draining:
            self.set_close_on_finish()
        return bytes(super().build_response_header())

    def get_environment(self) -> dict[str, Any]:
        """Returns the request's WSGI environment, including the connection's socket."""
        environment: dict[str, Any] = super().get_environment()
        environment[CONNECTION_KEY] = self.channel.connection
        environment[BEGIN_ANSWER_KEY] = self.channel.begin_answer
        if isinstance(self.channel, AccountedChannel):
            environment[DESCRIBE_ANSWER_KEY] = self.channel.describe_answer
        return environment


class _Channel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    """A caller's connection.

    waitress closes a connection as soon as the kernel has taken the last answer on it. If the
    caller has sent or sends a further request, that resets the connection, and the caller loses
    what it has not received. So this process first closes its sending side, and the connection once
    the caller has acknowledged everything or its time limit is over.
    """

    task_class = _Task

    def __init__(self, server: Any, connection: socket.socket, *rest: Any, **named: Any) -> None:
        self.connection = connection
        self._answered_id = ""
        self._due_at = 0.0
        self._is_sending_side_closed = False
        super().__init__(server, connection, *rest, **named)

    def handle_error(self) -> None:
        """Reports an unexpected error with this connection, and closes it; others are served."""
        error = sys.exception()
        if error is not None:
            self.server.errors.report("serve connection", error)
        self.handle_close()

    def begin_answer(self, request_id: str, time_limit: float) -> None:
        """Tells which request is answered next, and how long its caller waits, in seconds."""
        self._answered_id = request_id
        self._due_at = steady_seconds() + time_limit

    def unread_answer(self) -> UnreadAnswer | None:
        """Returns what the caller has not received; None if nothing. Called on any thread."""
        size = self.total_outbufs_len + unacknowledged_bytes(self.connection)
        if not size and not self.requests:
            return None
        due_at = self._due_at
        if self.requests:  # the time limit of a request that waits for a thread is not read yet
            due_at = max(due_at, steady_seconds() + DEFAULT_TIME_LIMIT_SECONDS)
        return UnreadAnswer(self._answered_id, size, due_at)

    def readable(self) -> bool:
        """Returns whether to wait for bytes; the listener asks at least once in a second.

        waitress lets an error here end the loop that serves all connections.
        """
        try:
            return self._is_readable()
        except Exception as error:
            return self._hang_up(error)

    def _is_readable(self) -> bool:
        if not self._is_sending_side_closed:
            return bool(super().readable())
        is_late = steady_seconds() >= self._due_at
        if is_late or not unacknowledged_bytes(self.connection):
            self.will_close = True
        return False

    def writable(self) -> bool:
        """Returns whether there is something to send, or the connection is to be closed."""
        try:
            return bool(self.will_close if self._is_sending_side_closed else super().writable())
        except Exception as error:
            return self._hang_up(error)

    def _hang_up(self, error: Exception) -> bool:
        """Reports an error, and has the listener close the connection after its next poll.

        A descriptor that is closed before the poll may be that of another connection after it.
        """
        self.server.errors.report("poll connection", error)
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)
        return True

    def handle_write(self) -> None:
        """Sends what is buffered; closes the sending side after the last answer."""
        if self.close_when_flushed and not self.will_close and not self._is_sending_side_closed:
            self._flush_exception(self._flush_some)
            if not self.total_outbufs_len and self._is_much_unacknowledged():
                self._close_sending_side()
                return
        super().handle_write()

    def _is_much_unacknowledged(self) -> bool:
        least = 1 if self.server.is_draining else LINGER_BYTES
        return unacknowledged_bytes(self.connection) >= least

    def _close_sending_side(self) -> None:
        self._is_sending_side_closed = True
        with contextlib.suppress(OSError):  # the caller has closed the connection meanwhile
            self.connection.shutdown(socket.SHUT_WR)

    def handle_close(self) -> None:
        """Reports the close, then closes the connection."""
        self.server.before_close(self.connection)
        super().handle_close()

    def service(self) -> None:
        """Serves a request, unless its caller disconnected while the request was queued.

        A daemon that resumes after a suspension finds such requests unread in its sockets. Without
        this check it sent them to engines before it read that their callers had closed.
        """
        if is_closed(self.connection):
            self.server.on_unserved(self.requests[0].headers, close_age(self.connection))
            self.connected = False  # makes the base class skip the request
        self.begin_answer("", DEFAULT_TIME_LIMIT_SECONDS)
        super().service()


class _LimitedChannel(_Channel, AccountedChannel):
    """A caller's connection whose memory is counted and limited."""


def _report_current_error(errors: UnexpectedErrors, step: str) -> None:
    """Reports the error that is handled; waitress would close the listening socket."""
    error = sys.exception()
    if error is not None:
        errors.report(step, error)


class _LibraryErrors(logging.Handler):
    """Reports what waitress logs; standard error, its default, may block or be closed."""

    def __init__(self, errors: UnexpectedErrors) -> None:
        super().__init__(logging.ERROR)
        self._errors = errors

    def emit(self, record: logging.LogRecord) -> None:
        """Reports the error of a line, or its text."""
        error = record.exc_info[1] if record.exc_info else None
        self._errors.report("serve request", error or RuntimeError(record.getMessage()))


def _report_library_errors(errors: UnexpectedErrors) -> None:
    logger = logging.getLogger("waitress")
    logger.setLevel(logging.ERROR)
    logger.propagate = False
    logger.handlers = [_LibraryErrors(errors)]
    logging.getLogger("waitress.queue").setLevel(logging.CRITICAL)


class HttpListener:
    """A waitress server with its own threads.

    Args:
        threads: maximum number of requests served concurrently; further requests wait.
        max_connections: maximum number of open connections; further ones wait to be accepted.
        before_close: called with a connection's socket before this process closes it.
        on_unserved: called with the headers of a request whose caller disconnected before it was
            served, and the age of that disconnect in seconds.
        memory: account of what connections hold; without a limit nothing is counted.

    Raises:
        OSError: the address cannot be bound.
    """

    def __init__(
        self,
        application: WsgiApplication,
        address: Address,
        threads: int,
        name: str,
        max_connections: int,
        before_close: Callable[[socket.socket], None] = lambda connection: None,
        on_unserved: Callable[[dict[str, str], float], None] = lambda headers, age: None,
        memory: MemoryAccount | None = None,
        errors: UnexpectedErrors | None = None,
        on_thread_lost: Callable[[str], None] = lambda name: None,
    ) -> None:
        errors = errors or UnexpectedErrors()
        _report_library_errors(errors)
        threading.stack_size(THREAD_STACK_BYTES)
        self._server: Any = waitress.server.create_server(
            application,
            host=address.host,
            port=address.port,
            threads=threads,
            _dispatcher=GrowingDispatcher(threads),
            backlog=BACKLOG,
            asyncore_use_poll=True,
            connection_limit=max_connections,
            channel_timeout=CONNECTION_IDLE_SECONDS,
            cleanup_interval=CLEANUP_INTERVAL_SECONDS,
            channel_request_lookahead=LOOKAHEAD_REQUESTS,
            max_request_header_size=RequestLimits().header_bytes,
            max_request_body_size=RequestLimits().body_bytes,
            log_socket_errors=False,
            ident="troutswitch",
        )
        self._server.is_draining = False
        self._server.before_close = before_close
        self._server.on_unserved = on_unserved
        self._server.channel_class = _Channel
        self._server.errors = errors
        self._server.handle_error = partial(_report_current_error, errors, "accept connection")
        if memory is not None and memory.is_limited:
            self._server.memory = memory
            self._server.header_seconds = RequestLimits().header_seconds
            self._server.channel_class = _LimitedChannel
        self.address = Address(address.host, int(self._server.effective_port))
        self._is_stopped = False
        self._thread = ServiceThread(name, self._run, errors, on_thread_lost)

    def start(self) -> None:
        """Starts serving."""
        self._thread.start()

    def set_limits(self, limits: RequestLimits) -> None:
        """Applies the configuration's limits to requests that are read from now on."""
        self._server.adj.max_request_header_size = limits.header_bytes
        self._server.adj.max_request_body_size = limits.body_bytes
        self._server.header_seconds = limits.header_seconds
        self._server.adj.channel_timeout = max(CONNECTION_IDLE_SECONDS, 2 * limits.idle_seconds)

    def drain(self) -> None:
        """Asks callers, with each response from now on, to close their connections."""
        self._server.is_draining = True

    def unread_answers(self) -> UnreadAnswers:
        """Returns what callers have not received."""
        unread = [channel.unread_answer() for channel in self._channels()]
        return UnreadAnswers(tuple(answer for answer in unread if answer is not None))

    def _channels(self) -> list[_Channel]:
        """Returns the open connections, which the listener's thread adds and removes."""
        while True:
            try:
                return list(self._server.active_channels.values())
            except RuntimeError:  # changed during the iteration
                continue

    def _run(self) -> None:
        try:
            self._server.run()
        except Exception:
            if not self._is_stopped:  # `stop` closes what the loop polls
                raise

    def stop(self) -> None:
        """Stops listening."""
        self._is_stopped = True
        self._server.close()
