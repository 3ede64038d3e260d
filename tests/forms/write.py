"""Writes the data in `data` anew from the code as it is; run by hand.

    PYTHONPATH=$PWD/src python -m tests.forms.write KIND...

Data is rewritten only when a form is meant to change: then a daemon of the former version and
records stored earlier must still be understood, and the commit says how. A test that fails after
a renaming or a tidying is a fault of that change, and this command is no way to mend it. Without
a kind nothing is written.
"""

import json
import sys
from collections.abc import Callable
from typing import Any

from tests.forms import samples
from tests.forms.forms import DATA, Forms, stored


def encoded(forms: Forms) -> dict[str, str]:
    """Returns the bytes of forms in hexadecimal."""
    return {name: form.encode().hex() for name, form in forms.items()}


def rewritten(held: dict[str, Any]) -> dict[str, Any]:
    """Returns settings with what their texts, which are written by hand, are read as now."""
    return {
        name: {**row, "read": samples.SETTINGS[row["kind"]](row["text"])}
        for name, row in held.items()
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
        "text after log lines": samples.metrics_of_lines(),
    },
    "names": samples.names_told,
    "settings": lambda: rewritten(stored("settings")),
    "experience": lambda: encoded(samples.EXPERIENCES),
}


def main() -> None:
    """Writes the kinds that are named."""
    for kind in sys.argv[1:]:
        text = json.dumps(KINDS[kind](), indent=1, ensure_ascii=True)
        (DATA / f"{kind}.json").write_text(text + "\n")


if __name__ == "__main__":
    main()
