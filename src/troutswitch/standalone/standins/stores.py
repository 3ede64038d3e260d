"""In-memory stores used by the platform stand-in and the simulation."""

from collections import defaultdict, deque
from dataclasses import dataclass, replace

from troutswitch.standalone.constants import LAST_ENTRY
from troutswitch.standalone.decisions.events import Machine


class LogStore:
    """Append-only streams with offsets."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = defaultdict(list)
        self.appended_bytes = 0

    def append(self, stream: str, payload: bytes) -> int:
        """Appends an entry and returns its offset."""
        entries = self.streams[stream]
        entries.append(payload)
        self.appended_bytes += len(payload)
        return len(entries) - 1

    def read(self, stream: str, offset: int, limit: int) -> tuple[int, list[bytes], int]:
        """Returns the first offset, up to `limit` entries starting there, and the tail offset."""
        entries = self.streams.get(stream, [])
        first = max(0, len(entries) - 1) if offset == LAST_ENTRY else offset
        return first, entries[first : first + limit], len(entries)


@dataclass(frozen=True, slots=True)
class _ListChange:
    """A change of the list, visible from `visible_at`."""

    visible_at: float
    name: str
    machine: Machine | None


class MachineListStore:
    """The list of machines; changes become visible after `lag_seconds`."""

    def __init__(self, lag_seconds: float) -> None:
        self.lag_seconds = lag_seconds
        self._visible: dict[str, Machine] = {}
        self._pending: deque[_ListChange] = deque()
        self._latest: dict[str, Machine] = {}

    def put(self, now: float, machine: Machine, lag_seconds: float | None = None) -> None:
        """Adds or updates a machine, visible after the lag."""
        lag = self.lag_seconds if lag_seconds is None else lag_seconds
        self._latest[machine.name] = machine
        self._pending.append(_ListChange(now + lag, machine.name, machine))

    def mark_leaving(self, now: float, name: str) -> None:
        """Marks a machine as leaving."""
        machine = self._latest.get(name)
        if machine is not None:
            self.put(now, replace(machine, leaving=True))

    def remove(self, now: float, name: str) -> None:
        """Removes a machine."""
        self._latest.pop(name, None)
        self._pending.append(_ListChange(now + self.lag_seconds, name, None))

    def read(self, now: float) -> list[Machine]:
        """Returns the list visible at `now`."""
        while self._pending and self._pending[0].visible_at <= now:
            change = self._pending.popleft()
            if change.machine is None:
                self._visible.pop(change.name, None)
            else:
                self._visible[change.name] = change.machine
        return list(self._visible.values())
