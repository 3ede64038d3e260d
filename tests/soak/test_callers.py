"""Callers detect stray bytes on any file descriptor, and their threads do not die unnoticed.

Guards against a soak that reports no violation although caller threads have died. Twenty threads of
a large soak died because `select.select` fails above file descriptor 1,023, and nothing checked the
threads.
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
"""Number of file descriptors that `select.select` supports."""


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.mark.usefixtures("many_descriptors")
def test_stray_bytes_are_detected_on_a_descriptor_above_the_limit_of_select() -> None:
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
def test_a_dead_caller_thread_is_a_violation(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(self: Caller) -> bool:
        raise ValueError("filedescriptor out of range")

    observations = clean_observations()
    endpoint = type("Endpoint", (), {"daemon": "d", "address": Address("127.0.0.1", 1)})()
    caller = Caller("caller-1", 1, [endpoint], observations)
    monkeypatch.setattr(Caller, "_send_one", fail)
    caller.thread.start()
    caller.thread.join()
    assert [violation.promise for violation in checks.find_violations(observations)] == ["SOAK"]
