"""Requests parsed from the WSGI environment, and JSON responses."""

import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from troutswitch.runtime.http import JSON_TYPE, Environ, Response

CBOR_TYPE = "application/cbor"
EVENT_STREAM_TYPE = "text/event-stream"


@dataclass
class Request:
    """A request to a WSGI application."""

    environ: Environ
    method: str = field(init=False)
    path: str = field(init=False)

    def __post_init__(self) -> None:
        self.method = str(self.environ["REQUEST_METHOD"])
        self.path = str(self.environ.get("PATH_INFO", "/"))

    def header(self, name: str) -> str:
        """Returns a header's value, or an empty string."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return str(self.environ.get(key, ""))

    @property
    def content_type(self) -> str:
        """The content type without parameters."""
        return str(self.environ.get("CONTENT_TYPE", "")).partition(";")[0].strip()

    def query(self, name: str, default: str = "") -> str:
        """Returns the first value of a query parameter."""
        values = parse_qs(str(self.environ.get("QUERY_STRING", ""))).get(name)
        return values[0] if values else default

    def body(self) -> bytes:
        """Returns the body; waitress calls the application after it has received all of it."""
        length = int(self.environ.get("CONTENT_LENGTH") or 0)
        data = self.environ["wsgi.input"].read(length)
        return bytes(data)


def json_response(
    status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Builds a response that carries JSON."""
    return Response(status, json.dumps(value).encode(), JSON_TYPE, headers)
