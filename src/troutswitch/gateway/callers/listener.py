"""The HTTP listener: a waitress server on one port, with its own threads.

It owns the port and the connections; the application produces the responses. While the listener
drains, each response carries `Connection: close`. The listener reports connections that it closes,
and requests whose callers disconnected before they were served.
"""

import logging
import socket
import threading
from collections.abc import Callable
from typing import Any

import waitress.channel
import waitress.server
import waitress.task

from troutswitch.common import Address
from troutswitch.decisions.forwarding.types import RequestLimits
from troutswitch.gateway.callers.accounted_channel import AccountedChannel
from troutswitch.gateway.callers.caller_watch import close_age, is_closed
from troutswitch.gateway.callers.dispatcher import GrowingDispatcher
from troutswitch.gateway.memory.account import MemoryAccount
from troutswitch.runtime.http import WsgiApplication

THREAD_STACK_BYTES = 256 * 1024
"""Small, because most threads only wait for I/O."""
BACKLOG = 1024
"""Connections that the kernel queues until they are accepted."""
CONNECTION_IDLE_SECONDS = 60
"""Minimum idle time after which a caller's connection is closed."""
LOOKAHEAD_REQUESTS = 1
"""Requests read ahead of the one in progress: waitress keeps reading, and so detects a close."""
CLEANUP_INTERVAL_SECONDS = 10
"""Interval between sweeps for idle connections."""

CONNECTION_KEY = "troutswitch.connection"
"""Key of the connection's socket in a request's WSGI environment."""


DESCRIBE_ANSWER_KEY = "troutswitch.describe_answer"
"""Key of `AccountedChannel.describe_answer` in the WSGI environment, where answers are counted."""


class _Task(waitress.task.WSGITask):  # type: ignore[misc]
    """A request whose response carries `Connection: close` while the listener drains."""

    def build_response_header(self) -> bytes:
        """Returns the head of the response."""
        if self.channel.server.is_draining:
            self.set_close_on_finish()
        return bytes(super().build_response_header())

    def get_environment(self) -> dict[str, Any]:
        """Returns the request's WSGI environment, including the connection's socket."""
        environment: dict[str, Any] = super().get_environment()
        environment[CONNECTION_KEY] = self.channel.connection
        if isinstance(self.channel, AccountedChannel):
            environment[DESCRIBE_ANSWER_KEY] = self.channel.describe_answer
        return environment


class _Channel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    """A caller's connection."""

    task_class = _Task

    def __init__(self, server: Any, connection: socket.socket, *rest: Any, **named: Any) -> None:
        self.connection = connection
        super().__init__(server, connection, *rest, **named)

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
        super().service()


class _LimitedChannel(_Channel, AccountedChannel):
    """A caller's connection whose memory is counted and limited."""


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
    ) -> None:
        logging.getLogger("waitress").setLevel(logging.ERROR)
        logging.getLogger("waitress.queue").setLevel(logging.CRITICAL)
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
        if memory is not None and memory.is_limited:
            self._server.memory = memory
            self._server.header_seconds = RequestLimits().header_seconds
            self._server.channel_class = _LimitedChannel
        self.address = Address(address.host, int(self._server.effective_port))
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

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

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            return  # `stop` closed the listening socket

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()
