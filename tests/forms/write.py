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
from tests.forms.forms import DATA, Forms


def encoded(forms: Forms) -> dict[str, str]:
    """Returns the bytes of forms in hexadecimal."""
    return {name: form.encode().hex() for name, form in forms.items()}


KINDS: dict[str, Callable[[], dict[str, Any]]] = {
    "peer_messages": lambda: encoded(samples.PEER_MESSAGES),
    "sealed_messages": lambda: encoded(samples.SEALED_MESSAGES),
    "peer_state": lambda: encoded(samples.PEER_STATES),
    "stored_records": lambda: encoded(samples.STORED_RECORDS),
    "log_entries": lambda: encoded(samples.LOG_ENTRIES),
    "experience": lambda: encoded(samples.EXPERIENCES),
}


def main() -> None:
    """Writes the kinds that are named."""
    for kind in sys.argv[1:]:
        text = json.dumps(KINDS[kind](), indent=1, ensure_ascii=True)
        (DATA / f"{kind}.json").write_text(text + "\n")


if __name__ == "__main__":
    main()
