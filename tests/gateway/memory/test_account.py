import threading

import pytest

from troutswitch.gateway.memory.account import READER_CLOSED, Holding, MemoryAccount
from troutswitch.gateway.memory.limits import MemoryLimits
from troutswitch.gateway.memory.pressure import Kind, Reader

LIMIT = 1000


class FakeReader:
    """A caller that reads nothing."""

    def __init__(self, account: MemoryAccount, idle: float, size: int) -> None:
        self.number = account.next_number()
        self.holding = Holding(account, Kind.ANSWERS)
        self.holding.resize(size)
        self.idle = idle
        self.closes = 0
        account.add_reader(self.number, self)

    def describe(self, number: int) -> Reader:
        return Reader(number, self.idle, self.idle, self.holding.size, False)

    def close_slow(self) -> None:
        self.closes += 1


def limited() -> tuple[MemoryAccount, list[tuple[str, dict[str, object]]]]:
    lines: list[tuple[str, dict[str, object]]] = []

    def log(event: str, **fields: object) -> None:
        lines.append((event, fields))

    return MemoryAccount(MemoryLimits(LIMIT, LIMIT // 4), log), lines


def test_a_holding_is_refused_beyond_the_limit_and_counted_until_released() -> None:
    account, _ = limited()
    first, second = Holding(account, Kind.ANSWERS), Holding(account, Kind.ANSWERS)
    assert first.try_resize(900)
    assert not second.try_resize(101)
    assert second.size == 0
    assert second.try_resize(100)
    assert account.is_full
    first.release()
    first.release()
    assert (account.total, account.held(Kind.ANSWERS), account.high_water) == (100, 100, 1000)
    second.release()
    assert account.total == 0


def test_what_an_owner_counts_itself_takes_room() -> None:
    account, _ = limited()
    account.observe(Kind.ITEMS, lambda: 450)
    assert account.held(Kind.ITEMS) == 450
    assert not Holding(account, Kind.ANSWERS).try_resize(600)


def test_stored_jobs_never_take_the_room_of_online_requests() -> None:
    """Guards against a daemon that refuses everything since it owns large jobs."""
    account, _ = limited()
    account.observe(Kind.ITEMS, lambda: 5 * LIMIT)
    assert account.held(Kind.ITEMS) == 5 * LIMIT
    assert not Holding(account, Kind.ITEMS).try_resize(1)
    assert Holding(account, Kind.BODIES).try_resize(LIMIT // 4)
    assert Holding(account, Kind.ANSWERS).try_resize(LIMIT // 4)


def test_a_holding_may_change_its_kind() -> None:
    account, _ = limited()
    holding = Holding(account, Kind.ANSWERS)
    holding.resize(10)
    account.move(holding, Kind.JOB_READS)
    assert (account.held(Kind.ANSWERS), account.held(Kind.JOB_READS)) == (0, 10)


def test_an_account_without_a_limit_is_never_full() -> None:
    account = MemoryAccount()
    holding = Holding(account, Kind.BODIES)
    assert holding.try_resize(1 << 40)
    assert not account.is_full


def test_a_full_account_closes_each_slow_reader_once_and_only_as_many_as_needed() -> None:
    account, lines = limited()
    slow = [FakeReader(account, idle, 250) for idle in (2.0, 9.0, 5.0, 3.0)]
    account.relieve()
    account.relieve()  # the closed reader's bytes are not released yet
    assert [reader.closes for reader in slow] == [0, 1, 0, 0]
    assert [event for event, _ in lines] == [READER_CLOSED]
    assert lines[0][1]["unread_bytes"] == 250
    assert lines[0][1]["held_bytes"] == LIMIT


def test_an_account_with_room_closes_nobody() -> None:
    account, _ = limited()
    reader = FakeReader(account, 60.0, 250)
    account.relieve()
    assert reader.closes == 0


def test_threads_that_reserve_and_release_leave_nothing_and_stay_below_the_limit() -> None:
    """Guards against a lost update, after which an account never returns to 0."""
    account, _ = limited()

    def use() -> None:
        holding = Holding(account, Kind.ANSWERS)
        for size in range(2000):
            holding.try_resize(size % 300)
        holding.release()

    threads = [threading.Thread(target=use) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert account.total == 0
    assert 0 < account.high_water <= LIMIT


def test_releasing_more_than_is_held_fails() -> None:
    account, _ = limited()
    holding = Holding(account, Kind.BODIES)
    holding.size = 5  # as if the account had lost an entry
    with pytest.raises(AssertionError, match="released"):
        holding.release()
