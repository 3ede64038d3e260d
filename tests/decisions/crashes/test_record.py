"""Which requests are refused by what is on record, whoever told it and in which order."""

import random
from itertools import permutations

from troutswitch.decisions.crashes.causes import (
    CONCLUSIVE_CRASHES,
    MAX_DEFERRAL_SECONDS,
    REFUSAL_SECONDS,
)
from troutswitch.decisions.crashes.messages import Crash
from troutswitch.decisions.crashes.record import (
    MAX_CONTENTS,
    MAX_CRASHES_PER_CONTENT,
    RETENTION_SECONDS,
    CrashRecord,
)

NOW = 1.7e9


def record_of(**engines: str) -> CrashRecord:
    """Returns a record; each request's engines are letters."""
    record = CrashRecord(MAX_DEFERRAL_SECONDS)
    for content, letters in engines.items():
        for letter in letters:
            record.add(NOW, Crash(content, letter), NOW)
    return record


def test_three_lives_refuse_a_request_and_two_do_not() -> None:
    assert record_of(x="ab").refused == frozenset()
    assert record_of(x="abc").refused == {"x"}


def test_one_life_told_by_many_counts_once() -> None:
    record = record_of(x="ab")
    for _ in range(5):
        assert not record.add(NOW, Crash("x", "a"), NOW)
    assert record.crash_count("x") == 2


def test_a_request_that_was_beside_the_cause_is_not_refused() -> None:
    assert record_of(cause="abcd", beside="abc", once="a").refused == {"cause"}


def test_two_with_the_same_three_crashes_are_told_apart_by_a_fourth() -> None:
    assert record_of(cause="abc", beside="abc").refused == frozenset()
    assert record_of(cause="abcd", beside="abc").refused == {"cause"}
    assert record_of(cause="abcd", beside="abcd").refused == frozenset()
    assert record_of(cause="abcde", beside="abcd").refused == {"cause"}


def test_a_request_that_met_two_causes_is_not_refused() -> None:
    """With longer records counting first, this one was: two of its engines ended by one cause and
    one by the other, in four of eight worlds with two marked requests at the same moment."""
    assert record_of(one="abc", two="def", beside="bce").refused == {"one", "two"}


def test_two_causes_are_both_found() -> None:
    assert record_of(one="abcde", two="axyz", beside="abx").refused == {"one", "two"}


def test_a_request_that_always_meets_another_cause_is_refused_in_the_end() -> None:
    shared = "abcdefgh"[:CONCLUSIVE_CRASHES]
    assert record_of(one=shared + "z", two=shared).refused == {"one", "two"}


def test_a_crash_that_is_taken_back_frees_the_request_and_what_it_explained() -> None:
    record = record_of(cause="abcd", beside="abc")
    assert record.remove(NOW, Crash("cause", "d"))
    assert not record.remove(NOW, Crash("cause", "d"))
    assert record.refused == frozenset()
    for letter in "abc":
        record.remove(NOW, Crash("cause", letter))
    assert record.refused == {"beside"}
    assert len(record) == 1


def test_the_order_of_tellings_changes_nothing() -> None:
    crashes = [Crash("x", "a"), Crash("x", "b"), Crash("x", "c"), Crash("y", "a"), Crash("y", "b")]
    for order in permutations(crashes):
        record = CrashRecord(MAX_DEFERRAL_SECONDS)
        for crash in order:
            record.add(NOW, crash, NOW)
        assert record.refused == {"x"}


def test_a_refusal_ends_and_one_more_crash_renews_it() -> None:
    record = record_of(x="abc")
    record.expire(NOW + REFUSAL_SECONDS)
    assert record.refused == frozenset()
    later = NOW + REFUSAL_SECONDS + 1.0
    record.add(later, Crash("x", "d"), later)
    assert record.refused == {"x"}


def test_renewal_goes_on_when_the_record_is_full() -> None:
    record = CrashRecord(MAX_DEFERRAL_SECONDS)
    for number in range(MAX_CRASHES_PER_CONTENT + 3):
        at = NOW + number
        record.add(at, Crash("x", f"s{number}"), at)
    assert record.crash_count("x") == MAX_CRASHES_PER_CONTENT
    assert record.last_crash_at("x") == NOW + MAX_CRASHES_PER_CONTENT + 2


def test_crashes_are_forgotten_after_their_time() -> None:
    record = record_of(x="abc")
    assert len(record.expire(NOW + RETENTION_SECONDS)) == 3
    assert len(record) == 0
    assert not record.add(NOW + RETENTION_SECONDS, Crash("x", "a"), NOW)


def test_a_clock_that_is_ahead_elsewhere_does_not_prolong_a_refusal() -> None:
    record = CrashRecord(MAX_DEFERRAL_SECONDS)
    for letter in "abc":
        record.add(NOW, Crash("x", letter), NOW + 1e6)
    assert record.last_crash_at("x") == NOW


def test_a_flood_of_different_requests_does_not_push_out_the_refused() -> None:
    record = record_of(x="abc", twice="ab")
    for number in range(MAX_CONTENTS + 500):
        record.add(NOW, Crash(f"flood-{number}", f"s{number % 50}"), NOW)
    assert len(record) == MAX_CONTENTS
    assert record.refused == {"x"}
    assert record.crash_count("twice") == 2


def test_what_is_noted_by_engine_follows_what_is_noted_by_request() -> None:
    """Random additions and removals, checked against a plain set."""
    drawn = random.Random(7)
    record, held = CrashRecord(MAX_DEFERRAL_SECONDS), set[Crash]()
    for _ in range(3000):
        crash = Crash(f"c{drawn.randrange(9)}", f"s{drawn.randrange(9)}")
        if drawn.random() < 0.6:
            assert record.add(NOW, crash, NOW) == (crash not in held)
            held.add(crash)
        else:
            assert record.remove(NOW, crash) == (crash in held)
            held.discard(crash)
        assert record.crashes_of_engine(crash.engine_id) == sorted(
            each for each in held if each.engine_id == crash.engine_id
        )
        assert record.crash_count(crash.content) == sum(e.content == crash.content for e in held)
