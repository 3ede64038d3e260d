"""What a new connection tells of an engine, by real sockets."""

import socket

from troutswitch.common import Address
from troutswitch.decisions.crashes.messages import CheckEngine, EngineFound
from troutswitch.gateway.engines.engine_check import check_engine


def address_of(listener: socket.socket) -> Address:
    return Address("127.0.0.1", listener.getsockname()[1])


def found(address: Address) -> EngineFound:
    return check_engine(CheckEngine("a", address)).found


def test_a_listening_port_listens_and_a_closed_one_has_ended() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = address_of(listener)
        assert found(address) is EngineFound.LISTENS
    assert found(address) is EngineFound.ENDED
