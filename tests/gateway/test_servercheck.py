"""What a new connection tells of a server, by real sockets."""

import socket
import threading

from troutswitch.common import Address
from troutswitch.decisions.crashes.messages import CheckServer, ServerFound
from troutswitch.gateway.servercheck import check_server


def address_of(listener: socket.socket) -> Address:
    return Address("127.0.0.1", listener.getsockname()[1])


def found(address: Address) -> ServerFound:
    return check_server(CheckServer("a", address)).found


def test_a_listening_port_is_alive_and_a_closed_one_has_ended() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = address_of(listener)
        assert found(address) is ServerFound.ALIVE
    assert found(address) is ServerFound.ENDED


def test_a_connection_that_is_closed_at_once_tells_nothing() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        closer = threading.Thread(target=lambda: listener.accept()[0].close())
        closer.start()
        assert found(address_of(listener)) is ServerFound.UNKNOWN
        closer.join()
