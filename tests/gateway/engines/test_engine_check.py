"""What a new connection tells of a server, by real sockets."""

import socket

from troutswitch.common import Address
from troutswitch.decisions.crashes.messages import CheckServer, ServerFound
from troutswitch.gateway.engines.engine_check import check_server


def address_of(listener: socket.socket) -> Address:
    return Address("127.0.0.1", listener.getsockname()[1])


def found(address: Address) -> ServerFound:
    return check_server(CheckServer("a", address)).found


def test_a_listening_port_listens_and_a_closed_one_has_ended() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = address_of(listener)
        assert found(address) is ServerFound.LISTENS
    assert found(address) is ServerFound.ENDED
