"""A port that refuses is told from one that listens, by real sockets."""

import socket

from troutswitch.common import Address
from troutswitch.decisions.crashes.messages import CheckServer, ServerFound
from troutswitch.gateway.servercheck import check_server


def test_a_listening_port_is_alive_and_a_closed_one_has_ended() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = Address("127.0.0.1", listener.getsockname()[1])
        assert check_server(CheckServer("a", address)).found is ServerFound.ALIVE
    assert check_server(CheckServer("a", address)).found is ServerFound.ENDED
