"""HTTP responses over WSGI, shared by all listeners of a daemon."""

import http.client
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

StartResponse = Callable[..., Any]
Environ = dict[str, Any]
WsgiApplication = Callable[[Environ, StartResponse], Iterable[bytes]]

JSON_TYPE = "application/json"

REASON_PHRASES = http.client.responses


@dataclass(frozen=True)
class Response:
    """A complete response."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


def send(response: Response, start_response: StartResponse) -> list[bytes]:
    """Starts a complete response and returns its body for WSGI."""
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        *response.headers,
    ]
    start_response(status_line(response.status), headers)
    return [response.body]


def status_line(status: int) -> str:
    """Returns the status code with its reason phrase."""
    return f"{status} {REASON_PHRASES.get(status, 'Unknown')}"
