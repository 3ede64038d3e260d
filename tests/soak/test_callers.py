"""A caller of the soak sees stray bytes at any descriptor, and does not die unseen.

What happened: a large soak reported no violation although twenty callers' threads had died.
Cause: `select.select` fails above descriptor 1,023, and nobody looked at the threads.
"""

import http.client
import resource
import socket
from collections.abc import Iterator

import pytest

from tests.soak.builders import clean_observations
from troutswitch.common import Address
from troutswitch.soak import checks
from troutswitch.soak.callers import Caller, peek_stray_bytes

SELECT_MAX_DESCRIPTORS = 1024
"""Descriptors that `select.select` takes."""


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.mark.usefixtures("many_descriptors")
def test_stray_bytes_are_seen_on_a_high_descriptor() -> None:
    ours, theirs = socket.socketpair()
    duplicates = [ours.dup() for _ in range(SELECT_MAX_DESCRIPTORS)]
    connection = http.client.HTTPConnection("127.0.0.1")
    connection.sock = duplicates[-1]
    try:
        assert duplicates[-1].fileno() >= SELECT_MAX_DESCRIPTORS
        assert peek_stray_bytes(connection) == b""
        theirs.sendall(b"stray")
        assert peek_stray_bytes(connection) == b"stray"
    finally:
        for duplicate in (*duplicates, ours, theirs):
            duplicate.close()


@pytest.mark.filterwarnings("ignore::pytest.PytestUnhandledThreadExceptionWarning")
def test_a_caller_that_dies_fails_the_soak(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(self: Caller) -> bool:
        raise ValueError("filedescriptor out of range")

    observations = clean_observations()
    endpoint = type("Front", (), {"daemon": "d", "address": Address("127.0.0.1", 1)})()
    caller = Caller("caller-1", 1, [endpoint], observations)
    monkeypatch.setattr(Caller, "_send_one", fail)
    caller.thread.start()
    caller.thread.join()
    assert [violation.promise for violation in checks.find_violations(observations)] == ["SOAK"]
