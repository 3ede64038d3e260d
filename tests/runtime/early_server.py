"""A server that answers an upload before it has read it, and then ends the connection."""

import os
import socket
import threading
from dataclasses import dataclass

from tests.cut_server import content_length
from tests.gateway.raw_server import READ_BYTES, RawServer
from troutswitch.common import Address
from troutswitch.standins.wire_sender import RESET_ON_CLOSE


@dataclass(frozen=True)
class EarlyAnswer:
    """What a server sends after a head, and when it resets the connection.

    `upload_bytes` is how much of the upload it reads before, all of it for None; `pause` is how
    long it waits, in seconds, before the reset.
    """

    data: bytes
    upload_bytes: int | None = None
    pause: float = 0.0
    closes_first: bool = False
    """Whether it ends its side of the connection in order before the reset."""


class EarlyServer:
    """Answers each request early, and resets the connection while the upload is being written."""

    def __init__(self, answer: EarlyAnswer) -> None:
        self.answer = answer
        self._server = RawServer(self._serve)

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._server.address

    def _serve(self, server: RawServer, connection: socket.socket) -> None:
        head, _, body = server.read_head(connection).partition(b"\r\n\r\n")
        wanted = self.answer.upload_bytes
        left = (content_length(head) if wanted is None else wanted) - len(body)
        while left > 0 and (data := connection.recv(min(left, READ_BYTES))):
            left -= len(data)
        connection.sendall(self.answer.data)
        if self.answer.closes_first:
            connection.shutdown(socket.SHUT_WR)
        threading.Event().wait(self.answer.pause)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        os.close(connection.detach())
