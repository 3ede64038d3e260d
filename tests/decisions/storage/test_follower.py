import random

from troutswitch.decisions.storage.follower import PartitionFollower
from troutswitch.decisions.storage.messages import (
    CallFailed,
    HistoryGone,
    KeyedRecord,
    NewestPage,
    Partition,
    ReadNewest,
    ReadRecords,
    RecordsRead,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import MAX_READS_IN_FLIGHT, CallNumbers
from troutswitch.decisions.storage.refresh import Refresher


class Follower:
    """A follower with what it has taken."""

    def __init__(self, wait: float = 1.0, is_tailing: bool = True) -> None:
        self.taken: dict[str, bytes] = {}
        self.numbers = CallNumbers()
        self.follower = PartitionFollower(
            Partition("t"),
            self.numbers,
            random.Random(1),
            self._take,
            wait,
            0.2,
            is_tailing,
        )

    def _take(self, record: KeyedRecord) -> None:
        self.taken[record.key] = record.value

    def next_call(self, now: float) -> ReadNewest | ReadRecords:
        (call,) = self.follower.on_timer(now)
        assert isinstance(call, ReadNewest | ReadRecords)
        self.newest_call = call.call
        return call

    def answer(self, now: float, outcome: StoreOutcome) -> None:
        """Answers the newest call."""
        self.follower.on_answer(now, self.newest_call, outcome)

    def bootstrap(self, now: float, *records: KeyedRecord, end: int) -> None:
        assert isinstance(self.next_call(now), ReadNewest)
        self.answer(now, NewestPage(records, False, end))


def record(key: str, value: bytes, offset: int) -> KeyedRecord:
    return KeyedRecord(key, value, offset)


def test_a_record_appended_between_a_page_and_its_end_is_not_missed() -> None:
    """Found by a hunt: a daemon that started while the configuration changed kept the old
    one, since the page showed the old record and an end after the new one."""
    held = Follower()
    held.bootstrap(0.0, record("config", b"2", 0), end=2)
    call = held.next_call(0.1)
    assert isinstance(call, ReadRecords)
    assert call.offset == 1
    held.answer(0.2, RecordsRead((record("config", b"4", 1),), 2, 2))
    assert held.taken == {"config": b"4"}


def test_history_that_is_gone_does_not_make_it_start_for_ever() -> None:
    held = Follower()
    held.bootstrap(0.0, record("a", b"1", 3), end=9)
    assert held.next_call(0.1).partition == Partition("t")
    held.answer(0.2, HistoryGone(9))
    held.bootstrap(0.3, record("a", b"1", 3), end=9)
    call = held.next_call(0.4)
    assert isinstance(call, ReadRecords)
    assert call.offset == 9


def test_changes_between_pages_come_again() -> None:
    held = Follower()
    call = held.next_call(0.0)
    held.answer(0.0, NewestPage((record("a", b"1", 0),), True, 2))
    call = held.next_call(0.1)
    assert isinstance(call, ReadNewest)
    assert call.after_key == "a"
    # Meanwhile a changed at 2, and z came at 3.
    held.answer(0.1, NewestPage((record("z", b"1", 3),), False, 4))
    call = held.next_call(0.2)
    assert isinstance(call, ReadRecords)
    assert call.offset <= 2


def test_failures_are_made_up_for_with_longer_and_longer_time_outs() -> None:
    held = Follower()
    timeouts = []
    now = 0.0
    for _ in range(5):
        timeouts.append(held.next_call(now).timeout)
        held.answer(now, CallFailed("lost", True))
        now += 2.0
    assert timeouts == sorted(timeouts)
    assert timeouts[0] < 1.0 < timeouts[-1]


def test_an_answer_that_never_comes_is_given_up() -> None:
    held = Follower()
    first = held.next_call(0.0)
    assert held.follower.on_timer(held.follower.next_due() + 0.001) == []
    again = held.next_call(held.follower.next_due() + 0.001)
    assert again.call != first.call


def test_an_unanswered_read_is_repeated_beside_it_on_a_new_connection() -> None:
    held = Follower()
    held.follower.attempts.repeat_after = 0.5
    held.bootstrap(0.0, end=0)
    waiting = held.next_call(0.0)
    assert isinstance(waiting, ReadRecords)
    assert not waiting.on_new_connection
    assert held.follower.on_timer(1.49) == []
    repeated = held.next_call(1.5)
    assert repeated.on_new_connection
    assert held.follower.owns(waiting.call)
    held.follower.on_answer(1.6, waiting.call, RecordsRead((record("a", b"1", 0),), 1, 1))
    assert held.taken == {"a": b"1"}
    assert not held.follower.owns(repeated.call)


def test_a_read_that_is_hastened_leaves_the_one_in_flight_to_its_answer() -> None:
    """Guards against a slow store whose answers are never awaited while versions come often."""
    held = Follower()
    held.bootstrap(0.0, end=0)
    waiting = held.next_call(0.0)
    for tenth in range(1, 4):
        held.follower.read_concurrently(tenth / 10)
        assert held.next_call(tenth / 10).on_new_connection
    held.follower.on_answer(0.5, waiting.call, RecordsRead((record("a", b"1", 0),), 1, 1))
    assert held.taken == {"a": b"1"}


def test_reads_in_flight_stay_bounded_while_the_store_is_silent() -> None:
    held = Follower()
    held.follower.attempts.repeat_after = 0.1
    calls = [call for tenth in range(20) for call in held.follower.on_timer(tenth / 10)]
    assert len(calls) == MAX_READS_IN_FLIGHT


def test_a_read_after_a_failure_does_not_wait_at_the_store() -> None:
    held = Follower()
    held.bootstrap(0.0, end=0)
    assert held.next_call(0.0).wait == 1.0  # type: ignore[union-attr]
    held.answer(1.0, CallFailed("lost", True))
    call = held.next_call(2.0)
    assert isinstance(call, ReadRecords)
    assert call.wait == 0.0
    assert call.on_new_connection


def test_reading_again_leaves_the_answer_in_flight_out() -> None:
    held = Follower()
    held.bootstrap(0.0, end=0)
    waiting = held.next_call(0.1)
    held.follower.read_again(0.2)
    assert held.next_call(0.2).call != waiting.call
    assert not held.follower.owns(waiting.call)


def test_reads_are_paced_while_records_come() -> None:
    held = Follower()
    held.bootstrap(0.0, end=0)
    held.next_call(0.0)
    held.answer(0.5, RecordsRead((record("a", b"1", 0),), 1, 1))
    assert held.follower.on_timer(0.6) == []
    held.next_call(0.7)


def test_a_refresh_serves_all_who_asked_before_it_began() -> None:
    held = Follower(wait=0.0, is_tailing=False)
    held.bootstrap(0.0, end=0)
    refresher = Refresher(held.follower, held.numbers)
    served: list[tuple[str, bool]] = []
    refresher.refresh(lambda now, succeeded: served.append(("first", succeeded)))
    (call,) = refresher.on_timer(0.1)
    refresher.refresh(lambda now, succeeded: served.append(("second", succeeded)))
    refresher.on_answer(0.2, RecordsRead((record("a", b"1", 0),), 1, 1))
    assert served == [("first", True)]
    assert held.taken == {"a": b"1"}
    (again,) = refresher.on_timer(0.2)
    assert again.call != call.call
    refresher.on_answer(0.3, CallFailed("down", False))
    assert served == [("first", True), ("second", False)]
