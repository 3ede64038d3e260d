"""Splits a stream of server-sent events into complete events.

Source: the HTML standard, section "Server-sent events". A partial event is buffered until it is
complete, so that a response that breaks off never delivers part of an event.
"""

from dataclasses import dataclass

from troutswitch.wire_values import is_event_id

MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventStreamError(Exception):
    """The received bytes are not the next event of the stream."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """A complete event: its raw bytes, its id, and its data lines joined by newlines.

    `data` has a lone surrogate for each byte that is not UTF-8; `text` rejects these.
    """

    raw: bytes
    event_id: str
    data: str

    def text(self) -> str:
        """Returns the data as a text that can be stored and sent.

        Raises:
            EventStreamError: the data is not UTF-8, as the standard requires.
        """
        try:
            self.data.encode()
        except UnicodeEncodeError as error:
            raise EventStreamError(f"event {self.event_id} is not UTF-8") from error
        return self.data


class EventSplitter:
    """Collects bytes into events, and checks that numeric ids increase by one.

    `last_id` is the id of the last complete event, initially the id after which the stream resumes.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._rest = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._rest.strip()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that `data` completes.

        Raises:
            EventStreamError: an event is too long, has no valid id, or is out of sequence.
        """
        self._rest += data
        events: list[StreamEvent] = []
        while (end := _end_of_event(self._rest)) > 0:
            raw, self._rest = self._rest[:end], self._rest[end:]
            if raw.strip():
                events.append(self._event(raw))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventStreamError("an event is too long")
        return events

    def check_ended(self) -> None:
        """Checks that the stream ended between two events.

        Raises:
            EventStreamError: the stream ended inside an event.
        """
        if not self.is_between_events:
            raise EventStreamError("the stream ended inside an event")

    def _event(self, raw: bytes) -> StreamEvent:
        event_id = ""
        data: list[str] = []
        for line in raw.decode("utf-8", errors="surrogateescape").splitlines():
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                event_id = value
            elif name == "data":
                data.append(value)
        self._check_id(event_id)
        return StreamEvent(raw, event_id, "\n".join(data))

    def _check_id(self, event_id: str) -> None:
        if not event_id:
            raise EventStreamError("an event has no id")
        if not is_event_id(event_id):
            raise EventStreamError("an event's id is malformed")
        is_numbered = event_id.isdigit() and self.last_id.isdigit()
        if is_numbered and int(event_id) != int(self.last_id) + 1:
            raise EventStreamError(f"event {event_id} follows {self.last_id}")
        self.last_id = event_id


def _end_of_event(data: bytes) -> int:
    """Returns the length of the first event with its blank line, or 0 if it is incomplete."""
    ends = [
        position + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(mark)) >= 0
    ]
    return min(ends, default=0)
