"""The gateway's event loop: the only thread that accesses the state of the decisions.

The loop takes events from one queue, passes each with the current time to `GatewayCore`, and
executes the instructions that the core returns.
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
"""Longest wait for an event when no timer is due."""
SUSPENSION_SECONDS = 0.8
"""Minimum delay of an iteration that counts as a suspension of the process. It is below the
shortest lease (1 s) and far above the delays of a busy machine."""
CLOCK_COMPARISON_SECONDS = 2.0
"""Interval between comparisons of the steady clock with the time of day, which may jump."""


class GatewayLoop:
    """Passes events to the core and executes its instructions.

    Args:
        core: makes the decisions.
        events: queue of events, to which any thread may add.
        execute: executes an instruction; called on the loop's thread, must not block.
        on_failure: called with the error that ended the loop, and the event that was handled.
    """

    def __init__(
        self,
        core: GatewayCore,
        events: queue.SimpleQueue[GatewayEvent],
        execute: Callable[[GatewayInstruction], None],
        on_failure: Callable[[BaseException, GatewayEvent], None],
    ) -> None:
        self.core = core
        self._execute = execute
        self._on_failure = on_failure
        self._events = events
        self._handled: GatewayEvent = TimerFired()
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
        """Stops the loop after the event in progress."""
        self._is_stopping = True
        self.post(TimerFired())

    def _run(self) -> None:
        try:
            self._compare_clocks(steady_seconds())
            while not self._is_stopping:
                self._run_once()
        except BaseException as error:
            self._on_failure(error, self._handled)
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
        """Reports a suspension of this process to the core before any queued event.

        Queued events are from before the suspension. Leases and deadlines that have passed since
        must expire before the core acts on those events.
        """
        delay = steady_seconds() - due
        if delay >= SUSPENSION_SECONDS:
            self._step(ProcessResumed(delay))

    def _step(self, event: GatewayEvent) -> None:
        self._handled = event
        for instruction in self.core.step(steady_seconds(), event):
            self._execute(instruction)

    def _compare_clocks(self, now: float) -> None:
        if now - self._compared_at < CLOCK_COMPARISON_SECONDS:
            return
        self._compared_at = now
        self._step(ClockCompared(time.time() - now))
