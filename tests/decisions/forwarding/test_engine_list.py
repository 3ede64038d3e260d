"""Reading the list of engines: by one daemon, and by all daemons of a large fleet."""

import heapq
import random

import pytest

from troutswitch.decisions.forwarding.engine_list import MAX_READING_SECONDS, EngineListReader
from troutswitch.decisions.storage.messages import CallFailed, KeyedRecord, NewestPage, ReadNewest
from troutswitch.decisions.storage.read_attempts import CallNumbers

PAGE = 500
INTERVAL = 0.6


def reader(seed: int = 1) -> EngineListReader:
    return EngineListReader(CallNumbers(), random.Random(seed), INTERVAL)


def page_of(engines: int, after_key: str) -> NewestPage:
    first = int(after_key) + 1 if after_key else 0
    rows = tuple(
        KeyedRecord(f"{number:05d}", b"") for number in range(first, min(first + PAGE, engines))
    )
    return NewestPage(rows, first + PAGE < engines, 0)


def next_call(list_reader: EngineListReader, now: float) -> ReadNewest:
    (call,) = list_reader.on_timer(now)
    assert isinstance(call, ReadNewest)
    return call


def test_failed_page_is_read_again_without_the_pages_before_it() -> None:
    list_reader = reader()
    call = next_call(list_reader, 0.0)
    assert list_reader.on_answer(0.1, call.call, page_of(1200, call.after_key)) is None
    call = next_call(list_reader, 0.1)
    assert call.after_key == "00499"
    assert list_reader.on_answer(0.2, call.call, CallFailed("429", False)) is None
    assert list_reader.attempts.failures == 1
    call = next_call(list_reader, 1.0)
    assert call.after_key == "00499"
    assert list_reader.on_answer(1.1, call.call, page_of(1200, "00499")) is None
    call = next_call(list_reader, 1.1)
    rows = list_reader.on_answer(1.2, call.call, page_of(1200, call.after_key))
    assert rows is not None
    assert len(rows) == 1200
    assert list_reader.page_count == 3


def test_list_is_read_from_the_start_if_its_first_pages_are_old() -> None:
    list_reader = reader()
    call = next_call(list_reader, 0.0)
    list_reader.on_answer(0.1, call.call, page_of(1200, call.after_key))
    call = next_call(list_reader, 0.1)
    list_reader.on_answer(MAX_READING_SECONDS + 1, call.call, CallFailed("timeout", False))
    assert next_call(list_reader, MAX_READING_SECONDS + 2).after_key == ""


def test_late_answer_to_an_earlier_page_is_ignored() -> None:
    list_reader = reader()
    first = next_call(list_reader, 0.0)
    repeated = next_call(list_reader, list_reader.next_due())
    list_reader.on_answer(1.0, repeated.call, page_of(1200, ""))
    assert not list_reader.owns(first.call)
    assert next_call(list_reader, 1.0).after_key == "00499"


def test_unanswered_call_is_repeated_each_interval() -> None:
    list_reader = reader()
    times = [0.0]
    next_call(list_reader, 0.0)
    while len(times) < 4:
        next_call(list_reader, list_reader.next_due())
        times.append(list_reader.next_due() - INTERVAL)
    assert times == pytest.approx([INTERVAL * number for number in range(4)])


def simulate_fleet(daemons: int, engines: int, calls_per_second: float, paced: bool) -> list[float]:
    """Simulates daemons that read the list for 20 s from a store with a limited call rate.

    Returns the time of the newest whole list of each daemon.
    """
    readers = [reader(seed) for seed in range(daemons)]
    listed_at = [float("-inf")] * daemons
    pages = -(-engines // PAGE)
    rng = random.Random(1)
    due = [(rng.random() * 0.3, number) for number in range(daemons)]
    heapq.heapify(due)
    tokens, refilled_at = calls_per_second / 10, 0.0
    while due[0][0] < 20.0:
        now, number = heapq.heappop(due)
        list_reader = readers[number]
        if paced:
            list_reader.min_interval = daemons * list_reader.page_count / (calls_per_second / 4)
        for call in list_reader.on_timer(now):
            assert isinstance(call, ReadNewest)
            tokens = min(calls_per_second / 10, tokens + (now - refilled_at) * calls_per_second)
            refilled_at = now
            outcome = page_of(engines, call.after_key) if tokens >= 1 else CallFailed("429", False)
            tokens -= tokens >= 1
            if list_reader.on_answer(now + 0.01, call.call, outcome) is not None:
                listed_at[number] = now
        heapq.heappush(due, (max(list_reader.next_due(), now + 0.01), number))
    assert pages >= 1
    return listed_at


def test_every_daemon_of_a_large_fleet_reads_a_whole_list_within_seconds() -> None:
    """Guards against daemons that never read the whole list in a large fleet.

    A simulated day with 300 machines and 3,000 engines served 0.41 of its requests. Each of 300
    daemons read six pages each 0.6 s, 3,000 calls a second at a store that takes 2,000, and started
    again at each failed page, so few daemons ever knew the engines. The minimum interval was
    computed for one page. In this model, more than one daemon in ten had no list of the last 8 s
    before readers were paced by the number of pages; now every daemon must have one.
    """
    paced = simulate_fleet(300, 3000, 2000.0, paced=True)
    assert all(at > 12.0 for at in paced)


def test_readers_paced_by_page_count_have_newer_lists_than_unpaced_ones() -> None:
    unpaced = simulate_fleet(300, 3000, 1000.0, paced=False)
    paced = simulate_fleet(300, 3000, 1000.0, paced=True)
    assert min(paced) > float("-inf")
    assert sum(at > 12.0 for at in paced) >= sum(at > 12.0 for at in unpaced)


def test_list_goes_on_behind_a_page_of_unreadable_rows() -> None:
    """Guards against a reading that ends there, by which all engines behind it are gone."""
    list_reader = reader()
    call = next_call(list_reader, 0.0)
    assert list_reader.on_answer(0.1, call.call, NewestPage((), True, 9, "00499")) is None
    call = next_call(list_reader, 0.1)
    assert call.after_key == "00499"
    rows = list_reader.on_answer(0.2, call.call, page_of(600, "00499"))
    assert rows is not None and len(rows) == 100


@pytest.mark.parametrize("key", ["", "a", "b"])
def test_page_that_leads_nowhere_is_a_failure(key: str) -> None:
    """Guards against a list that counts as complete, or is read without end."""
    list_reader = reader()
    for number, last in enumerate(["a", "b"]):
        call = next_call(list_reader, 0.1 * number)
        assert list_reader.on_answer(0.1 * number, call.call, NewestPage((), True, 9, last)) is None
    call = next_call(list_reader, 0.2)
    assert list_reader.on_answer(0.2, call.call, NewestPage((), True, 9, key)) is None
    assert list_reader.attempts.failures == 1
    assert list_reader.on_timer(0.2) == []
    assert next_call(list_reader, 2.0).after_key == "b"
