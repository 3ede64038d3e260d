"""The gateway's loop: the one thread that owns all state of the decisions.

It owns the thread on which the core decides, takes events from one queue, and gives the core its
clock. It relies on `GatewayCore` to decide, and on the given function to carry instructions out
without blocking.
"""

import queue
import threading
import time
from collections.abc import Callable

from troutswitch.clock import steady_seconds
from troutswitch.decisions.gateway import GatewayCore
from troutswitch.decisions.gateway_interface import GatewayEvent, GatewayInstruction
from troutswitch.decisions.gateway_messages import ClockCompared, ProcessResumed, TimerFired

MAX_WAIT_SECONDS = 1.0
"""Longest wait when nothing is due."""
SUSPENSION_SECONDS = 0.8
"""Delay of a turn from which this process counts as having been suspended: below the shortest
lease (1 s), far above the delays of a busy machine."""
CLOCK_COMPARISON_SECONDS = 2.0
"""Interval between comparisons with the time of day, which may jump."""


class GatewayLoop:
    """Feeds events to the core and has its instructions carried out.

    Args:
        events: the queue of events, to which any thread may add.
        execute: carries an instruction out; called on the loop's thread, must not block.
        on_failure: called with the error that ended the loop.
    """

    def __init__(
        self,
        core: GatewayCore,
        events: queue.SimpleQueue[GatewayEvent],
        execute: Callable[[GatewayInstruction], None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self.core = core
        self._execute = execute
        self._on_failure = on_failure
        self._events = events
        self._compared_at = float("-inf")
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="loop", daemon=True)

    def start(self) -> None:
        """Starts the loop's thread."""
        self._thread.start()

    def post(self, event: GatewayEvent) -> None:
        """Queues an event; safe to call from any thread."""
        self._events.put(event)

    def stop(self) -> None:
        """Ends the loop."""
        self._is_stopping = True
        self.post(TimerFired())

    def _run(self) -> None:
        try:
            self._compare_clocks(steady_seconds())
            while not self._is_stopping:
                self._run_once()
        except BaseException as error:
            self._on_failure(error)
            raise

    def _run_once(self) -> None:
        now = steady_seconds()
        wait = min(max(0.0, self.core.next_due() - now), MAX_WAIT_SECONDS)
        event: GatewayEvent
        try:
            event = self._events.get(timeout=wait) if wait else self._events.get_nowait()
        except queue.Empty:
            event = TimerFired()
        self._check_suspension(now + wait)
        self._step(event)
        self._compare_clocks(steady_seconds())

    def _check_suspension(self, due: float) -> None:
        """Informs the core before any queued event if this process did not run for a while.

        Queued events are of the time before. Leases and deadlines that ended meanwhile must be
        over before these are acted on.
        """
        late = steady_seconds() - due
        if late >= SUSPENSION_SECONDS:
            self._step(ProcessResumed(late))

    def _step(self, event: GatewayEvent) -> None:
        for instruction in self.core.step(steady_seconds(), event):
            self._execute(instruction)

    def _compare_clocks(self, now: float) -> None:
        if now - self._compared_at < CLOCK_COMPARISON_SECONDS:
            return
        self._compared_at = now
        self._step(ClockCompared(time.time() - now))
