"""Runs blocking calls on a thread pool, and posts exactly one event for each.

The decisions wait for the event of each call that they ask for. So a call that raises an error, or
that gets no thread, is answered too, with the event that its caller names for it.
"""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.gateway.unexpected_errors import UnexpectedErrors


class CallNotStarted(Exception):
    """No thread could be started for a call, and it will not run."""


@dataclass(slots=True)
class _Call:
    """One call; whoever takes it first answers it."""

    run: Callable[[], GatewayEvent]
    on_error: Callable[[Exception], GatewayEvent]
    _taken: threading.Lock = field(default_factory=threading.Lock)

    def take(self) -> bool:
        """Returns whether the call was not taken before."""
        return self._taken.acquire(blocking=False)


class BlockingCalls:
    """A pool of threads, each of which makes one call at a time.

    Args:
        threads: maximum number of calls in progress; further ones wait.
        name: prefix of the threads' names.
        post: posts an event to the loop.
        errors: reports calls that raise an error.
    """

    def __init__(
        self,
        threads: int,
        name: str,
        post: Callable[[GatewayEvent], None],
        errors: UnexpectedErrors,
    ) -> None:
        self._post = post
        self._errors = errors
        self._executor = ThreadPoolExecutor(threads, name)
        self._pending = 0
        self._lock = threading.Lock()

    @property
    def pending(self) -> int:
        """Number of calls that are running or waiting for a thread."""
        return self._pending

    def submit(
        self,
        step: str,
        run: Callable[[], GatewayEvent],
        on_error: Callable[[Exception], GatewayEvent],
    ) -> None:
        """Runs a call on a thread and posts the event that it returns.

        Args:
            step: what the call does, in reports of its errors.
            run: the call.
            on_error: returns the event to post after an error of the call; its argument is a
                `CallNotStarted` if the call did not run and never will.
        """
        call = _Call(run, on_error)
        with self._lock:
            self._pending += 1
        try:
            self._executor.submit(self._run, step, call)
        except RuntimeError as error:  # no thread, though the call may be queued for another one
            if call.take():
                self._end(step, call, CallNotStarted(str(error)))

    def _run(self, step: str, call: _Call) -> None:
        if not call.take():
            return
        try:
            event = call.run()
        except Exception as error:
            self._end(step, call, error)
            return
        self._answer(event)

    def _end(self, step: str, call: _Call, error: Exception) -> None:
        self._errors.report(step, error)
        self._answer(call.on_error(error))

    def _answer(self, event: GatewayEvent) -> None:
        with self._lock:
            self._pending -= 1
        self._post(event)

    def shut_down(self) -> None:
        """Starts no further call, and does not wait for those in progress."""
        self._executor.shutdown(wait=False, cancel_futures=True)
