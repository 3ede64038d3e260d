"""Idle connections are checked in processes with any number of open descriptors."""

import fcntl
import resource
import socket
from collections.abc import Iterator

import pytest

from troutswitch.clock import steady_seconds
from troutswitch.common import Address
from troutswitch.gateway.engines.connection import EngineConnection
from troutswitch.runtime.readiness import is_readable

ABOVE_SELECT = 1024
"""The lowest descriptor that `select` does not take."""


@pytest.fixture(autouse=True)
def _many_descriptors() -> Iterator[None]:
    """Raises the limit of open descriptors to the maximum for a test."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def with_high_descriptor(sock: socket.socket) -> socket.socket:
    """Returns the same socket under a descriptor that `select` does not take."""
    duplicate = fcntl.fcntl(sock.fileno(), fcntl.F_DUPFD, ABOVE_SELECT)
    sock.close()
    return socket.socket(fileno=duplicate)


def test_a_socket_with_a_high_descriptor_is_checked() -> None:
    here, there = socket.socketpair()
    here = with_high_descriptor(here)
    with here, there:
        assert not is_readable(here)
        there.sendall(b"x")
        assert is_readable(here)


def test_an_end_of_file_is_readable() -> None:
    here, there = socket.socketpair()
    with here:
        there.close()
        assert is_readable(here)


def test_an_idle_engine_connection_with_a_high_descriptor_is_reusable() -> None:
    """Guards against requests that fail in a daemon with more than a thousand callers."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        connection = EngineConnection(Address("127.0.0.1", server.getsockname()[1]))
        connection.connect()
        connection.idle_since = steady_seconds()
        connection.sock = with_high_descriptor(connection.sock)
        assert connection.is_reusable("r1")
        connection.close()
