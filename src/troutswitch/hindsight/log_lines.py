"""Parses daemons' log lines: JSON objects, with any prefix before the first brace.

Lines of several daemons are merged in time order.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from troutswitch.json_values import decode_json


@dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    `time` is the logged text, in ISO 8601. `order` is the index of the line in the input, which
    orders lines of equal time.
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
            ValueError: The time is missing or malformed.
        """
        return datetime.fromisoformat(self.time).timestamp()


@dataclass
class LogLines:
    """Lines in time order, and the number of lines that could not be parsed."""

    lines: list[Line] = field(default_factory=list)
    bad_lines: int = 0


def read_lines(texts: Iterable[str]) -> LogLines:
    """Parses lines; those without a JSON object count as bad, and empty ones are ignored."""
    result = LogLines()
    for order, text in enumerate(texts):
        start = text.find("{")
        if start < 0:
            result.bad_lines += bool(text.strip())
            continue
        try:
            fields = decode_json(text[start:].encode(), dict[str, Any])
        except ValueError:
            result.bad_lines += 1
            continue
        time = str(fields.get("timestamp", ""))
        daemon, event = str(fields.get("daemon", "?")), str(fields.get("event", "?"))
        result.lines.append(Line(time, order, daemon, event, fields))
    result.lines.sort(key=lambda line: (_sortable(line.time), line.order))
    return result


def _sortable(time: str) -> str:
    """Returns a time that sorts as text, as whole seconds are logged without a fraction."""
    return time if "." in time else time.replace("Z", ".000000Z")
