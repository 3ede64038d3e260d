"""Asks an engine at its health path for its pace."""

import contextlib
import http.client
import socket
import threading
from collections.abc import Iterator

from troutswitch.decisions.slots.messages import HealthAnswered, HealthResult, RequestHealth
from troutswitch.gateway.engines.answer_proof import is_proved_health
from troutswitch.gateway.engines.connection import EngineConnection
from troutswitch.platform.engine_ids import instance_id
from troutswitch.platform.requests import read_health

HEALTH_TIMEOUT_SECONDS = 0.5
"""Timeout of the connection, and of the response from then on. Engines reply immediately."""


def request_health(request: RequestHealth) -> HealthAnswered:
    """Sends one request on a connection of its own, and reads the head of the response."""
    connection = EngineConnection(request.address)  # it takes no head that is cut for a whole one
    try:
        connection.connect()
        with _shut_down_after(HEALTH_TIMEOUT_SECONDS, connection.sock) as expired:
            connection.request("GET", request.path, headers={"Connection": "close"})
            health = read_health(connection.getresponse())
        if expired.is_set():  # the head may have been cut off
            return HealthAnswered(request.engine_id, HealthResult.FAILED)
    except (OSError, http.client.HTTPException, ValueError):
        return HealthAnswered(request.engine_id, HealthResult.FAILED)
    finally:
        connection.close()
    if not is_proved_health(health):
        return HealthAnswered(request.engine_id, HealthResult.FAILED)
    if health.instance_id != instance_id(request.engine_id):
        return HealthAnswered(request.engine_id, HealthResult.OTHER_ENGINE)
    if health.load is None or health.load.pace_percent is None:
        return HealthAnswered(request.engine_id, HealthResult.NO_PACE)
    return HealthAnswered(request.engine_id, HealthResult.PACE, health.load.pace_percent)


@contextlib.contextmanager
def _shut_down_after(seconds: float, connected: socket.socket) -> Iterator[threading.Event]:
    """Ends all reads of a socket after some time, and sets the event before it does.

    The socket's own timeout starts again with each byte, so an engine that sends its head slowly
    would occupy the calling thread without a bound.
    """
    expired = threading.Event()

    def shut_down() -> None:
        expired.set()
        with contextlib.suppress(OSError):  # closed or disconnected meanwhile
            connected.shutdown(socket.SHUT_RDWR)

    timer = threading.Timer(seconds, shut_down)
    timer.daemon = True
    timer.start()
    try:
        yield expired
    finally:
        timer.cancel()
