"""Final phase of a planned stop: new requests are refused, accepted requests are completed.

The gate counts the requests in flight, from their admission until the server has consumed the
complete response.
"""

import threading
from collections.abc import Callable, Iterable, Iterator

from troutswitch.platform import names
from troutswitch.runtime.http import Environ, Response, StartResponse, WsgiApplication, send

RETRY_AFTER_SECONDS = 0.05
"""Retry-After of a refusal; short, because another daemon accepts the next connection."""


class StopGate:
    """Wraps the callers' application, counts requests in flight, and refuses new ones once closed.

    Admission and closing share one lock, so that no request is admitted without being counted.
    """

    def __init__(self, application: WsgiApplication) -> None:
        self._application = application
        self._lock = threading.Lock()
        self._is_closed = False
        self._in_flight = 0

    def close(self) -> None:
        """Refuses requests from now on."""
        with self._lock:
            self._is_closed = True

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that are not finished."""
        return self._in_flight

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Admits a request, or refuses it before any part of it is executed."""
        if not self._enter():
            return send(_refusal(environ), start_response)
        try:
            chunks = self._application(environ, start_response)
        except BaseException:
            self._leave()
            raise
        if isinstance(chunks, list):
            return _CountedList(chunks, self._leave)
        return _CountedChunks(chunks, self._leave)

    def _enter(self) -> bool:
        with self._lock:
            self._in_flight += not self._is_closed
            return not self._is_closed

    def _leave(self) -> None:
        with self._lock:
            self._in_flight -= 1


class _CountedList(list[bytes]):
    """A complete response; a list, because the server computes its length from one."""

    def __init__(self, chunks: list[bytes], on_close: Callable[[], None]) -> None:
        super().__init__(chunks)
        self._on_close = on_close

    def close(self) -> None:
        """Ends the request's count; the server calls this once."""
        self._on_close()


class _CountedChunks:
    """A response that is produced in chunks."""

    def __init__(self, chunks: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self._chunks = chunks
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        """Closes the response and ends the request's count; the server calls this once."""
        try:
            close = getattr(self._chunks, "close", None)
            if close is not None:
                close()
        finally:
            self._on_close()


def _refusal(environ: Environ) -> Response:
    headers = [(names.RETRY_AFTER, f"{RETRY_AFTER_SECONDS:.3f}")]
    request_id = str(environ.get("HTTP_" + names.REQUEST_ID.upper().replace("-", "_"), ""))
    if request_id:
        headers.append((names.REQUEST_ID, request_id))
    return Response(503, b"not run: the daemon stops\n", "text/plain", tuple(headers))
