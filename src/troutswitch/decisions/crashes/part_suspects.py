"""Parts of prompts that requests on crashed engines had, and what clears them.

Question: which parts may have caused an engine's crash, and when are the other daemons told?

Inputs: the parts of this daemon's requests whose answers were lost, and of those that engines
completed; the number of engines that crashed under requests which no engine has completed, at any
daemon. `now` is by this process's clock, in seconds.

Rule:

1. When this daemon finds that an engine crashed, the shared parts of its lost requests there are
   suspects.
2. They are announced `ANNOUNCEMENT_DELAY_SECONDS` later, once engines have crashed under requests
   that were not completed since, `UNEXPLAINED_CRASHES_TO_ANNOUNCE` of them in `PENDING_SECONDS`.
3. A part is cleared, at all daemons, when any engine completes a request with it. A part that a
   peer announces is cleared at once if one was completed here within `SERVED_SECONDS`.

Why: a part that crashes engines is never completed, and one that many requests share is completed
all the time, at some daemon. When engines crash for another reason, their requests complete at
other engines within the delay, and nothing is sent.

Owns the lost and the completed parts of this daemon; `record` has the crashes that are announced.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator

from troutswitch.decisions.crashes.messages import Crash

SERVED_SECONDS = 15.0
"""Time for which a completed request vouches for its parts. A part that starts to crash engines,
such as after a release, is refused this much later."""
UNEXPLAINED_CRASHES_TO_ANNOUNCE = 3
"""Engines after whose crashes parts are announced: fewer than the crashes under one part that are
accepted."""
ANNOUNCEMENT_DELAY_SECONDS = 1.0
"""Time in which the requests of a crashed engine complete elsewhere; far less than engines take to
return, and than daemons have to learn of a crash."""
PENDING_SECONDS = 600.0
"""Time for which suspects are kept that are not announced, and for which a crash counts."""
LOST_SECONDS = 30.0
"""Time for which lost parts are kept until the crash of their engine is found."""
MAX_ENGINES = 1024
"""Maximum number of engines of which lost parts are kept; the oldest are dropped first."""
MAX_PARTS_PER_ENGINE = 256
"""Maximum number of lost parts kept for one engine: more than it runs and queues."""
MAX_PENDING = 4096
"""Maximum number of suspects that are not announced; the oldest are dropped first."""
MAX_SERVED = 8192
"""Maximum number of completed parts remembered; the oldest are dropped first."""


class PartSuspects:
    """The lost and the completed parts of this daemon's requests."""

    def __init__(self) -> None:
        self._lost: OrderedDict[str, dict[str, float]] = OrderedDict()
        """When a request with a part was lost, by engine and part."""
        self._pending: OrderedDict[Crash, float] = OrderedDict()
        """Suspects that are not announced, with the time at which their crash was found."""
        self._served: OrderedDict[str, float] = OrderedDict()

    def on_lost(self, now: float, parts: Iterable[str], engine_id: str) -> None:
        """Records the parts of a request whose answer was lost."""
        for part in parts:
            lost = self._lost.setdefault(engine_id, {})
            if len(lost) < MAX_PARTS_PER_ENGINE:
                lost[part] = now
        while len(self._lost) > MAX_ENGINES:
            self._lost.popitem(last=False)

    def on_crashed(self, now: float, engine_id: str) -> None:
        """Makes the parts lost on an engine suspects, as this daemon found that it crashed."""
        for part, lost_at in self._lost.pop(engine_id, {}).items():
            if now - lost_at < LOST_SECONDS:
                self._pending[Crash(part, engine_id)] = now
        while len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)

    def on_alive(self, engine_id: str) -> None:
        """Drops the suspects of an engine that has not crashed."""
        self._lost.pop(engine_id, None)
        self._drop_pending(lambda crash: crash.engine_id == engine_id)

    def on_served(self, now: float, parts: Iterable[str]) -> None:
        """Clears the parts of a request that an engine completed."""
        cleared = set(parts)
        for part in cleared:
            self._served.pop(part, None)
            self._served[part] = now
        while len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        self._drop_pending(lambda crash: crash.content in cleared)

    def _drop_pending(self, is_dropped: Callable[[Crash], bool]) -> None:
        for crash in [crash for crash in self._pending if is_dropped(crash)]:
            del self._pending[crash]

    def was_served(self, now: float, part: str) -> bool:
        """Returns whether a request with a part was completed here recently."""
        return now - self._served.get(part, float("-inf")) < SERVED_SECONDS

    def next_due(self) -> float:
        """Returns when the next suspects may be announced; infinite without any."""
        oldest = next(iter(self._pending.values()), float("inf"))
        return oldest + ANNOUNCEMENT_DELAY_SECONDS

    def take_announced(self, now: float, unexplained_crashes: int) -> Iterator[Crash]:
        """Yields the suspects to be announced now, and drops old ones.

        Args:
            now: this process's clock, in seconds.
            unexplained_crashes: number of engines that crashed within `PENDING_SECONDS` under
                requests that no engine has completed since.
        """
        is_due = unexplained_crashes >= UNEXPLAINED_CRASHES_TO_ANNOUNCE
        for crash, at in list(self._pending.items()):
            if now - at < ANNOUNCEMENT_DELAY_SECONDS:
                return
            if now - at >= PENDING_SECONDS:
                del self._pending[crash]
            elif is_due:
                del self._pending[crash]
                if not self.was_served(now, crash.content):
                    yield crash
