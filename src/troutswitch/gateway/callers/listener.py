"""The waitress server for callers, which tells kept connections to close while draining."""

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
BACKLOG = 1024
CHANNEL_SECONDS = 60
"""Idle time after which a caller's connection is closed; well above what callers use."""
LOOKAHEAD = 1
"""Requests read ahead of the one in progress, which lets a close be seen at once."""

CONNECTION = "troutswitch.connection"
"""Key of a request's environment under which its connection's socket stands."""


class _Task(waitress.task.WSGITask):  # type: ignore[misc]
    """A request whose answer says `Connection: close` while the server drains."""

    def build_response_header(self) -> bytes:
        """Returns the answer's head."""
        if self.channel.server.is_draining:
            self.set_close_on_finish()
        return bytes(super().build_response_header())

    def get_environment(self) -> dict[str, Any]:
        """Returns the request's environment, with its connection."""
        environment: dict[str, Any] = super().get_environment()
        environment[CONNECTION] = self.channel.connection
        return environment


class _Channel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    """A caller's connection."""

    task_class = _Task

    def __init__(self, server: Any, connection: socket.socket, *rest: Any, **named: Any) -> None:
        self.connection = connection
        super().__init__(server, connection, *rest, **named)

    def handle_close(self) -> None:
        """Closes the connection, after its watch was told."""
        self.server.before_close(self.connection)
        super().handle_close()

    def service(self) -> None:
        """Serves a request, unless its caller left while it waited to be read or for a thread.

        Without it a daemon that stood still sent such requests to servers, and read only then
        that their callers were gone.
        """
        if is_closed(self.connection):
            self.server.on_unserved(self.requests[0].headers, close_age(self.connection))
            self.connected = False  # the base class then serves nothing
        super().service()


class HttpListener:
    """A waitress server with its own threads."""

    def __init__(
        self,
        application: WsgiApplication,
        address: Address,
        threads: int,
        name: str,
        connections_most: int,
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
            connection_limit=connections_most,
            channel_timeout=CHANNEL_SECONDS,
            cleanup_interval=10,
            channel_request_lookahead=LOOKAHEAD,
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
        """Puts the limits of the configuration in force for requests read from now on."""
        self._server.adj.max_request_header_size = limits.header_bytes
        self._server.adj.max_request_body_size = limits.body_bytes
        self._server.adj.channel_timeout = max(CHANNEL_SECONDS, 2 * limits.idle_seconds)

    def open_channels(self) -> list[Any]:
        """Returns the connections that are open."""
        return list(self._server.active_channels.values())

    def drain(self) -> None:
        """Tells callers from now on to close their connections."""
        self._server.is_draining = True

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            return  # the listening socket was closed by `stop`

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()
