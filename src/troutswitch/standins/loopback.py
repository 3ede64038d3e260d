"""HTTP server of the stand-ins: threaded, with persistent connections, silent on broken ones."""

from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class LoopbackServer(ThreadingHTTPServer):
    """Threaded HTTP server that does not report errors of connections."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: object, client_address: object) -> None:
        """Suppresses the traceback of a connection that its caller broke."""


class LoopbackHandler(BaseHTTPRequestHandler):
    """Request handler that reads complete bodies and writes complete answers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: object) -> None:
        """Writes no access log."""

    def body(self) -> bytes:
        """Reads a body of the length given by `Content-Length`.

        Raises:
            ConnectionError: The caller disconnected before the end of the body.
        """
        length = int(self.headers.get("Content-Length") or 0)
        data = self.rfile.read(length)
        if len(data) < length:
            raise ConnectionError(f"{len(data)} of {length} bytes of the body received")
        return data

    def reply(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Sends a complete answer."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
