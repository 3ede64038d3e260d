"""A reserved port can be used by the intended server and by no other process."""

import socket
from collections.abc import Iterator

import pytest

from tests.ports import HOST, Ports, is_free_for_udp


@pytest.fixture
def ports() -> Iterator[Ports]:
    reserved = Ports()
    yield reserved
    reserved.release_all()


def test_server_can_listen_on_reserved_port_repeatedly(ports: Ports) -> None:
    port = ports.reserve()
    for _ in range(2):
        with socket.create_server((HOST, port)), socket.create_connection((HOST, port)):
            pass


def test_connections_to_reserved_port_are_refused(ports: Ports) -> None:
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((HOST, ports.reserve()))


def test_reserved_port_cannot_be_bound_until_released(ports: Ports) -> None:
    port = ports.reserve()
    with socket.socket() as other:
        with pytest.raises(OSError, match="in use"):
            other.bind((HOST, port))
        ports.release_all()
        other.bind((HOST, port))


def test_reserved_ports_differ(ports: Ports) -> None:
    numbers = [ports.reserve() for _ in range(200)]
    assert len(set(numbers)) == len(numbers)


def test_port_bound_for_udp_is_not_free() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as used:
        used.bind((HOST, 0))
        assert not is_free_for_udp(used.getsockname()[1])
