"""Signals that request a stop or a reload of the settings.

The signals are blocked in all threads, and taken by `Signals.wait` alone. A signal handler could
interrupt the main thread where it holds a lock that the handler needs, and block it for ever.
"""

import signal

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
RELOAD_SIGNALS = frozenset({signal.SIGHUP})


def block_signals() -> None:
    """Keeps the signals pending until they are taken; call it before any thread is started."""
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS | RELOAD_SIGNALS)


class Signals:
    """The signals that were taken.

    Create it before anything else, so that no signal is missed.
    """

    def __init__(self) -> None:
        block_signals()
        self.is_stop_requested = False
        self._is_reload_requested = False

    def take_reload(self) -> bool:
        """Returns whether a reload was requested since the last call."""
        requested, self._is_reload_requested = self._is_reload_requested, False
        return requested

    def wait(self, seconds: float) -> None:
        """Waits for a signal for at most `seconds`, and takes all that are pending."""
        timeout = seconds
        for _ in STOP_SIGNALS | RELOAD_SIGNALS:  # each can be pending once
            taken = signal.sigtimedwait(STOP_SIGNALS | RELOAD_SIGNALS, timeout)
            if taken is None:
                return
            self.is_stop_requested |= taken.si_signo in STOP_SIGNALS
            self._is_reload_requested |= taken.si_signo in RELOAD_SIGNALS
            timeout = 0.0
