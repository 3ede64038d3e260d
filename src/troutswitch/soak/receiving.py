"""Sends requests with given headers, and records their answers as they arrive."""

import http.client
import time

from troutswitch.common import Address
from troutswitch.platform import names
from troutswitch.soak.callers import connect
from troutswitch.soak.observations import Exchange, Observations, Outcome


def exchange_on_new_connection(
    address: Address,
    exchange: Exchange,
    headers: dict[str, str],
    observations: Observations,
    max_events: int | None = None,
) -> bool:
    """Sends a request on a connection of its own; returns False if the daemon refuses that."""
    try:
        connection = connect(address)
    except OSError:
        return False
    with observations.lock:
        observations.exchanges.append(exchange)
    receive(connection, exchange, headers, max_events)
    connection.close()
    return True


def receive(
    connection: http.client.HTTPConnection,
    exchange: Exchange,
    headers: dict[str, str],
    max_events: int | None = None,
) -> None:
    """Sends a request and records its answer, or only its first `max_events` events."""
    outcome, reason = Outcome.COMPLETE, ""
    try:
        connection.request("POST", exchange.path, exchange.body, headers)
        response = connection.getresponse()
        exchange.status = response.status
        exchange.stamp = response.getheader(names.RESPONSE_STAMP, "")
        while data := response.read1():
            exchange.answer += data
            if max_events is not None and exchange.events_received >= max_events:
                outcome, reason = Outcome.CALLER_LEFT, "the caller left"
                break
    except http.client.IncompleteRead as error:
        exchange.answer += error.partial
        outcome, reason = Outcome.INTERRUPTED, "the answer ended early"
    except (http.client.RemoteDisconnected, OSError) as error:
        outcome, reason = Outcome.INTERRUPTED, f"{type(error).__name__}: {error}"
    except http.client.HTTPException as error:
        outcome, reason = Outcome.MALFORMED, f"{type(error).__name__}: {error}"
    exchange.ended_at = time.monotonic()
    exchange.outcome = outcome
    exchange.reason = reason
