"""How a partition is followed across appends, failures, lost answers and dropped history."""

import random

import pytest

from troutswitch.decisions.storage.follower import PartitionFollower
from troutswitch.decisions.storage.messages import (
    Appended,
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


class FollowerHarness:
    """A follower and the newest values that it applied."""

    def __init__(self, wait: float = 1.0, is_tailing: bool = True) -> None:
        self.applied: dict[str, bytes] = {}
        self.values: dict[str, list[bytes]] = {}
        """All values of each key, in the order in which they were applied."""
        self.numbers = CallNumbers()
        self.follower = PartitionFollower(
            Partition("t"),
            self.numbers,
            random.Random(1),
            self._apply,
            wait,
            0.2,
            is_tailing,
        )

    def _apply(self, record: KeyedRecord) -> None:
        self.applied[record.key] = record.value
        self.values.setdefault(record.key, []).append(record.value)

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


def test_record_appended_between_a_page_and_its_end_offset_is_not_missed() -> None:
    """Guards against a daemon that keeps an old configuration if it changes while the daemon
    starts: the page contains the old record, and its end offset follows the new one."""
    harness = FollowerHarness()
    harness.bootstrap(0.0, record("config", b"2", 0), end=2)
    call = harness.next_call(0.1)
    assert isinstance(call, ReadRecords)
    assert call.offset == 1
    harness.answer(0.2, RecordsRead((record("config", b"4", 1),), 2, 2))
    assert harness.applied == {"config": b"4"}


def test_reads_continue_from_the_first_kept_record_after_history_was_dropped() -> None:
    harness = FollowerHarness()
    harness.bootstrap(0.0, record("a", b"1", 3), end=9)
    assert harness.next_call(0.1).partition == Partition("t")
    harness.answer(0.2, HistoryGone(9))
    harness.bootstrap(0.3, record("a", b"1", 3), end=9)
    call = harness.next_call(0.4)
    assert isinstance(call, ReadRecords)
    assert call.offset == 9


def test_records_changed_between_pages_are_read_again() -> None:
    harness = FollowerHarness()
    call = harness.next_call(0.0)
    harness.answer(0.0, NewestPage((record("a", b"1", 0),), True, 2))
    call = harness.next_call(0.1)
    assert isinstance(call, ReadNewest)
    assert call.after_key == "a"
    # In the meantime `a` was changed at offset 2 and `z` was appended at offset 3.
    harness.answer(0.1, NewestPage((record("z", b"1", 3),), False, 4))
    call = harness.next_call(0.2)
    assert isinstance(call, ReadRecords)
    assert call.offset <= 2


def test_timeout_grows_with_consecutive_failures() -> None:
    harness = FollowerHarness()
    timeouts = []
    now = 0.0
    for _ in range(5):
        timeouts.append(harness.next_call(now).timeout)
        harness.answer(now, CallFailed("lost", True))
        now += 2.0
    assert timeouts == sorted(timeouts)
    assert timeouts[0] < 1.0 < timeouts[-1]


def test_read_without_an_outcome_is_abandoned_and_repeated() -> None:
    harness = FollowerHarness()
    first = harness.next_call(0.0)
    assert harness.follower.on_timer(harness.follower.next_due() + 0.001) == []
    again = harness.next_call(harness.follower.next_due() + 0.001)
    assert again.call != first.call


def test_unanswered_read_is_repeated_on_a_new_connection_without_abandoning_it() -> None:
    harness = FollowerHarness()
    harness.follower.attempts.repeat_after = 0.5
    harness.bootstrap(0.0, end=0)
    waiting = harness.next_call(0.0)
    assert isinstance(waiting, ReadRecords)
    assert not waiting.on_new_connection
    assert harness.follower.on_timer(1.49) == []
    repeated = harness.next_call(1.5)
    assert repeated.on_new_connection
    assert harness.follower.owns(waiting.call)
    harness.follower.on_answer(1.6, waiting.call, RecordsRead((record("a", b"1", 0),), 1, 1))
    assert harness.applied == {"a": b"1"}
    assert not harness.follower.owns(repeated.call)


def test_concurrent_read_does_not_abandon_the_read_in_flight() -> None:
    """Guards against a reader that never waits for a slow store while versions change often."""
    harness = FollowerHarness()
    harness.bootstrap(0.0, end=0)
    waiting = harness.next_call(0.0)
    for tenth in range(1, 4):
        harness.follower.read_concurrently(tenth / 10)
        assert harness.next_call(tenth / 10).on_new_connection
    harness.follower.on_answer(0.5, waiting.call, RecordsRead((record("a", b"1", 0),), 1, 1))
    assert harness.applied == {"a": b"1"}


def test_reads_in_flight_are_bounded_while_the_store_is_silent() -> None:
    harness = FollowerHarness()
    harness.follower.attempts.repeat_after = 0.1
    calls = [call for tenth in range(20) for call in harness.follower.on_timer(tenth / 10)]
    assert len(calls) == MAX_READS_IN_FLIGHT


def test_read_after_a_failure_does_not_wait_at_the_store() -> None:
    harness = FollowerHarness()
    harness.bootstrap(0.0, end=0)
    assert harness.next_call(0.0).wait == 1.0  # type: ignore[union-attr]
    harness.answer(1.0, CallFailed("lost", True))
    call = harness.next_call(2.0)
    assert isinstance(call, ReadRecords)
    assert call.wait == 0.0
    assert call.on_new_connection


def test_reading_again_abandons_the_read_in_flight() -> None:
    harness = FollowerHarness()
    harness.bootstrap(0.0, end=0)
    waiting = harness.next_call(0.1)
    harness.follower.read_again(0.2)
    assert harness.next_call(0.2).call != waiting.call
    assert not harness.follower.owns(waiting.call)


def test_reads_are_paced_while_records_are_appended() -> None:
    harness = FollowerHarness()
    harness.bootstrap(0.0, end=0)
    harness.next_call(0.0)
    harness.answer(0.5, RecordsRead((record("a", b"1", 0),), 1, 1))
    assert harness.follower.on_timer(0.6) == []
    harness.next_call(0.7)


def test_refresh_serves_only_waiters_added_before_its_read() -> None:
    harness = FollowerHarness(wait=0.0, is_tailing=False)
    harness.bootstrap(0.0, end=0)
    refresher = Refresher(harness.follower, harness.numbers)
    served: list[tuple[str, bool]] = []
    refresher.refresh(lambda now, succeeded: served.append(("first", succeeded)))
    (call,) = refresher.on_timer(0.1)
    refresher.refresh(lambda now, succeeded: served.append(("second", succeeded)))
    refresher.on_answer(0.2, RecordsRead((record("a", b"1", 0),), 1, 1))
    assert served == [("first", True)]
    assert harness.applied == {"a": b"1"}
    (again,) = refresher.on_timer(0.2)
    assert again.call != call.call
    refresher.on_answer(0.3, CallFailed("down", False))
    assert served == [("first", True), ("second", False)]


def test_key_that_was_removed_unseen_is_removed_after_the_partition_is_read_again() -> None:
    """Guards against an item's text that joins a new part with removed ones of an earlier run."""
    harness = FollowerHarness(wait=0.0, is_tailing=False)
    harness.next_call(0.0)
    harness.answer(0.0, NewestPage((record("a", b"1", 0), record("b", b"1", 1)), False, 2))
    # Meanwhile "b" was removed at offset 2 and "a" written at 3.
    harness.follower.read_to(1.0, 4)
    harness.next_call(1.0)
    harness.answer(1.1, NewestPage((record("a", b"2", 3),), True, 4))
    assert harness.applied == {"a": b"1", "b": b"1"}  # what was read stays until the last page
    harness.next_call(1.1)
    harness.answer(1.2, NewestPage((), False, 4))
    assert harness.applied == {"a": b"2", "b": b""}


def test_key_that_was_written_after_its_page_stays_after_the_partition_is_read_again() -> None:
    harness = FollowerHarness(wait=0.0, is_tailing=False)
    harness.bootstrap(0.0, end=0)
    harness.follower.restart(1.0, floor=1)
    harness.next_call(1.0)
    harness.answer(1.1, NewestPage((record("z", b"1", 0),), True, 1))
    harness.follower.apply_appended((record("a", b"1", -1),), Appended(1, 2))
    harness.next_call(1.1)
    harness.answer(1.2, NewestPage((), False, 2))
    call = harness.next_call(1.2)
    assert isinstance(call, ReadRecords)
    harness.answer(1.3, RecordsRead((record("a", b"1", 1),), 2, 2))
    assert harness.applied == {"a": b"1", "z": b"1"}


def test_records_appended_while_pages_are_read_are_part_of_the_state() -> None:
    """Guards against an owner that acts before it has read the removals in the tail."""
    harness = FollowerHarness(wait=0.0, is_tailing=False)
    harness.follower.read_to(0.0, 4)
    harness.next_call(0.0)
    harness.answer(0.1, NewestPage((record("a", b"1", 3),), True, 5))
    harness.next_call(0.1)
    harness.answer(0.2, NewestPage((record("z", b"1", 5),), False, 6))
    assert not harness.follower.includes(4)
    assert harness.applied == {}
    call = harness.next_call(0.2)
    assert isinstance(call, ReadRecords)
    assert call.offset == 4
    harness.answer(0.3, RecordsRead((record("a", b"", 4),), 5, 7))
    assert not harness.follower.includes(4)
    harness.next_call(0.3)
    harness.answer(0.4, RecordsRead((record("z", b"1", 5), record("y", b"1", 6)), 7, 7))
    assert harness.follower.includes(7)
    assert harness.applied == {"a": b"", "y": b"1", "z": b"1"}


def test_first_page_is_read_once_more_if_its_last_record_lies_far_back() -> None:
    """Guards against a tail that is most of the partition's history."""
    harness = FollowerHarness(wait=0.0, is_tailing=False)
    harness.next_call(0.0)
    harness.answer(0.1, NewestPage((record("a", b"1", 0),), True, 10_000))
    call = harness.next_call(0.1)
    assert isinstance(call, ReadNewest)
    assert call.after_key == ""
    harness.answer(0.2, NewestPage((record("a", b"1", 0),), True, 10_001))
    call = harness.next_call(0.2)
    assert isinstance(call, ReadNewest)
    assert call.after_key == "a"
    harness.answer(0.3, NewestPage((record("b", b"1", 9_999),), False, 10_001))
    call = harness.next_call(0.3)
    assert isinstance(call, ReadRecords)
    assert call.offset == 10_000


def test_record_that_is_older_than_the_applied_one_is_not_applied() -> None:
    harness = FollowerHarness()
    harness.bootstrap(0.0, record("a", b"1", 0), end=1)
    waiting = harness.next_call(0.1)
    harness.follower.apply_appended((record("a", b"2", -1), record("a", b"3", -1)), Appended(1, 3))
    answer = RecordsRead((record("a", b"2", 1), record("a", b"3", 2), record("a", b"4", 3)), 4, 4)
    harness.follower.on_answer(0.2, waiting.call, answer)
    assert harness.values["a"] == [b"1", b"2", b"3", b"4"]


def test_waiter_waits_for_the_partition_to_be_read_again() -> None:
    """Guards against a position that a client has read and is then told does not exist.

    The first read of the partition is begun again, so the read in flight is not applied.
    """
    harness = FollowerHarness(wait=0.0, is_tailing=False)
    refresher = Refresher(harness.follower, harness.numbers)
    served: list[bool] = []
    refresher.refresh(lambda now, succeeded: served.append(succeeded))
    assert refresher.on_timer(0.1) == []
    harness.bootstrap(0.1, end=0)
    (call,) = refresher.on_timer(0.1)
    assert isinstance(call, ReadRecords)
    harness.follower.restart(0.1, floor=0)
    refresher.on_answer(0.2, HistoryGone(1))
    assert served == []
    harness.next_call(0.2)
    harness.answer(0.3, NewestPage((record("a", b"1", 0),), False, 1))
    (again,) = refresher.on_timer(0.3)
    refresher.on_answer(0.4, RecordsRead((), 1, 1))
    assert again.call
    assert served == [True]
    assert harness.applied == {"a": b"1"}


def test_read_in_flight_is_applied_while_the_partition_is_read_again() -> None:
    """Guards against a waiter that is told of an end whose records were not applied."""
    harness = FollowerHarness(wait=0.0, is_tailing=False)
    harness.bootstrap(0.0, end=0)
    refresher = Refresher(harness.follower, harness.numbers)
    served: list[dict[str, bytes]] = []
    refresher.refresh(lambda now, succeeded: served.append(dict(harness.applied)))
    refresher.on_timer(0.1)
    harness.follower.read_to(0.1, 1)
    refresher.on_answer(0.2, RecordsRead((record("a", b"1", 0),), 1, 1))
    assert served == [{"a": b"1"}]
    harness.next_call(0.2)
    harness.answer(0.3, NewestPage((record("a", b"1", 0),), False, 1))
    assert harness.values == {"a": [b"1"]}


def test_waiter_is_served_once_all_records_up_to_the_stated_end_are_applied() -> None:
    harness = FollowerHarness(wait=0.0, is_tailing=False)
    harness.bootstrap(0.0, end=0)
    refresher = Refresher(harness.follower, harness.numbers)
    served: list[bool] = []
    refresher.refresh(lambda now, succeeded: served.append(succeeded))
    refresher.on_timer(0.1)
    (more,) = refresher.on_answer(0.2, RecordsRead((record("a", b"1", 0),), 1, 2))
    assert isinstance(more, ReadRecords)
    assert (more.offset, served) == (1, [])
    assert refresher.on_answer(0.3, RecordsRead((record("b", b"1", 1),), 2, 9)) == []
    assert served == [True]


def test_error_while_a_record_is_applied_names_the_record() -> None:
    """Guards against an end of the daemon of which nobody can tell what caused it."""

    def fail(record: KeyedRecord) -> None:
        raise RecursionError("too deep")

    numbers, rng = CallNumbers(), random.Random(1)
    follower = PartitionFollower(Partition("topic", 3), numbers, rng, fail, 0.0, 0.1)
    (call,) = follower.on_timer(0.0)
    with pytest.raises(RecursionError) as raised:
        follower.on_answer(0.1, call.call, NewestPage((KeyedRecord("k", b"v", 7),), False, 8))
    assert raised.value.__notes__ == ["record 'k' at offset 7 of topic 3"]


def test_partition_is_read_on_behind_a_page_of_unreadable_rows() -> None:
    """Guards against a reread that ends there, by which all keys behind it are removed."""
    harness = FollowerHarness()
    harness.bootstrap(0.0, record("z", b"1", 3), end=4)
    harness.follower.restart(1.0, 4)
    harness.next_call(1.0)
    harness.answer(1.0, NewestPage((), True, 4, "m"))
    call = harness.next_call(1.1)
    assert isinstance(call, ReadNewest) and call.after_key == "m"
    harness.answer(1.1, NewestPage((record("z", b"1", 3),), False, 4))
    assert harness.follower.is_following
    assert harness.applied == {"z": b"1"}


@pytest.mark.parametrize("key", ["", "a"])
def test_page_that_leads_nowhere_is_a_failure(key: str) -> None:
    harness = FollowerHarness()
    harness.next_call(0.0)
    harness.answer(0.0, NewestPage((record("a", b"1", 0),), True, 2))
    harness.next_call(0.1)
    harness.answer(0.1, NewestPage((), True, 2, key))
    assert harness.follower.attempts.failures == 1
    assert not harness.follower.is_following
    call = harness.next_call(5.0)
    assert isinstance(call, ReadNewest) and call.after_key == "a"


def test_read_whose_answer_states_nothing_is_repeated() -> None:
    """Guards against a reread from offset 0, and against a read that is taken as done."""
    harness = FollowerHarness()
    harness.bootstrap(0.0, record("a", b"1", 3), end=4)
    offset = harness.follower.next_offset
    harness.next_call(0.5)
    harness.answer(0.5, CallFailed("status 410: ", True))
    assert harness.follower.is_following
    call = harness.next_call(5.0)
    assert isinstance(call, ReadRecords) and call.offset == offset
