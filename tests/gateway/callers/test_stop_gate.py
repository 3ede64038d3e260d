"""The stop gate counts requests in flight, and refuses new ones once it is closed."""

from collections.abc import Iterable
from typing import Any

from troutswitch.gateway.callers.stop_gate import StopGate
from troutswitch.runtime.http import Environ, StartResponse


class RecordedHeads:
    def __init__(self) -> None:
        self.heads: list[tuple[str, list[tuple[str, str]]]] = []

    def __call__(self, status: str, headers: list[tuple[str, str]], *rest: Any) -> None:
        self.heads.append((status, headers))


def complete_response(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    return [b"whole"]


def chunked_response(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    yield b"a"
    yield b"b"


def test_complete_response_is_in_flight_until_the_server_closes_it() -> None:
    gate = StopGate(complete_response)
    answer: Any = gate({}, RecordedHeads())
    assert (list(answer), len(answer), gate.in_flight) == ([b"whole"], 1, 1)
    answer.close()
    assert gate.in_flight == 0


def test_chunked_response_is_in_flight_until_the_server_closes_it() -> None:
    gate = StopGate(chunked_response)
    answer: Any = gate({}, RecordedHeads())
    assert next(iter(answer)) == b"a"
    assert gate.in_flight == 1
    answer.close()
    assert (list(answer), gate.in_flight) == ([], 0)


def test_failed_request_is_not_left_in_flight() -> None:
    def fails(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        raise OSError("lost")

    gate = StopGate(fails)
    try:
        gate({}, RecordedHeads())
    except OSError:
        assert gate.in_flight == 0
    else:
        raise AssertionError("the failure was swallowed")


def test_closed_gate_refuses_with_request_id_and_retry_after() -> None:
    gate = StopGate(complete_response)
    gate.close()
    heads = RecordedHeads()
    gate({"HTTP_X_TROUTSWITCH_REQUEST_ID": "one"}, heads)
    status, headers = heads.heads[0]
    assert status.startswith("503")
    assert ("X-Troutswitch-Request-Id", "one") in headers
    assert float(dict(headers)["Retry-After"]) > 0
    assert gate.in_flight == 0
