"""Listeners that no program serves, on real sockets."""

import socket

import pytest

from troutswitch.soak.unusable_listeners import (
    MAX_HELD_CONNECTIONS,
    ListenerKind,
    UnusableListener,
)

SHORT_SECONDS = 0.1


def test_a_silent_listener_accepts_and_never_answers() -> None:
    listener = UnusableListener(ListenerKind.SILENT)
    connection = socket.create_connection(listener.address)
    connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
    connection.settimeout(SHORT_SECONDS)
    with pytest.raises(TimeoutError):
        connection.recv(1)
    listener.close()
    connection.close()


def test_a_resetting_listener_resets_each_connection() -> None:
    listener = UnusableListener(ListenerKind.RESETTING)
    for _ in range(2):
        with (
            pytest.raises(ConnectionError),
            socket.create_connection(listener.address) as connection,
        ):
            while connection.recv(1):
                pass
    listener.close()


def test_a_silent_listener_holds_a_bounded_number_of_connections() -> None:
    listener = UnusableListener(ListenerKind.SILENT)
    connections = [
        socket.create_connection(listener.address) for _ in range(MAX_HELD_CONNECTIONS + 1)
    ]
    with pytest.raises(ConnectionResetError):
        connections[0].recv(1)
    listener.close()
    for connection in connections:
        connection.close()


def test_a_closed_listener_refuses_connections() -> None:
    listener = UnusableListener(ListenerKind.RESETTING)
    listener.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(listener.address)
