"""Reads log lines of daemons: JSON objects, with any prefix before the first brace.

It owns the order of the lines of several daemons, which is that of their times.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any


@dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    `time` is as written, in ISO 8601; `order` is the line's place among those of equal times.
    """

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
    """Lines in the order of time, and the count of those that could not be read."""

    lines: list[Line] = field(default_factory=list)
    bad_lines: int = 0


def read_lines(texts: Iterable[str]) -> LogLines:
    """Reads lines; those without a JSON object are counted as bad, empty ones are left out."""
    result = LogLines()
    for order, text in enumerate(texts):
        start = text.find("{")
        if start < 0:
            result.bad_lines += bool(text.strip())
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            result.bad_lines += 1
            continue
        time = str(fields.get("timestamp", ""))
        daemon, event = str(fields.get("daemon", "?")), str(fields.get("event", "?"))
        result.lines.append(Line(time, order, daemon, event, fields))
    result.lines.sort(key=lambda line: (_sortable(line.time), line.order))
    return result


def _sortable(time: str) -> str:
    """Returns a time that sorts as text; a whole second is written without its fraction."""
    return time if "." in time else time.replace("Z", ".000000Z")
