"""The gate that ends a planned stop."""

from collections.abc import Iterable
from typing import Any

from troutswitch.gateway.callers.stop_gate import StopGate
from troutswitch.runtime.http import Environ, StartResponse


class Heads:
    def __init__(self) -> None:
        self.heads: list[tuple[str, list[tuple[str, str]]]] = []

    def __call__(self, status: str, headers: list[tuple[str, str]], *rest: Any) -> None:
        self.heads.append((status, headers))


def whole_answer(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    return [b"whole"]


def pieces(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    yield b"a"
    yield b"b"


def test_a_whole_answer_counts_until_the_engine_closes_it() -> None:
    gate = StopGate(whole_answer)
    answer: Any = gate({}, Heads())
    assert (list(answer), len(answer), gate.in_flight) == ([b"whole"], 1, 1)
    answer.close()
    assert gate.in_flight == 0


def test_pieces_count_until_the_engine_closes_them_and_are_closed_too() -> None:
    gate = StopGate(pieces)
    answer: Any = gate({}, Heads())
    assert next(iter(answer)) == b"a"
    assert gate.in_flight == 1
    answer.close()
    assert (list(answer), gate.in_flight) == ([], 0)


def test_a_failure_of_the_application_is_counted_out() -> None:
    def fails(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        raise OSError("lost")

    gate = StopGate(fails)
    try:
        gate({}, Heads())
    except OSError:
        assert gate.in_flight == 0
    else:
        raise AssertionError("the failure was swallowed")


def test_a_closed_gate_refuses_with_a_promise_and_a_time() -> None:
    gate = StopGate(whole_answer)
    gate.close()
    heads = Heads()
    gate({"HTTP_X_TROUTSWITCH_REQUEST_ID": "one"}, heads)
    status, headers = heads.heads[0]
    assert status.startswith("503")
    assert ("X-Troutswitch-Request-Id", "one") in headers
    assert float(dict(headers)["Retry-After"]) > 0
    assert gate.in_flight == 0
