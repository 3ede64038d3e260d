"""The gateway's loop: one thread that owns all state and makes every decision."""

import queue
import threading
import time
from collections.abc import Callable

from troutswitch.clock import steady_seconds
from troutswitch.decisions.gateway import GatewayCore
from troutswitch.decisions.gateway_messages import ClockCompared, ProcessResumed, TimerFired

IDLE_SECONDS = 1.0
"""Longest wait when nothing is due."""
SUSPENSION_SECONDS = 0.8
"""Delay of a turn from which this process counts as having stood still, frozen or suspended:
below the shortest lease (1 s), and far above what a busy machine takes (0.1 s)."""
COMPARE_SECONDS = 2.0
"""Interval between looks at the time of day, which may jump."""


class GatewayLoop:
    """Feeds events to the core and hands its instructions on."""

    def __init__(
        self,
        core: GatewayCore,
        carry_out: Callable[[object], None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.core = core
        self._carry_out = carry_out
        self._on_failure = on_failure
        self._events: queue.SimpleQueue[object] = queue.SimpleQueue()
        self._compared_at = float("-inf")
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="loop", daemon=True)

    def start(self) -> None:
        """Starts the loop's thread."""
        self._thread.start()

    def post(self, event: object) -> None:
        """Hands an event in, from any thread."""
        self._events.put(event)

    def stop(self) -> None:
        """Ends the loop."""
        self._is_stopping = True
        self.post(TimerFired())

    def _run(self) -> None:
        try:
            self._compare_clocks(steady_seconds())
            while not self._is_stopping:
                self._turn()
        except BaseException as error:
            self._on_failure(error)
            raise

    def _turn(self) -> None:
        now = steady_seconds()
        wait = min(max(0.0, self.core.next_due() - now), IDLE_SECONDS)
        try:
            event = self._events.get(timeout=wait) if wait else self._events.get_nowait()
        except queue.Empty:
            event = TimerFired()
        self._note_suspension(now + wait)
        self._step(event)
        self._compare_clocks(steady_seconds())

    def _note_suspension(self, due: float) -> None:
        """Tells the core first of all if this process did not run for a while.

        What waits in the queue was true before. Leases and deadlines must be over before it is
        acted on.
        """
        late = steady_seconds() - due
        if late >= SUSPENSION_SECONDS:
            self._step(ProcessResumed(late))

    def _step(self, event: object) -> None:
        for instruction in self.core.step(steady_seconds(), event):
            self._carry_out(instruction)

    def _compare_clocks(self, now: float) -> None:
        if now - self._compared_at < COMPARE_SECONDS:
            return
        self._compared_at = now
        self._step(ClockCompared(time.time() - now))
