"""Attempts are read from daemons' logs with their begin and end."""

import json
import time
from datetime import UTC, datetime
from pathlib import Path

from troutswitch.soak.sent_attempts import read_attempts


def line(at: float, event: str, request_id: str, attempt: int = 1) -> str:
    timestamp = datetime.fromtimestamp(at, UTC).isoformat().replace("+00:00", "Z")
    row = {"request_id": request_id, "attempt": attempt, "event": event, "timestamp": timestamp}
    return json.dumps(row)


def test_attempts_last_from_their_sending_to_their_logged_end(tmp_path: Path) -> None:
    now = time.time()
    lines = [
        line(now - 9.0, "request sent", "one"),
        line(now - 8.0, "attempt ended", "one"),
        line(now - 7.0, "request sent", "one", 2),
        line(now - 6.0, "attempt ended", "never sent"),
        '{"event": "request sent", "request_id": "cut off',
    ]
    log = tmp_path / "daemon-0.log"
    log.write_text("\n".join(lines))
    offset = time.monotonic() - time.time()
    spans = [tuple(round(at - offset - now, 1) for at in span) for span in read_attempts([log])]
    assert spans == [(-9.0, -8.0)]
