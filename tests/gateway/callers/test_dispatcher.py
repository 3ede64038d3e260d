import threading

from troutswitch.gateway.callers.dispatcher import INITIAL_THREADS, GrowingDispatcher

WAIT_SECONDS = 10.0


class Task:
    """A task that runs until it is let go."""

    def __init__(self, let_go: threading.Event) -> None:
        self.is_running = threading.Event()
        self._let_go = let_go

    def service(self) -> None:
        self.is_running.set()
        self._let_go.wait(WAIT_SECONDS)

    def cancel(self) -> None:
        raise AssertionError("a task was cancelled")


def test_threads_start_when_they_are_needed_and_no_more_than_allowed() -> None:
    let_go = threading.Event()
    dispatcher = GrowingDispatcher(10)
    assert len(dispatcher.threads) == INITIAL_THREADS
    tasks = [Task(let_go) for _ in range(10)]
    for task in tasks:
        dispatcher.add_task(task)
    assert all(task.is_running.wait(WAIT_SECONDS) for task in tasks)
    late = Task(let_go)
    dispatcher.add_task(late)
    assert len(dispatcher.threads) == 10
    assert not late.is_running.is_set()
    let_go.set()
    assert late.is_running.wait(WAIT_SECONDS)
    dispatcher.shutdown()


def test_few_tasks_need_few_threads() -> None:
    let_go = threading.Event()
    let_go.set()
    dispatcher = GrowingDispatcher(96)
    for _ in range(200):
        task = Task(let_go)
        dispatcher.add_task(task)
        assert task.is_running.wait(WAIT_SECONDS)
    assert len(dispatcher.threads) < 20
    dispatcher.shutdown()
