"""A caller's connection whose bodies and unread answers are counted in the memory account.

It is used only where the settings name a limit of memory. waitress calls most methods on the
listener's thread; `write_soon` and `service` run on the threads of requests.
"""

import contextlib
import select
import socket
from functools import partial
from typing import Any

import waitress.channel

from troutswitch.clock import steady_seconds
from troutswitch.gateway.callers.accounted_request import AccountedRequest
from troutswitch.gateway.memory.account import READER_CLOSED, Holding, MemoryAccount, reader_fields
from troutswitch.gateway.memory.buffers import AnswerBuffer
from troutswitch.gateway.memory.pressure import Kind, Reader, is_reader_overdue

ROOM_POLL_SECONDS = 0.1
"""Interval at which an answer that waits for room in the account checks for it: room may come from
other connections, which do not wake it."""
LINGER_SECONDS = 2.0
"""Time for which what a refused caller still sends is discarded after the refusal was sent. Closing
at once resets the connection, and the caller may lose the refusal."""
DEFAULT_TIME_LIMIT_SECONDS = 15.0
"""Time limit of an answer whose request has not been described."""


class AccountedChannel(waitress.channel.HTTPChannel):  # type: ignore[misc]
    """A connection that counts what it holds; it implements `OpenReader`."""

    request: AccountedRequest | None
    requests: list[AccountedRequest]
    close_when_flushed: bool

    def __init__(self, server: Any, connection: socket.socket, *rest: Any, **named: Any) -> None:
        self._account: MemoryAccount = server.memory
        self._number = self._account.next_number()
        self._unread = Holding(self._account, Kind.ANSWERS)
        self._buffered = 0
        self._taken_at = 0.0
        self._time_limit = DEFAULT_TIME_LIMIT_SECONDS
        self._request_id = ""
        self._is_closing = False
        self._is_refusing = False
        self._linger_until = 0.0
        super().__init__(server, connection, *rest, **named)
        self.parser_class = partial(
            AccountedRequest,
            account=self._account,
            header_seconds=server.header_seconds,
            on_refused=self._on_refused,
        )
        self.outbufs = [AnswerBuffer()]

    # What is counted. waitress changes `total_outbufs_len` wherever it buffers, sends or drops.

    @property
    def total_outbufs_len(self) -> int:
        """Bytes of answers that the caller has not read."""
        return self._buffered

    @total_outbufs_len.setter
    def total_outbufs_len(self, size: int) -> None:
        had, self._buffered = self._buffered, size
        if size < had or not had:
            self._taken_at = steady_seconds()
        self._unread.resize(size)
        if size and not had:
            self._account.add_reader(self._number, self)
        elif had and not size:
            self._account.remove_reader(self._number)

    def describe_answer(self, request_id: str, is_job_read: bool, time_limit: float) -> None:
        """Tells what is answered next, and how long the caller waits for it, in seconds."""
        self._request_id = request_id
        self._time_limit = time_limit if time_limit > 0 else DEFAULT_TIME_LIMIT_SECONDS
        kind = Kind.JOB_READS if is_job_read else Kind.ANSWERS
        if kind is not self._unread.kind:
            self._account.move(self._unread, kind)

    def describe(self, number: int) -> Reader:
        """Returns how slowly the caller reads; not at all slowly if its connection takes bytes."""
        is_job_read = self._unread.kind is Kind.JOB_READS
        idle = lag = 0.0
        if not self._has_event(select.POLLOUT):
            now = steady_seconds()
            oldest_at = self.outbufs[0].oldest_at
            idle = now - self._taken_at
            lag = now - oldest_at if oldest_at is not None else 0.0
        return Reader(number, idle, lag, self._buffered, is_job_read, self._request_id)

    # Answers.

    def write_soon(self, data: bytes) -> int:
        """Buffers a part of an answer, after waiting while there is no room for it."""
        if not self.connected:
            raise waitress.channel.ClientDisconnected
        if not data:
            return 0
        with self.outbuf_lock:
            self._flush_outbufs_below_high_watermark(len(data))
            if not self.connected:
                self._unread.resize(self._buffered)
                raise waitress.channel.ClientDisconnected
            self.outbufs[-1].append(data)
            self.total_outbufs_len += len(data)
            self._flush_exception(self._flush_some, do_close=False)
            if self.total_outbufs_len:
                self.server.pull_trigger()
        return len(data)

    def _flush_outbufs_below_high_watermark(self, size: int = 0) -> None:
        """Waits until there is room for `size` more bytes of the answer, and reserves them."""
        with self.outbuf_lock:
            while self.connected and not self._try_reserve(size):
                self._flush_exception(self._flush_some, do_close=False)
                if self._try_reserve(size):
                    return
                self.server.pull_trigger()
                self.outbuf_lock.wait(ROOM_POLL_SECONDS)

    def _try_reserve(self, size: int) -> bool:
        """Reserves `size` bytes for the next part of an answer, and returns whether it has room.

        A caller that has read everything gets the next part whatever the account holds: the part is
        already in memory.
        """
        if not self._buffered:
            return True
        if self._buffered >= self._account.limits.answer_bytes:
            return False
        if self._unread.try_resize(self._buffered + size):
            return True
        self._account.relieve()
        return False

    def close_slow(self) -> None:
        """Closes the connection from any thread: the listener's poll reports it as hung up."""
        self._is_closing = True
        with contextlib.suppress(OSError):  # closed meanwhile
            self.socket.shutdown(socket.SHUT_RDWR)

    def _has_event(self, event: int) -> bool:
        """Returns whether the connection can be read or written without waiting.

        After a suspension of the process everything seems to have waited for long, although
        callers read and sent meanwhile.
        """
        descriptor = self.socket.fileno()
        if descriptor < 0:
            return False
        poller = select.poll()
        poller.register(descriptor, event)
        return any(flags & event for _, flags in poller.poll(0))

    # Bodies.

    def received(self, data: bytes) -> bool:
        """Handles received bytes; what follows a refused head is discarded."""
        if self._is_refusing:
            return False
        result = bool(super().received(data))
        if not self.connected and self.request is not None:
            self.request.close()
        return result

    def _on_refused(self) -> None:
        self._is_refusing = True

    def readable(self) -> bool:
        """Returns whether to wait for bytes; the listener asks at least once in a second."""
        if self._linger_until:
            if steady_seconds() > self._linger_until:
                self.will_close = True
            return not self.will_close
        if self._buffered:
            self._check_reader()
        elif self.request is not None:
            self._check_body()
        return bool(super().readable())

    def _check_reader(self) -> None:
        """Closes a caller that has read nothing for as long as its request was to take."""
        idle = steady_seconds() - self._taken_at
        if self._is_closing or not is_reader_overdue(idle, self._time_limit):
            return
        reader = self.describe(self._number)
        if not is_reader_overdue(reader.idle_seconds, self._time_limit):
            return
        fields = reader_fields(reader)
        self._account.log(READER_CLOSED, reason="nothing read in the time limit", **fields)
        self.close_slow()

    def _check_body(self) -> None:
        """Ends the reservation of a body that arrives too slowly."""
        request = self.request
        assert request is not None
        now = steady_seconds()
        if not request.is_overdue(now) or self._has_event(select.POLLIN):
            return
        request.end_as_overdue(now)
        with self.requests_lock:
            self.request = None
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)

    def handle_write(self) -> None:
        """Sends what is buffered; after a refusal, closes only the sending side."""
        if not (self._is_refusing and self.close_when_flushed):
            super().handle_write()
            return
        self._flush_exception(self._flush_some)
        if not self.total_outbufs_len and self.connected:
            self.close_when_flushed = False
            self._linger_until = steady_seconds() + LINGER_SECONDS
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)

    # Ends.

    def service(self) -> None:
        """Serves a request, and releases its body whatever happens."""
        request = self.requests[0]
        try:
            super().service()
        finally:
            request.close()
            if not self.connected:
                self._close_requests(list(self.requests))

    def handle_close(self) -> None:
        """Closes the connection and releases all but the body of the request in service."""
        super().handle_close()
        self._close_requests(list(self.requests[1:]))
        if self.request is not None:
            self.request.close()

    @staticmethod
    def _close_requests(requests: list[AccountedRequest]) -> None:
        for request in requests:
            request.close()
