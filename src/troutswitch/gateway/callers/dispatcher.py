"""A waitress task dispatcher that starts its worker threads on demand.

waitress starts all of its threads at startup. Most daemons use only a few of them, and many daemons
on one machine would exhaust its thread limit.
"""

from typing import Any

import waitress.task

INITIAL_THREADS = 4
"""Number of threads started with the dispatcher."""


class GrowingDispatcher(waitress.task.ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts another thread when a task finds no idle thread, up to `max_threads`."""

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads
        self.set_thread_count(min(INITIAL_THREADS, max_threads))

    def start_new_thread(self, target: Any, thread_no: int) -> None:
        """Starts a thread; without one, tasks wait for those that run. Called with the lock."""
        try:
            super().start_new_thread(target, thread_no)
        except RuntimeError:
            if len(self.threads) == 1:
                raise
            self.threads.discard(thread_no)
            self.active_count -= 1  # the base class counts the thread as started

    def add_task(self, task: Any) -> None:
        """Queues a task, and starts a thread for it if all threads are busy."""
        with self.lock:
            waiting = len(self.queue) + 1
            idle = len(self.threads) - self.stop_count - self.active_count
            wanted = min(len(self.threads) + waiting - idle, self._max_threads)
        if wanted > len(self.threads):
            self.set_thread_count(wanted)
        super().add_task(task)
