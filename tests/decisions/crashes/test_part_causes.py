"""Which parts of prompts are refused, and which are suspects."""

from troutswitch.decisions.crashes.causes import MAX_DEFERRAL_SECONDS, RequestCauses
from troutswitch.decisions.crashes.content import is_part_key, part_key, part_keys
from troutswitch.decisions.crashes.messages import Crash
from troutswitch.decisions.crashes.part_causes import (
    PART_REFUSAL_SECONDS,
    PartCauses,
)
from troutswitch.decisions.crashes.part_suspects import (
    ANNOUNCEMENT_DELAY_SECONDS,
    PENDING_SECONDS,
    SERVED_SECONDS,
    UNEXPLAINED_CRASHES_TO_ANNOUNCE,
    PartSuspects,
)
from troutswitch.decisions.crashes.record import CrashRecord
from troutswitch.decisions.forwarding.types import PromptPart, PromptShape

NOW = 1.7e9
ENOUGH = UNEXPLAINED_CRASHES_TO_ANNOUNCE


def record_of(**engines: str) -> CrashRecord:
    """Returns a record of parts, each with the letters of its crashed engines."""
    record = CrashRecord(PartCauses())
    for part, letters in engines.items():
        for letter in letters:
            record.add(NOW, Crash(part, letter), NOW)
    return record


def test_part_is_refused_after_five_crashes_but_not_after_four() -> None:
    assert record_of(x="abcd").refused == frozenset()
    assert record_of(x="abcde").refused == {"x"}


def test_parts_beside_the_cause_are_not_refused() -> None:
    assert record_of(cause="abcdefgh", beside="abcdef", rare="gh").refused == {"cause"}


def test_two_causes_are_both_refused() -> None:
    record = record_of(one="abcdefgh", two="hijklm", beside="abhij")
    assert record.refused == {"one", "two"}


def test_no_part_is_deferred() -> None:
    record = record_of(one="abcde", two="abcde")
    assert len(record.refused) == 1
    assert record.deferred == frozenset()
    assert record.next_deferral_end() == float("inf")


def test_refusal_of_a_part_ends() -> None:
    record = record_of(x="abcde")
    record.expire(NOW + PART_REFUSAL_SECONDS + 1.0)
    assert record.refused == frozenset()


def test_last_part_of_a_prompt_has_no_key() -> None:
    parts = tuple(PromptPart(name, 10) for name in ("a", "b", "own"))
    assert part_keys(PromptShape(30, 1, parts)) == (part_key("a"), part_key("b"))
    assert part_keys(PromptShape()) == ()
    assert is_part_key(part_key("a"))
    assert not is_part_key("0123456789abcdef")


def crash_engines(suspects: PartSuspects, now: float, count: int, *parts: str) -> None:
    """Crashes some engines, each under one request of this daemon."""
    for number in range(count):
        suspects.on_lost(now, parts, f"engine-{now}-{number}")
        suspects.on_crashed(now, f"engine-{now}-{number}")


def announced(suspects: PartSuspects, now: float, unexplained: int = ENOUGH) -> list[Crash]:
    return list(suspects.take_announced(now, unexplained))


def test_suspects_are_announced_after_a_while_once_enough_crashes_are_unexplained() -> None:
    suspects = PartSuspects()
    crash_engines(suspects, 1.0, 2, "x")
    due = 1.0 + ANNOUNCEMENT_DELAY_SECONDS
    assert suspects.next_due() == due
    assert announced(suspects, due - 0.1) == []
    assert announced(suspects, due, ENOUGH - 1) == []
    assert len(announced(suspects, due)) == 2
    assert suspects.next_due() == float("inf")


def test_suspects_wait_for_further_crashes_and_are_dropped_in_the_end() -> None:
    suspects = PartSuspects()
    crash_engines(suspects, 1.0, 1, "x")
    assert announced(suspects, 300.0, 1) == []
    crash_engines(suspects, 301.0, 1, "x")
    assert len(announced(suspects, 303.0)) == 2
    crash_engines(suspects, 400.0, 1, "x")
    assert announced(suspects, 400.0 + PENDING_SECONDS) == []
    assert suspects.next_due() == float("inf")


def test_part_that_was_completed_recently_is_no_suspect() -> None:
    suspects = PartSuspects()
    suspects.on_served(1.0, ["x"])
    crash_engines(suspects, 2.0, 2, "x", "y")
    found = announced(suspects, 2.0 + ANNOUNCEMENT_DELAY_SECONDS)
    assert {crash.content for crash in found} == {"y"}
    assert suspects.was_served(1.0 + SERVED_SECONDS - 0.1, "x")
    assert not suspects.was_served(1.0 + SERVED_SECONDS, "x")


def test_part_that_completes_after_the_crash_is_no_suspect() -> None:
    suspects = PartSuspects()
    crash_engines(suspects, 2.0, 2, "x")
    suspects.on_served(2.5, ["x"])
    assert announced(suspects, 100.0) == []


def test_engine_that_lives_has_no_suspects() -> None:
    suspects = PartSuspects()
    crash_engines(suspects, 1.0, 2, "x")
    suspects.on_alive("engine-1.0-0")
    found = announced(suspects, 3.0)
    assert [crash.engine_id for crash in found] == ["engine-1.0-1"]


def test_record_counts_the_engines_of_requests_that_were_not_completed() -> None:
    record = CrashRecord(RequestCauses(MAX_DEFERRAL_SECONDS))
    for content, letter in (("x", "a"), ("y", "a"), ("x", "b"), ("z", "c")):
        record.add(NOW, Crash(content, letter), NOW)
    assert record.engine_count(NOW - 1.0) == 3
    assert record.engine_count(NOW) == 0
    record.remove(NOW, Crash("z", "c"))
    assert record.engine_count(NOW - 1.0) == 2
