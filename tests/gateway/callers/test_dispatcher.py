import queue
import threading

import pytest

from troutswitch.gateway.callers.dispatcher import INITIAL_THREADS, GrowingDispatcher

WAIT_SECONDS = 10.0


class Task:
    """A task that runs until it is released."""

    def __init__(self, released: threading.Event) -> None:
        self.is_running = threading.Event()
        self._released = released

    def service(self) -> None:
        self.is_running.set()
        self._released.wait(WAIT_SECONDS)

    def cancel(self) -> None:
        raise AssertionError("a task was cancelled")


def test_threads_start_on_demand_up_to_the_maximum() -> None:
    released = threading.Event()
    dispatcher = GrowingDispatcher(10)
    assert len(dispatcher.threads) == INITIAL_THREADS
    tasks = [Task(released) for _ in range(10)]
    for task in tasks:
        dispatcher.add_task(task)
    assert all(task.is_running.wait(WAIT_SECONDS) for task in tasks)
    excess = Task(released)
    dispatcher.add_task(excess)
    assert len(dispatcher.threads) == 10
    assert not excess.is_running.is_set()
    released.set()
    assert excess.is_running.wait(WAIT_SECONDS)
    dispatcher.shutdown()


def test_sequential_tasks_reuse_threads() -> None:
    released = threading.Event()
    released.set()
    dispatcher = GrowingDispatcher(96)
    for _ in range(200):
        task = Task(released)
        dispatcher.add_task(task)
        assert task.is_running.wait(WAIT_SECONDS)
    assert len(dispatcher.threads) < 20
    dispatcher.shutdown()


def test_tasks_are_done_although_no_further_thread_can_be_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections that are closed unanswered at the machine's limit of threads."""
    dispatcher = GrowingDispatcher(64)
    done: queue.SimpleQueue[int] = queue.SimpleQueue()

    class Task:
        def __init__(self, number: int) -> None:
            self.number = number

        def service(self) -> None:
            done.put(self.number)

    def refuse(self: threading.Thread) -> None:
        raise RuntimeError("can't start new thread")

    with monkeypatch.context() as patched:
        patched.setattr(threading.Thread, "start", refuse)
        for number in range(100):
            dispatcher.add_task(Task(number))
        assert {done.get(timeout=WAIT_SECONDS) for _ in range(100)} == set(range(100))
    assert len(dispatcher.threads) == INITIAL_THREADS
    dispatcher.shutdown()
