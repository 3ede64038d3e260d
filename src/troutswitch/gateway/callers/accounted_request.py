"""Parses a request whose body is reserved in the memory account before it is read."""

from collections.abc import Callable
from typing import Any

import waitress.parser
import waitress.receiver
import waitress.utilities

from troutswitch.clock import steady_seconds
from troutswitch.gateway.memory.account import BODY_REFUSED, Holding, MemoryAccount
from troutswitch.gateway.memory.buffers import BodyBuffer
from troutswitch.gateway.memory.pressure import Kind, is_body_overdue
from troutswitch.platform import names

RETRY_AFTER_SECONDS = 1.0
"""Retry-After of a refused body: online answers end, and slow readers are closed, within a second
or so."""
REQUEST_ID_KEY = names.REQUEST_ID.upper().replace("-", "_")


class AccountFull(waitress.utilities.Error):  # type: ignore[misc]
    """The refusal of a body for which the account has no room. Nothing has run."""

    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident: str | None = None) -> tuple[str, list[tuple[str, str]], bytes]:
        """Returns status, headers and body of the response."""
        status, headers, body = super().to_response(ident)
        return status, [*headers, (names.RETRY_AFTER, f"{RETRY_AFTER_SECONDS:.3f}")], body


class BodyTooSlow(waitress.utilities.Error):  # type: ignore[misc]
    """The refusal of a body that arrives too slowly. Nothing has run."""

    code = 408
    reason = "Request Timeout"


class AccountedRequest(waitress.parser.HTTPRequestParser):  # type: ignore[misc]
    """A request that is being read, and its body until the request ends.

    `is_refused` is set once the rest of the request is not read.

    Args:
        header_seconds: the configuration's time limit for a head.
        on_refused: called when the rest of the request is not to be read, before it is answered.
    """

    body_rcv: Any

    def __init__(
        self,
        adjustments: Any,
        account: MemoryAccount,
        header_seconds: float,
        on_refused: Callable[[], None],
    ) -> None:
        super().__init__(adjustments)
        self.is_refused = False
        self._account = account
        self._header_seconds = header_seconds
        self._on_refused = on_refused
        self._reserved = Holding(account, Kind.BODIES)
        self._body_at = 0.0

    def parse_header(self, header_plus: bytes) -> None:
        """Parses the head, and reserves the body that it announces."""
        super().parse_header(header_plus)
        if self.body_rcv is None:
            return
        self._body_at = steady_seconds()
        length = self.content_length
        if self.chunked:
            self.body_rcv = waitress.receiver.ChunkedReceiver(BodyBuffer())
        elif length >= self.adj.max_request_body_size:
            return  # refused with 413 by the base class
        elif self._reserved.try_resize(length):
            self.body_rcv = waitress.receiver.FixedStreamReceiver(length, BodyBuffer())
        else:
            self._refuse_for_memory(length)

    def received(self, data: bytes) -> int:
        """Handles received bytes; returns how many belong to this request."""
        consumed = int(super().received(data))
        if self.chunked and self.body_rcv is not None and self.error is None:
            size = len(self.body_rcv)
            if not self._reserved.try_resize(size):
                self._refuse_for_memory(size)
        return len(data) if self.is_refused else consumed

    def _refuse_for_memory(self, size: int) -> None:
        held = self._account.total
        self._refuse(AccountFull("no memory for the request's body"))
        self._account.log(
            BODY_REFUSED,
            request_id=self.headers.get(REQUEST_ID_KEY, ""),
            body_bytes=size,
            held_bytes=held,
            limit_bytes=self._account.limits.account_bytes,
            retry_after_ms=round(RETRY_AFTER_SECONDS * 1000),
        )
        self._account.relieve()

    def is_overdue(self, now: float) -> bool:
        """Returns whether the body arrives too slowly."""
        if self.body_rcv is None or self.completed:
            return False
        return is_body_overdue(now - self._body_at, self.body_bytes_received, self._header_seconds)

    def end_as_overdue(self, now: float) -> None:
        """Refuses the rest of a body that arrives too slowly."""
        self._refuse(BodyTooSlow("the request's body arrives too slowly"))
        self._account.log(
            "body too slow",
            request_id=self.headers.get(REQUEST_ID_KEY, ""),
            body_bytes=self.content_length,
            received_bytes=self.body_bytes_received,
            age_ms=round((now - self._body_at) * 1000),
        )

    def _refuse(self, error: waitress.utilities.Error) -> None:
        """Ends the request with an error; its body is neither kept nor read further."""
        self.close()
        self.body_rcv = None
        self.error = error
        self.is_refused = True
        self.completed = True
        self.expect_continue = False  # the error is the answer
        self._on_refused()

    def close(self) -> None:
        """Drops the body and its reservation; may be called repeatedly."""
        super().close()
        self._reserved.release()
