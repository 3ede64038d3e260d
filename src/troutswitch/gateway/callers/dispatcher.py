"""Threads for callers' requests that start only when they are needed.

waitress starts all of its threads at once. Most daemons need few of them at a time, and many
daemons on one machine would use up its threads. It owns the threads; waitress owns the tasks.
"""

from typing import Any

import waitress.task

INITIAL_THREADS = 4
"""Threads that run from the start."""


class GrowingDispatcher(waitress.task.ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts one more thread whenever a task finds none idle, up to a limit."""

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads
        self.set_thread_count(min(INITIAL_THREADS, max_threads))

    def add_task(self, task: Any) -> None:
        """Queues a task, and starts a thread for it if all are busy."""
        with self.lock:
            waiting = len(self.queue) + 1
            idle = len(self.threads) - self.stop_count - self.active_count
            wanted = min(len(self.threads) + waiting - idle, self._max_threads)
        if wanted > len(self.threads):
            self.set_thread_count(wanted)
        super().add_task(task)
