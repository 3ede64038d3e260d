"""Pages of newest records: a malformed row does not affect the others, no page is no empty one."""

import json
import socket
from typing import Any

import pytest

from tests.gateway.raw_server import RawServer
from troutswitch.decisions.storage.messages import (
    CallFailed,
    JoinGroup,
    NewestPage,
    Partition,
    ReadNewest,
)
from troutswitch.platform.store import StoreClient

VALID_ROW: dict[str, Any] = {"tlsKey": "i-1", "value": "e30=", "offset": 4}
MALFORMED_ROWS: list[Any] = [
    {"tlsKey": "bad", "value": "e3", "offset": 5},
    {"tlsKey": "bad", "value": "*", "offset": 5},
    {"tlsKey": "bad", "value": None, "offset": 5},
    {"tlsKey": None, "value": "e30="},
    {"value": "e30="},
    "no row",
    7,
]


def store_that_answers(body: bytes) -> StoreClient:
    """Returns a client of a store that answers each call with 200 and a body."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()

    def answer(server: RawServer, connection: socket.socket) -> None:
        server.read_head(connection)
        connection.sendall(head + body)

    return StoreClient(RawServer(answer).address)


def read(rows: list[Any]) -> list[tuple[str, bytes]]:
    body = json.dumps({"requests": rows, "more": False, "end": 6}).encode()
    outcome = store_that_answers(body).call(ReadNewest(1, Partition("servers")))
    assert isinstance(outcome, NewestPage)
    return [(record.key, record.value) for record in outcome.records]


@pytest.mark.parametrize("malformed", MALFORMED_ROWS, ids=repr)
def test_malformed_row_does_not_hide_the_others(malformed: Any) -> None:
    records = read([malformed, VALID_ROW])
    assert records[-1] == ("i-1", b"{}")
    assert all(value == b"" for _, value in records[:-1])


@pytest.mark.parametrize(
    "body",
    [b"{}", b'{"requests": []}', b'{"requests": [], "end": 6}', b'{"offset": 1, "end": 2}'],
)
def test_answer_without_the_fields_of_a_page_is_no_empty_page(body: bytes) -> None:
    """Guards against an answer of another kind by which all engines are gone."""
    outcome = store_that_answers(body).call(ReadNewest(1, Partition("servers")))
    assert isinstance(outcome, CallFailed) and outcome.may_have_acted


@pytest.mark.parametrize("body", [b"{}", b'{"generation": 5}', b'{"offset": 1, "end": 2}'])
def test_answer_without_the_fields_of_a_join_takes_no_partition_away(body: bytes) -> None:
    outcome = store_that_answers(body).call(JoinGroup(1, "g", "m", ("items",), 2.5, 1))
    assert isinstance(outcome, CallFailed) and outcome.may_have_acted
