"""Shares crashes with all daemons: through the store, and from peer to peer.

The store reaches daemons that no peer reaches, keeps what is known over restarts, and joins
tellings of one crash by its key. Peers reach daemons while the store is away. A crash is written
by the daemon that saw it, and passed on once by each daemon that hears of it.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Callable

import cbor2

from troutswitch.common import Address
from troutswitch.daemons.messages import CrashReport, ReportedCrash
from troutswitch.decisions.crashes.messages import Crash
from troutswitch.decisions.slots.messages import SendToPeers
from troutswitch.decisions.storage.follower import CallNumbers, PartitionFollower
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    KeyedRecord,
    Partition,
    StoreCall,
    StoreOutcome,
)

CRASHES_TOPIC = "crashes"
READ_WAIT_SECONDS = 5.0
"""Time for which a read waits at the store while nothing is known of: one call in five seconds.
News wakes it at once."""
READ_WAIT_ALERT_SECONDS = 1.0
"""The same while crashes are on record: a lost answer must be noticed, and the read be made again,
well inside the three seconds in which all daemons must know."""
READ_PAUSE_SECONDS = 0.05
"""Least time between reads: the crashes of one engine are written within some 50 ms."""
WRITE_SECONDS = 0.02
"""Time in which crashes are gathered for one call: those of one engine come within 2 ms."""
WRITE_RETRY_SECONDS = 0.5
WRITE_LOST_SECONDS = 4.0
"""Time after which a write whose outcome is not told is made again."""
RECORDS_A_WRITE = 64
RECORDS_WAITING_MOST = 2048
"""Crashes that wait to be written; beyond it the oldest are left to other daemons that saw them."""
PEERS_NOTIFIED = 8
"""Daemons that are told at once. Where each that hears of news tells eight others once, 3 in 10,000
miss it."""
TOLD_A_MESSAGE = 20
"""Crashes in one message, which then fits into one packet (some 50 bytes each)."""
TELL_SECONDS = 0.01
"""Least time between messages: 100 a second to eight daemons at the most."""
TOLD_WAITING_MOST = 1024
TAKEN_BACK_MOST = 4096
"""Crashes that are remembered as taken back, so that a late message doesn't bring them again."""


class SharedCrashes:
    """Writes, reads and tells crashes; calls `take` for what others know.

    Args:
        peers: returns the addresses of other daemons.
        take: called with a crash, when it was (seconds since the epoch), and whether it stands
            (False: it was taken back); returns whether it was news.
    """

    def __init__(
        self,
        name: str,
        numbers: CallNumbers,
        rng: random.Random,
        peers: Callable[[], list[Address]],
        take: Callable[[float, Crash, float, bool], bool],
        log: Callable[..., None],
    ) -> None:
        self._name = name
        self._numbers = numbers
        self._rng = rng
        self._peers = peers
        self._take = take
        self._log = log
        self._now = float("-inf")
        self.follower = PartitionFollower(
            Partition(CRASHES_TOPIC),
            numbers,
            rng,
            self._take_record,
            READ_WAIT_SECONDS,
            READ_PAUSE_SECONDS,
        )
        self._to_write: deque[KeyedRecord] = deque()
        self._in_flight: tuple[KeyedRecord, ...] = ()
        self._write_call = 0
        self._write_at = float("inf")
        self._to_tell: deque[ReportedCrash] = deque()
        self._tell_at = float("-inf")
        self._taken_back: OrderedDict[Crash, None] = OrderedDict()

    # What this daemon saw.

    def publish(self, now: float, crash: Crash, at: float, stands: bool) -> None:
        """Tells all daemons of a crash, or that it is taken back."""
        self._queue(now, crash, cbor2.dumps([int(at)]) if stands else b"")
        self._pass_on(crash, at, stands)

    def forget(self, now: float, crash: Crash) -> None:
        """Removes a crash that is too old from the store.

        All daemons find it too old at about the same time, so one of them is drawn by chance; a
        crash that none removes is drawn for again by each daemon that starts.
        """
        if self._rng.random() * (1 + len(self._peers())) < 1:
            self._queue(now, crash, b"")

    def _queue(self, now: float, crash: Crash, value: bytes) -> None:
        self._to_write.append(KeyedRecord(f"{crash.content}/{crash.engine_id}", value))
        if len(self._to_write) > RECORDS_WAITING_MOST:
            self._to_write.popleft()
        if not self._write_call:
            self._write_at = min(self._write_at, now + WRITE_SECONDS)

    def _pass_on(self, crash: Crash, at: float, stands: bool) -> None:
        if stands:
            self._taken_back.pop(crash, None)
        else:
            self._taken_back[crash] = None
            if len(self._taken_back) > TAKEN_BACK_MOST:
                self._taken_back.popitem(last=False)
        self._to_tell.append(ReportedCrash(crash.content, crash.engine_id, int(at), stands))
        if len(self._to_tell) > TOLD_WAITING_MOST:
            self._to_tell.popleft()

    # What others tell.

    def on_news(self, now: float, news: CrashReport) -> None:
        """Takes what a peer tells, and passes on what is news."""
        for told in news.crashes:
            crash = Crash(told.content, told.engine_id)
            if told.stands and crash in self._taken_back:
                continue
            if self._take(now, crash, told.at, told.stands):
                self._pass_on(crash, told.at, told.stands)

    def _take_record(self, record: KeyedRecord) -> None:
        content, _, engine_id = record.key.partition("/")
        try:
            at = float(cbor2.loads(record.value)[0]) if record.value else 0.0
        except (cbor2.CBORDecodeError, ValueError, TypeError, LookupError):
            self._log("crash record malformed", key=record.key)
            return
        self._take(self._now, Crash(content, engine_id), at, bool(record.value))

    # The store.

    def owns(self, call: int) -> bool:
        """Returns whether a store's answer belongs here."""
        return self.follower.owns(call) or call == self._write_call != 0

    def on_store(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Takes a store's answer."""
        self._now = now
        if call != self._write_call:
            self.follower.on_answer(now, outcome)
            return
        self._write_call = 0
        if isinstance(outcome, Appended):
            self._in_flight = ()
            self._write_at = now if self._to_write else float("inf")
        else:
            self._write_at = now + WRITE_RETRY_SECONDS

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        tell_at = self._tell_at + TELL_SECONDS if self._to_tell else float("inf")
        return min(self.follower.next_due(), self._write_at, tell_at)

    def on_timer(self, now: float, is_alert: bool) -> list[StoreCall | SendToPeers]:
        """Makes the calls and sends the messages that are due; `is_alert` if crashes are known."""
        self._now = now
        self.follower.wait = READ_WAIT_ALERT_SECONDS if is_alert else READ_WAIT_SECONDS
        due: list[StoreCall | SendToPeers] = list(self.follower.on_timer(now))
        if now >= self._write_at:
            due.append(self._write(now))
        if self._to_tell and now >= self._tell_at + TELL_SECONDS:
            due += self._tell(now)
        return due

    def _write(self, now: float) -> StoreCall:
        """Writes what waits; what was not confirmed goes again, which changes nothing."""
        if not self._in_flight:
            count = min(RECORDS_A_WRITE, len(self._to_write))
            self._in_flight = tuple(self._to_write.popleft() for _ in range(count))
        self._write_call = self._numbers.next()
        self._write_at = now + WRITE_LOST_SECONDS
        return AppendRecords(self._write_call, Partition(CRASHES_TOPIC), self._in_flight)

    def _tell(self, now: float) -> list[SendToPeers]:
        self._tell_at = now
        count = min(TOLD_A_MESSAGE, len(self._to_tell))
        told = tuple(self._to_tell.popleft() for _ in range(count))
        peers = self._peers()
        chosen = self._rng.sample(peers, min(PEERS_NOTIFIED, len(peers)))
        return [SendToPeers(tuple(chosen), CrashReport(self._name, told))] if chosen else []
