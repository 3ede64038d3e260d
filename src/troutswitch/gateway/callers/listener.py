"""The HTTP listener: a waitress server on a port, with its own threads.

It owns the port and callers' connections. While it drains, each answer asks its caller to close the
connection. It relies on the application to answer, and reports closes of connections to the caller
watch and requests whose callers left before they were served.
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
from troutswitch.gateway.callers.caller_watch import close_age, is_closed
from troutswitch.gateway.callers.dispatcher import GrowingDispatcher
from troutswitch.runtime.http import WsgiApplication

THREAD_STACK_BYTES = 256 * 1024
"""Small, as most threads only wait."""
BACKLOG = 1024
"""Connections that the kernel holds until they are accepted."""
CONNECTION_IDLE_SECONDS = 60
"""Least idle time after which a caller's connection is closed."""
LOOKAHEAD_REQUESTS = 1
"""Requests read ahead of the one in progress, so that waitress reads on and sees a close."""
CLEANUP_INTERVAL_SECONDS = 10
"""Interval between checks for idle connections."""

CONNECTION_KEY = "troutswitch.connection"
"""Key of the WSGI environment that holds the socket of a request's connection."""


class _Task(waitress.task.WSGITask):  # type: ignore[misc]
    """A request whose answer says `Connection: close` while the listener drains."""

    def build_response_header(self) -> bytes:
        """Returns the answer's head."""
        if self.channel.server.is_draining:
            self.set_close_on_finish()
        return bytes(super().build_response_header())

    def get_environment(self) -> dict[str, Any]:
        """Returns the request's environment, with its connection."""
        environment: dict[str, Any] = super().get_environment()
        environment[CONNECTION_KEY] = self.channel.connection
        return environment


class _Channel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    """A caller's connection."""

    task_class = _Task

    def __init__(self, server: Any, connection: socket.socket, *rest: Any, **named: Any) -> None:
        self.connection = connection
        super().__init__(server, connection, *rest, **named)

    def handle_close(self) -> None:
        """Closes the connection, after its watch learnt of it."""
        self.server.before_close(self.connection)
        super().handle_close()

    def service(self) -> None:
        """Serves a request, unless its caller left while it waited to be read or for a thread.

        Without this check a daemon that was suspended sent such requests to engines, and read
        only then that their callers were gone.
        """
        if is_closed(self.connection):
            self.server.on_unserved(self.requests[0].headers, close_age(self.connection))
            self.connected = False  # the base class then serves nothing
        super().service()


class HttpListener:
    """A waitress server with its own threads.

    Args:
        threads: requests that are served at once; more wait.
        max_connections: connections that are open at once; more wait to be accepted.
        before_close: called with a connection's socket before this process closes it.
        on_unserved: called with the headers of a request whose caller left before it was
            served, and the age of the caller's close in seconds.

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
        self.address = Address(address.host, int(self._server.effective_port))
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Starts serving."""
        self._thread.start()

    def set_limits(self, limits: RequestLimits) -> None:
        """Sets the configuration's limits for requests read from now on."""
        self._server.adj.max_request_header_size = limits.header_bytes
        self._server.adj.max_request_body_size = limits.body_bytes
        self._server.adj.channel_timeout = max(CONNECTION_IDLE_SECONDS, 2 * limits.idle_seconds)

    def drain(self) -> None:
        """Asks callers from now on to close their connections."""
        self._server.is_draining = True

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            return  # the listening socket was closed by `stop`

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()
