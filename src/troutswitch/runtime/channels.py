"""A channel that passes items from one thread to another."""

import threading
from concurrent.futures import Future
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Channel(Generic[Item]):
    """A queue of futures: each `put` completes the next future that `get` waits for.

    Only one thread may call `get`.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._futures: list[Future[Item]] = [Future()]

    def put(self, item: Item) -> None:
        """Appends an item."""
        with self._lock:
            future = self._futures[-1]
            self._futures.append(Future())
        future.set_result(item)

    def get(self, timeout: float) -> Item:
        """Waits for the next item, removes it and returns it.

        Raises:
            TimeoutError: no item arrived within `timeout` seconds.
        """
        item = self._futures[0].result(timeout)
        with self._lock:
            del self._futures[0]
        return item
