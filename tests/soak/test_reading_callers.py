"""Reading callers record a whole answer, and one that ends early as interrupted."""

import socket
import threading

import pytest

from troutswitch.common import Address
from troutswitch.soak.callers import DaemonEndpoint, connect
from troutswitch.soak.observations import Observations, Outcome
from troutswitch.soak.reading_callers import ReadingCallers

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"


@pytest.mark.parametrize(
    ("answer", "expected", "goes_on"),
    [
        (HEAD + b"\r\n0123456789", Outcome.COMPLETE, True),
        (HEAD + b"Connection: close\r\n\r\n0123456789", Outcome.COMPLETE, False),
        (HEAD + b"\r\n0123", Outcome.INTERRUPTED, False),
        (b"", Outcome.INTERRUPTED, False),
        (b"this is no answer\r\n\r\n", Outcome.MALFORMED, False),
    ],
)
def test_answer_is_recorded(answer: bytes, expected: Outcome, goes_on: bool) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = DaemonEndpoint("daemon-0", Address(*server.getsockname()))

        def reply() -> None:
            connection, _ = server.accept()
            for _ in range(1 + goes_on):
                received = b""
                while b"has a large answer" not in received:
                    received += connection.recv(65536)
                connection.sendall(answer)
            connection.close()

        replying = threading.Thread(target=reply, daemon=True)
        replying.start()
        observations = Observations(0.0)
        callers = ReadingCallers(1, [endpoint], observations)
        connection = connect(endpoint.address)
        assert callers.send(connection, endpoint, "reader-1") is goes_on
        if goes_on:
            assert callers.send(connection, endpoint, "reader-2")
        connection.close()
        replying.join()
    assert {exchange.outcome for exchange in observations.exchanges} == {expected}
