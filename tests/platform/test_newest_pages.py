"""Pages of newest records: a malformed row does not affect the other rows."""

import json
import socket
from typing import Any

import pytest

from tests.gateway.raw_server import RawServer
from troutswitch.decisions.storage.messages import NewestPage, Partition, ReadNewest
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


def read(rows: list[Any]) -> list[tuple[str, bytes]]:
    body = json.dumps({"requests": rows, "more": False, "end": 6}).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()

    def answer(server: RawServer, connection: socket.socket) -> None:
        server.read_head(connection)
        connection.sendall(head + body)

    store = RawServer(answer)
    outcome = StoreClient(store.address).call(ReadNewest(1, Partition("servers")))
    assert isinstance(outcome, NewestPage)
    return [(record.key, record.value) for record in outcome.records]


@pytest.mark.parametrize("malformed", MALFORMED_ROWS, ids=repr)
def test_malformed_row_does_not_hide_the_others(malformed: Any) -> None:
    records = read([malformed, VALID_ROW])
    assert records[-1] == ("i-1", b"{}")
    assert all(value == b"" for _, value in records[:-1])
