"""Reads log lines of daemons: JSON, with anything before the first brace."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any


@dataclass(frozen=True, slots=True)
class Line:
    """One log line; `order` is its place where times are equal."""

    time: str
    order: int
    daemon: str
    event: str
    fields: dict[str, Any]

    @property
    def seconds(self) -> float:
        """The line's time in seconds since the epoch.

        Raises:
            ValueError: it has no time that can be read.
        """
        return datetime.fromisoformat(self.time).timestamp()


@dataclass
class LogLines:
    """Lines in the order of time, and how many could not be read."""

    lines: list[Line] = field(default_factory=list)
    bad_lines: int = 0


def read_lines(texts: Iterable[str]) -> LogLines:
    """Reads lines; those that are no JSON objects are counted, empty ones are not."""
    held = LogLines()
    for order, text in enumerate(texts):
        start = text.find("{")
        if start < 0:
            held.bad_lines += bool(text.strip())
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            held.bad_lines += 1
            continue
        time = str(fields.get("timestamp", ""))
        daemon, event = str(fields.get("daemon", "?")), str(fields.get("event", "?"))
        held.lines.append(Line(time, order, daemon, event, fields))
    held.lines.sort(key=lambda line: (_sortable(line.time), line.order))
    return held


def _sortable(time: str) -> str:
    """Returns a time that sorts as text; a whole second is written without its fraction."""
    return time if "." in time else time.replace("Z", ".000000Z")
