"""A channel on which one thread passes items to another that waits for them."""

import threading
from concurrent.futures import Future
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Channel(Generic[Item]):
    """A sequence of futures: each `put` fulfils the next one that `get` waits on."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ready: list[Future[Item]] = [Future()]

    def put(self, item: Item) -> None:
        """Adds an item."""
        with self._lock:
            future = self._ready[-1]
            self._ready.append(Future())
        future.set_result(item)

    def get(self, timeout: float) -> Item:
        """Waits for the next item.

        Raises:
            TimeoutError: no item came in `timeout` seconds.
        """
        item = self._ready[0].result(timeout)
        with self._lock:
            del self._ready[0]
        return item
