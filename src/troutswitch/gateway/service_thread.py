"""Threads that serve as long as the process runs: an error in one does not end it.

An error is reported, and the thread's function runs again after a pause. A thread that fails again
and again is reported as lost: the process then stops as planned, as it can't do its work without.
"""

import threading
import time
from collections.abc import Callable

from troutswitch.clock import steady_seconds
from troutswitch.gateway.unexpected_errors import UnexpectedErrors

MIN_RESTART_PAUSE_SECONDS = 0.05
MAX_RESTART_PAUSE_SECONDS = 1.0
MAX_FAILURES = 8
"""Failures in a row after which a thread counts as lost: some five seconds."""
RECOVERED_SECONDS = 10.0
"""Time without an error after which earlier failures no longer count."""


def _ignore(name: str) -> None:
    """Ignores a lost thread."""


class ServiceThread:
    """A thread that runs a function, and runs it again after an error.

    Args:
        name: name of the thread.
        run: the function; the thread ends when it returns.
        errors: reports the errors of the function.
        on_lost: called with the name, once, if the function keeps failing; it is run again even so.
        sleep: waits for some seconds.
    """

    def __init__(
        self,
        name: str,
        run: Callable[[], None],
        errors: UnexpectedErrors,
        on_lost: Callable[[str], None] = _ignore,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._name = name
        self._run = run
        self._errors = errors
        self._on_lost = on_lost
        self._sleep = sleep
        self._thread = threading.Thread(target=self.run, name=name, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def run(self) -> None:
        """Runs the function on the calling thread until it returns."""
        failures = 0
        while True:
            started_at = steady_seconds()
            try:
                self._run()
                return
            except Exception as error:
                self._errors.report(f"thread {self._name}", error)
            if steady_seconds() - started_at >= RECOVERED_SECONDS:
                failures = 0
            failures += 1
            if failures == MAX_FAILURES:
                self._on_lost(self._name)
            pause = MIN_RESTART_PAUSE_SECONDS * 2 ** min(failures - 1, MAX_FAILURES)
            self._sleep(min(pause, MAX_RESTART_PAUSE_SECONDS))
