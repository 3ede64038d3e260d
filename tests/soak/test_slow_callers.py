"""Slow callers record what they observe, and a closed connection is not a violation."""

import socket
import threading

import pytest

from troutswitch.common import Address
from troutswitch.soak.callers import DaemonEndpoint
from troutswitch.soak.observations import Observations, Outcome
from troutswitch.soak.slow_callers import SlowCallers, Slowness

REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
PART = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (REFUSAL, (Outcome.COMPLETE, 503)),
        (PART, (Outcome.CALLER_LEFT, 200)),
        (b"", (Outcome.CALLER_LEFT, 0)),
        (b"this is no answer\r\n\r\n", (Outcome.MALFORMED, 0)),
    ],
)
def test_an_answer_that_is_read_late_is_recorded(
    answer: bytes, expected: tuple[Outcome, int]
) -> None:
    """Guards against a malformed answer that is recorded as a closed connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = DaemonEndpoint("daemon-0", Address(*server.getsockname()))

        def reply() -> None:
            connection, _ = server.accept()
            received = b""
            while b"has a large answer" not in received:
                received += connection.recv(65536)
            connection.sendall(answer)
            connection.close()

        replying = threading.Thread(target=reply, daemon=True)
        replying.start()
        observations = Observations(0.0)
        SlowCallers(1, [endpoint], observations).send(endpoint, "slow-1", Slowness.READS_LATE, 0.0)
        replying.join()
    assert [(e.outcome, e.status) for e in observations.exchanges] == [expected]
