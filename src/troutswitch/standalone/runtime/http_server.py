"""An HTTP server that answers all requests it has read before it stops.

It owns its port, connections and threads. The application must refuse new requests before the
stop.
"""

import contextlib
import select
import socket
import threading
import time

import waitress.channel
import waitress.server

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.runtime.http import WsgiApplication
from troutswitch.runtime.send_queue import unacknowledged_bytes

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Maximum length of a request body."""
ANSWER_SECONDS = 1.0
"""Maximum wait of `stop` for requests in progress: by then the daemon has refused new requests for
a second, and a refusal takes milliseconds."""
READ_SECONDS = 10.0
"""Maximum wait of `stop` for callers that still read their answers."""
QUIET_SECONDS = 0.1
"""After this time without a request in progress, none is left between socket and thread."""
POLL_SECONDS = 0.01
"""Interval between checks whether requests are in progress."""
THREAD_STACK_BYTES = 256 * 1024
"""Small, because relaying threads use little stack."""
MAX_IDLE_CONNECTIONS = 200
"""Maximum number of open connections in addition to those served by threads."""
CONNECTION_IDLE_SECONDS = 60
CLEANUP_SECONDS = 5
"""Interval between checks for idle connections."""


class HttpServer:
    """A waitress server with its own thread pool."""

    def __init__(
        self, application: WsgiApplication, address: Address, threads: int, name: str
    ) -> None:
        threading.stack_size(THREAD_STACK_BYTES)
        self._server = waitress.server.create_server(
            application,
            host=address.host,
            port=address.port,
            threads=threads,
            asyncore_use_poll=True,
            connection_limit=threads + MAX_IDLE_CONNECTIONS,
            channel_timeout=CONNECTION_IDLE_SECONDS,
            cleanup_interval=CLEANUP_SECONDS,
            max_request_body_size=MAX_BODY_BYTES,
            ident="troutswitch",
            clear_untrusted_proxy_headers=True,
        )
        self.address = Address(address.host, int(self._server.effective_port))
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Starts serving."""
        self._thread.start()

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            return  # the listening socket was closed by `stop`

    def stop(self) -> None:
        """Stops accepting connections, answers the requests already read, and closes.

        If the threads ended first, a request that waited for a thread would be cancelled, and its
        connection closed without a response.
        """
        self._wait_until_accepted()
        self._server.del_channel()
        with contextlib.suppress(OSError):
            self._server.socket.shutdown(socket.SHUT_RDWR)  # also while its thread polls it
        self._server.socket.close()
        self._wait_until_answered()
        self._server.task_dispatcher.shutdown(timeout=1)
        self._server.close()

    def _wait_until_accepted(self) -> None:
        """Waits until the backlog is empty: closing the listener resets connections in it."""
        deadline = steady_seconds() + ANSWER_SECONDS
        poller = select.poll()
        poller.register(self._server.socket, select.POLLIN)
        while poller.poll(0) and steady_seconds() < deadline:
            time.sleep(POLL_SECONDS)

    def _wait_until_answered(self) -> None:
        """Waits until nothing was in progress for `QUIET_SECONDS`.

        Waits at most `ANSWER_SECONDS` for requests, and `READ_SECONDS` for callers that still read.
        """
        started_at = quiet_since = steady_seconds()
        while steady_seconds() < quiet_since + QUIET_SECONDS:
            elapsed = steady_seconds() - started_at
            is_answering = elapsed < ANSWER_SECONDS and self._is_answering()
            if is_answering or (elapsed < READ_SECONDS and self._is_being_read()):
                quiet_since = steady_seconds()
            time.sleep(POLL_SECONDS)

    def _is_answering(self) -> bool:
        return any(channel.requests for channel in self._channels())

    def _is_being_read(self) -> bool:
        """Returns whether a caller has not received what was written to its connection."""
        return any(
            channel.total_outbufs_len or unacknowledged_bytes(channel.socket)
            for channel in self._channels()
        )

    def _channels(self) -> list[waitress.channel.HTTPChannel]:
        return list(self._server.active_channels.values())
