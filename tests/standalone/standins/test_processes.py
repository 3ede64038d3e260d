"""The protocols of the stand-ins, in one process over loopback."""

import json
from collections.abc import Iterator

import pytest

from tests.standalone.system.fleet import call
from troutswitch.common import Address
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.decisions.events import Machine
from troutswitch.standalone.engines.client import EngineClient, EngineStream, StreamFailed
from troutswitch.standalone.engines.protocol import CompletionRequest
from troutswitch.standalone.log_service.client import LogClient, LogUnavailable
from troutswitch.standalone.machine_list.client import MachineListClient
from troutswitch.standalone.standins.engine import EngineStandin
from troutswitch.standalone.standins.platform import PlatformStandin

ANY_PORT = Address("127.0.0.1", 0)


@pytest.fixture
def platform() -> Iterator[PlatformStandin]:
    server = PlatformStandin(ANY_PORT, list_lag_seconds=0.0)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def engine() -> Iterator[EngineStandin]:
    server = EngineStandin(ANY_PORT, "engine", "m")
    server.start()
    yield server
    server.stop()


def test_the_log_keeps_the_order_and_an_append_with_a_lost_answer(
    platform: PlatformStandin,
) -> None:
    client = LogClient(platform.address)
    assert [client.append("s", body) for body in (b"a", b"b")] == [0, 1]
    assert client.read("s", 1, 10) == (1, (b"b",), 2)
    assert client.read("s", -1, 1) == (1, (b"b",), 2)
    call(platform.address, "POST", "/faults", {"lose_answers": 1.0})
    with pytest.raises(LogUnavailable):
        client.append("s", b"c")
    call(platform.address, "POST", "/faults", {})
    assert client.read("s", 2, 10) == (2, (b"c",), 3)
    assert call(platform.address, "POST", "/faults", {"gremlins": 1})[0] == 400


def test_machines_are_registered_listed_and_marked_as_leaving(platform: PlatformStandin) -> None:
    client = MachineListClient(platform.address)
    machine = Machine("a", "engine", Address("127.0.0.1", 9), "z", "m", "a-1")
    assert client.register(machine)
    assert client.read() == (machine,)
    assert call(platform.address, "DELETE", "/machines/a?leaving=1")[0] == 200
    assert [row.leaving for row in client.read() or ()] == [True]
    assert call(platform.address, "POST", "/machines", {"name": 1})[0] == 400


def test_commands_with_a_stale_fence_are_refused(engine: EngineStandin) -> None:
    def send_command(fence: int, name: str) -> int:
        body = {"fence": fence, "kind": "load_model", "name": name}
        return call(engine.address, "POST", "/v1/orders", body)[0]

    assert [send_command(2, "new"), send_command(1, "old"), send_command(2, "again")] == [
        200,
        409,
        200,
    ]
    assert engine.models == {"m", "new", "again"}


def test_cache_events_lag_and_have_gaps_and_prefixes_are_exported(engine: EngineStandin) -> None:
    for number in range(9):
        path = f"/v1/kv/p{number}?tokens=10"
        assert call(engine.address, "POST", path, {})[0] == 200
    reported = json.loads(call(engine.address, "GET", "/v1/cache/events?after=0")[1])
    assert [event["sequence"] for event in reported] == [1, 2, 3, 4, 5, 6, 8]
    assert call(engine.address, "GET", "/v1/kv/p3")[0] == 200
    assert call(engine.address, "GET", "/v1/kv/none")[0] == 404


def test_a_stream_with_any_id_can_be_cancelled(engine: EngineStandin) -> None:
    """Ids contain a '#', which truncated the path of the cancellation unless it was quoted."""
    stream = EngineStream(engine.address, 30.0)
    stream.open(CompletionRequest("daemon#1-b2", "p", 50_000, 10))
    pieces = stream.pieces()
    next(pieces)
    assert EngineClient().cancel(engine.address, "daemon#1-b2")
    errors: list[str] = []
    with pytest.raises(StreamFailed):
        for group in pieces:
            errors.extend(piece.error for piece in group)
    assert errors[-1] == "cancelled"


def test_a_dead_engine_is_unreachable_and_a_leaving_engine_refuses(engine: EngineStandin) -> None:
    with pytest.raises(StreamFailed) as dead:
        EngineStream(Address("127.0.0.1", 1), 1.0).open(CompletionRequest("a", "p", 1, 0))
    assert dead.value.kind is AttemptOutcome.UNREACHABLE
    engine.is_leaving = True
    with pytest.raises(StreamFailed) as refused:
        EngineStream(engine.address, 5.0).open(CompletionRequest("a", "p", 1, 0))
    assert (refused.value.kind, refused.value.leaving) == (AttemptOutcome.REFUSED, True)
    assert EngineClient().load(engine.address) is not None
