"""Reads from daemons' logs when requests occupied a slot: from their sending until their end.

A request occupies its slot also on its way to and from the engine, which takes longer than a short
run on a busy machine. Times are monotonic, in seconds.
"""

import json
import time
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path

SENT = "request sent"
ENDED = "attempt ended"


def read_attempts(logs: Iterable[Path]) -> list[tuple[float, float]]:
    """Returns begin and end of the attempts whose end is in the daemons' logs."""
    offset = time.monotonic() - time.time()
    begun: dict[tuple[str, int], float] = {}
    attempts: list[tuple[float, float]] = []
    for line in (line for log in logs for line in log.read_text().splitlines()):
        if SENT not in line and ENDED not in line:
            continue
        try:
            row = json.loads(line)
            at = datetime.fromisoformat(row["timestamp"]).timestamp() + offset
            key = (row["request_id"], row["attempt"])
        except (ValueError, KeyError):
            continue  # the last line may be incomplete; items have no attempt number
        if row["event"] == SENT:
            begun[key] = at
        elif row["event"] == ENDED and key in begun:
            attempts.append((begun.pop(key), at))
    return attempts
