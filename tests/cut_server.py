"""A server that sends the first bytes of an answer, and then ends or keeps the connection."""

import os
import socket
from enum import StrEnum

from tests.gateway.raw_server import READ_BYTES, RawServer, request_id
from troutswitch.common import Address
from troutswitch.standins.wire_sender import RESET_ON_CLOSE


class Ending(StrEnum):
    """What follows the first bytes of an answer."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


class CutServer:
    """Answers each request with the first `length` bytes of `answer`, all of them if it is None.

    `{id}` in the answer stands for the request's id.
    """

    def __init__(self, answer: bytes = b"", ending: Ending = Ending.CLOSE) -> None:
        self.answer = answer
        self.length: int | None = None
        self.ending = ending
        self._server = RawServer(self._serve)

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._server.address

    def _serve(self, server: RawServer, connection: socket.socket) -> None:
        identity = _read_request(server, connection)
        answer = self.answer.replace(b"{id}", identity.encode())
        connection.sendall(answer[: self.length])
        if self.length is None:
            return
        match self.ending:
            case Ending.CLOSE:
                connection.shutdown(socket.SHUT_WR)
                server.wait_for_end(connection)
            case Ending.RESET:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                os.close(connection.detach())
            case Ending.SILENCE:
                server.wait_for_end(connection)


def _read_request(server: RawServer, connection: socket.socket) -> str:
    """Reads a whole request, as a close with unread bytes resets; returns the request's id."""
    head, _, body = server.read_head(connection).partition(b"\r\n\r\n")
    missing = content_length(head) - len(body)
    while missing > 0:
        missing -= len(connection.recv(READ_BYTES))
    return request_id(head)


def content_length(head: bytes) -> int:
    """Returns the length of the body that a request's head announces, 0 if it announces none."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0
