"""Stalls daemons for a share of each tenth of a second, as when a core's quota is spent."""

import os
import signal
import threading
import time

from troutswitch.soak.fleet import Daemon

PERIOD_SECONDS = 0.1
"""Period of a core's quota of processor time on the users' machines."""
PHASES = 4
"""Number of groups of daemons that stall at different times of a period."""


class Stalls:
    """A thread for each group of daemons that pauses and continues their processes."""

    def __init__(self, daemons: list[Daemon], share: float) -> None:
        self.stop_requested = threading.Event()
        self._share = share
        self.threads = [
            threading.Thread(target=self._stall, args=(daemons[phase::PHASES], phase), daemon=True)
            for phase in range(PHASES if share > 0 else 0)
        ]

    def _stall(self, daemons: list[Daemon], phase: int) -> None:
        self.stop_requested.wait(phase * PERIOD_SECONDS / PHASES)
        while not self.stop_requested.is_set():
            for daemon in daemons:
                _send_signal(daemon, signal.SIGSTOP)
            time.sleep(self._share * PERIOD_SECONDS)
            for daemon in daemons:
                _send_signal(daemon, signal.SIGCONT)
            time.sleep((1 - self._share) * PERIOD_SECONDS)


def _send_signal(daemon: Daemon, number: int) -> None:
    """Signals a running daemon, unless a fault of the schedule has paused it."""
    process = daemon.child.process
    if process is not None and process.poll() is None and not daemon.child.is_paused:
        os.kill(process.pid, number)
