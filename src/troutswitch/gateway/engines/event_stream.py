"""Splits a stream of server-sent events into complete events.

Source: the HTML standard, section "Server-sent events". A partial event is buffered until it is
complete, so that a response that breaks off never delivers part of an event.
"""

import re
from dataclasses import dataclass

from troutswitch.wire_values import is_event_id

MAX_EVENT_BYTES = 2 * 1024 * 1024
"""Longest event of a stream that is forwarded: twice the largest answers of the load."""
MAX_BLANK_BYTES = 1024
"""Most bytes of blank lines in a row; the standard needs one line."""

_FIELD = re.compile(rb"(?:\A|(?<=[\r\n]))(id|data)(?::\x20?([^\r\n]*))?(?=[\r\n]|\Z)")
"""A line with an id or data, and its value; other lines have no meaning here."""
_NOT_BLANK = re.compile(rb"\S")
_BLANK_LINE = re.compile(rb"\n(?:\n|\r\n?)|\r\r\n?")
"""The end of a line (LF, CR or CRLF) and a blank line, which end an event. A match may begin inside
a CRLF, as its end alone is used."""
_CERTAIN_BLANK_LINE = re.compile(rb"\n(?:\n|\r\n|\r(?!\Z))|\r(?:\r\n|\r(?!\Z))")
"""The same, unless the next bytes may continue it: a CR at the end may be half of a CRLF."""
_BLANK_LINE_BYTES = 4
"""Longest match of these patterns."""


class EventStreamError(Exception):
    """The received bytes are not the next event of the stream."""


class EventTooLong(EventStreamError):
    """An event, or the output that it belongs to, is too long."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """A complete event: its raw bytes, its id, and its data lines joined by newlines.

    The data may be any bytes; `text` decodes them.
    """

    raw: bytes
    event_id: str
    data: bytes

    def text(self) -> str:
        """Returns the data as text.

        Raises:
            EventStreamError: the data is not UTF-8, as the standard requires.
        """
        try:
            return self.data.decode()
        except UnicodeDecodeError as error:
            raise EventStreamError(f"event {self.event_id} is not UTF-8") from error


class EventSplitter:
    """Collects bytes into events, and checks that ids increase by one from the first numeric
    one on.

    `last_id` is the id of the last returned event, initially the id after which the stream resumes.
    `max_event_bytes` is the length of the longest event that is buffered.
    """

    def __init__(self, last_id: str = "", max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self.last_id = last_id
        self._max_event_bytes = max_event_bytes
        self._rest = bytearray()
        self._searched = 0
        """Bytes of `_rest` in which no event ends."""

    @property
    def is_between_events(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._rest.strip()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that `data` completes.

        Raises:
            EventStreamError: an event is too long, has no valid id, or is out of sequence, or
                there are too many blank lines.
        """
        last_id = self.last_id
        self._rest += data
        try:
            events = self._split(_CERTAIN_BLANK_LINE)
            if len(self._rest) > self._max_event_bytes:
                raise EventTooLong("an event is too long")
        except EventStreamError:
            self.last_id = last_id  # the stream resumes after it: nobody got the events since
            raise
        return events

    def finish(self) -> tuple[list[StreamEvent], bytes]:
        """Returns the events that the end of the stream completes, and the blank lines after them.

        Raises:
            EventStreamError: the stream ended inside an event, or as for `feed`.
        """
        self._searched = 0
        events = self._split(_BLANK_LINE)
        if not self.is_between_events:
            raise EventStreamError("the stream ended inside an event")
        return events, bytes(self._rest)

    def _split(self, end: re.Pattern[bytes]) -> list[StreamEvent]:
        """Removes the events that end in the buffer, with the blank lines before them."""
        if not self._has_line_end():  # the usual case while a long line arrives
            self._searched = max(0, len(self._rest) - _BLANK_LINE_BYTES + 1)
            return []
        events: list[StreamEvent] = []
        begin = 0
        while (match := end.search(self._rest, max(begin, self._searched))) is not None:
            self._searched = match.end()
            if _NOT_BLANK.search(self._rest, begin, match.end()):
                events.append(self._event(bytes(self._rest[begin : match.end()])))
                begin = match.end()
            elif match.end() - begin > MAX_BLANK_BYTES:
                raise EventStreamError("too many blank lines")
        del self._rest[:begin]
        self._searched = max(0, len(self._rest) - _BLANK_LINE_BYTES + 1)
        return events

    def _has_line_end(self) -> bool:
        """Returns whether a line ends in the bytes that were not searched yet."""
        begin = self._searched
        return self._rest.find(b"\n", begin) >= 0 or self._rest.find(b"\r", begin) >= 0

    def _event(self, raw: bytes) -> StreamEvent:
        event_id = b""
        data: list[bytes] = []
        for field in _FIELD.finditer(raw):
            name, value = field.groups(b"")
            if name == b"id":
                event_id = value
            else:
                data.append(value)
        self.last_id = self._next_id(event_id.decode("latin-1"))
        return StreamEvent(raw, self.last_id, b"\n".join(data))

    def _next_id(self, event_id: str) -> str:
        if not event_id:
            raise EventStreamError("an event has no id")
        if not is_event_id(event_id):
            raise EventStreamError("an event's id is malformed")
        if self.last_id.isdigit() and not _follows(event_id, self.last_id):
            raise EventStreamError(f"event {event_id} follows {self.last_id}")
        return event_id


def _follows(event_id: str, number: str) -> bool:
    """Returns whether an event's id is the number after another one.

    An id that is no number would end the sequence, and hide the events that are missing after it.
    """
    return event_id.isdigit() and int(event_id) == int(number) + 1
