"""Rewrites the expected data in `data` from the current code; run by hand.

    PYTHONPATH=$PWD/src python -m tests.forms.write KIND...

Rewrite data only for an intended change of a format. A daemon of the previous version and records
stored earlier must then still be understood, and the commit says how. A test that fails after a
rename or refactoring shows a fault of that change, which this command must not hide. Without a
kind nothing is written.
"""

import json
import sys
from collections.abc import Callable
from typing import Any

from tests.forms import samples
from tests.forms.forms import DATA, Samples, stored


def encoded(kind_samples: Samples) -> dict[str, str]:
    """Returns the encoded samples in hexadecimal."""
    return {name: sample.encode().hex() for name, sample in kind_samples.items()}


def redecoded(settings: dict[str, Any]) -> dict[str, Any]:
    """Returns the settings data with the decoded values of its texts, which are written by hand."""
    return {
        name: {**row, "read": samples.SETTINGS[row["kind"]](row["text"])}
        for name, row in settings.items()
    }


KINDS: dict[str, Callable[[], dict[str, Any]]] = {
    "peer_messages": lambda: encoded(samples.PEER_MESSAGES),
    "sealed_messages": lambda: encoded(samples.SEALED_MESSAGES),
    "peer_state": lambda: encoded(samples.PEER_STATES),
    "stored_records": lambda: encoded(samples.STORED_RECORDS),
    "log_entries": lambda: encoded(samples.LOG_ENTRIES),
    "store_calls": lambda: encoded(samples.STORE_CALLS),
    "refusals": lambda: encoded(samples.REFUSALS),
    "metrics": lambda: {
        "metrics": samples.metric_rows(),
        "text after log lines": samples.metrics_after_log_lines(),
    },
    "names": samples.names_and_hashes,
    "settings": lambda: redecoded(stored("settings")),
    "experience": lambda: encoded(samples.LEARNED_TIMES),
}


def main() -> None:
    """Writes the kinds given on the command line."""
    for kind in sys.argv[1:]:
        text = json.dumps(KINDS[kind](), indent=1, ensure_ascii=True)
        (DATA / f"{kind}.json").write_text(text + "\n")


if __name__ == "__main__":
    main()
