"""Asks an engine at its health path for its pace."""

import http.client

from troutswitch.clock import steady_seconds
from troutswitch.decisions.slots.messages import HealthAnswered, HealthResult, RequestHealth
from troutswitch.gateway.engines.answer_proof import is_proved_health
from troutswitch.gateway.engines.connection import EngineConnection
from troutswitch.platform.engine_ids import instance_id
from troutswitch.platform.requests import read_health
from troutswitch.runtime.response_heads import check_head

HEALTH_TIMEOUT_SECONDS = 0.5
"""Timeout of the connection, and of the response from then on. Engines reply immediately."""


def request_health(request: RequestHealth) -> HealthAnswered:
    """Sends one request on a connection of its own, and reads the head of the response."""
    try:
        connection = EngineConnection(request.address)
    except http.client.InvalidURL:
        return HealthAnswered(request.engine_id, HealthResult.FAILED)
    try:
        connection.connect()
        ends_at = steady_seconds() + HEALTH_TIMEOUT_SECONDS
        connection.begin_exchange(HEALTH_TIMEOUT_SECONDS, ends_at)
        connection.request("GET", request.path, headers={"Connection": "close"})
        response = connection.getresponse()
        check_head(response)
        health = read_health(response)
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
