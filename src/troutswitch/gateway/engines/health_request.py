"""Asks an engine at its health path for its pace."""

import http.client

from troutswitch.decisions.slots.messages import HealthAnswered, HealthResult, RequestHealth
from troutswitch.platform.engine_ids import instance_id
from troutswitch.platform.requests import read_health
from troutswitch.runtime.bounded_connection import BoundedConnection

HEALTH_TIMEOUT_SECONDS = 0.5
"""Timeout of the connection, and of the response from then on. Engines reply immediately."""


def request_health(request: RequestHealth) -> HealthAnswered:
    """Sends one request on a connection of its own, and reads the head of the response."""
    connection = BoundedConnection(request.address, HEALTH_TIMEOUT_SECONDS, max_body_bytes=0)
    try:
        connection.connect()
        connection.limit_call(HEALTH_TIMEOUT_SECONDS, HEALTH_TIMEOUT_SECONDS)
        connection.request("GET", request.path, headers={"Connection": "close"})
        health = read_health(connection.getresponse())
    except (OSError, http.client.HTTPException, ValueError):
        return HealthAnswered(request.engine_id, HealthResult.FAILED)
    finally:
        connection.close()
    if health.instance_id != instance_id(request.engine_id):
        return HealthAnswered(request.engine_id, HealthResult.OTHER_ENGINE)
    if health.load is None or health.load.pace_percent is None:
        return HealthAnswered(request.engine_id, HealthResult.NO_PACE)
    return HealthAnswered(request.engine_id, HealthResult.PACE, health.load.pace_percent)
