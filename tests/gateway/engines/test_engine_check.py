"""Connection checks of engines, with real sockets."""

import socket

from troutswitch.common import Address
from troutswitch.decisions.crashes.messages import CheckEngine, EngineCheckResult
from troutswitch.gateway.engines.engine_check import check_engine


def address_of(listener: socket.socket) -> Address:
    return Address("127.0.0.1", listener.getsockname()[1])


def check_result(address: Address) -> EngineCheckResult:
    return check_engine(CheckEngine("a", address)).result


def test_open_port_is_reported_as_listening_and_closed_port_as_ended() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = address_of(listener)
        assert check_result(address) is EngineCheckResult.LISTENS
    assert check_result(address) is EngineCheckResult.ENDED


def test_host_that_is_no_address_is_an_unknown_result() -> None:
    for host in ("a..b", "\u00e4" * 80, "\0"):
        assert check_result(Address(host, 80)) is EngineCheckResult.UNKNOWN
