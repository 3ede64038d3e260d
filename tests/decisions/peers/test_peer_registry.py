"""The peer registry: its reads and writes, its encoding and the use of shared run times."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.forwarding.harness import ForwardingHarness, arrival
from troutswitch.common import Address
from troutswitch.decisions.forwarding.learned_times import BatchRunTimes, LearnedTimes
from troutswitch.decisions.forwarding.messages import AnswerBegun, FinishRequest, SendRequest
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.peers.peer_registry import (
    INITIAL_READ_INTERVAL_SECONDS,
    MAX_READ_AGE_SECONDS,
    MIN_LEARNED_TIMES_INTERVAL_SECONDS,
    WRITE_RETRY_PAUSE_SECONDS,
    PeerRegistry,
    PeerRegistryEntry,
    decode_entry,
    encode_entry,
)
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    KeyedRecord,
    NewestPage,
    ReadNewest,
    StoreCall,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.outcomes import AttemptOutcome

ADDRESS = Address("10.0.0.1", 7)
KNOWN = LearnedTimes({"s": (60, 640)}, {"r": 5000})
NAMES = st.text(max_size=8)
MILLISECONDS = st.integers(0, 100_000)
LEARNED_TIMES = st.builds(
    LearnedTimes,
    st.dictionaries(NAMES, st.tuples(MILLISECONDS, MILLISECONDS), max_size=5),
    st.dictionaries(NAMES, MILLISECONDS, max_size=5),
    st.none() | st.builds(BatchRunTimes, MILLISECONDS, MILLISECONDS, st.integers(0, 100)),
)
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=60)


class RegistryHarness:
    """A registry, the calls that it makes to the store, and the entries that it applied."""

    def __init__(self) -> None:
        self.learned_times = LearnedTimes()
        self.applied: list[PeerRegistryEntry] = []
        self.malformed = 0
        self.peer_registry = PeerRegistry(
            lambda: PeerRegistryEntry("me", ADDRESS, "z", self.learned_times),
            lambda: 8,
            CallNumbers(),
            lambda now, entry: self.applied.append(entry),
            self._log,
        )

    def _log(self, event: str, **fields: object) -> None:
        self.malformed += 1

    def next_read(self, now: float) -> ReadNewest | None:
        return next((c for c in self.calls(now) if isinstance(c, ReadNewest)), None)

    def next_write(self, now: float) -> AppendRecords | None:
        return next((c for c in self.calls(now) if isinstance(c, AppendRecords)), None)

    def calls(self, now: float) -> list[StoreCall]:
        return self.peer_registry.on_timer(now)

    def answer(self, now: float, call: StoreCall, *records: KeyedRecord) -> None:
        assert self.peer_registry.owns(call.call)
        outcome = NewestPage(records, False, 1) if isinstance(call, ReadNewest) else Appended(0, 1)
        self.peer_registry.on_answer(now, call.call, outcome)


def test_registry_is_read_before_the_own_entry_is_replaced() -> None:
    registry = RegistryHarness()
    first = registry.calls(0.0)
    assert [type(call) for call in first] == [ReadNewest]
    earlier = KeyedRecord("me", encode_entry(PeerRegistryEntry("me", ADDRESS, "z", KNOWN)))
    registry.answer(
        0.1, first[0], earlier, KeyedRecord("bad", b"\xff"), KeyedRecord("odd", b"\x01")
    )
    assert [entry.learned_times for entry in registry.applied] == [KNOWN]
    assert registry.malformed == 2
    registry.learned_times = registry.applied[0].learned_times
    written = registry.next_write(0.1)
    assert written is not None
    assert decode_entry(written.records[0]).learned_times == KNOWN


def test_entry_is_written_even_if_the_read_is_not_answered() -> None:
    registry = RegistryHarness()
    registry.calls(0.0)
    assert registry.next_write(INITIAL_READ_INTERVAL_SECONDS / 2) is None
    written = registry.next_write(INITIAL_READ_INTERVAL_SECONDS)
    assert written is not None
    registry.peer_registry.on_answer(2.0, written.call, CallFailed("down", True))
    assert registry.next_write(2.0 + WRITE_RETRY_PAUSE_SECONDS) is not None


def test_daemon_that_starts_during_a_store_outage_reads_the_registry_soon_after_it() -> None:
    """Guards against a daemon that knows no peer for ten seconds after a store outage."""
    registry = RegistryHarness()
    for second in range(5):
        read = registry.next_read(float(second))
        assert read is not None
        registry.peer_registry.on_answer(float(second), read.call, CallFailed("down", False))
    read = registry.next_read(4.0 + INITIAL_READ_INTERVAL_SECONDS)
    assert read is not None
    registry.answer(5.0, read)
    assert registry.next_read(5.0 + INITIAL_READ_INTERVAL_SECONDS) is not None


def test_entry_is_written_again_only_if_changed_and_after_the_minimum_interval() -> None:
    registry = RegistryHarness()
    read = registry.next_read(0.0)
    assert read is not None
    registry.answer(0.0, read)
    written = registry.next_write(0.0)
    assert written is not None
    registry.answer(0.1, written)
    registry.learned_times = KNOWN
    assert registry.next_write(MIN_LEARNED_TIMES_INTERVAL_SECONDS / 2) is None
    written = registry.next_write(0.1 + MIN_LEARNED_TIMES_INTERVAL_SECONDS)
    assert written is not None
    registry.answer(7.0, written)
    registry.learned_times = LearnedTimes({"s": (65, 660)}, {"r": 5000})
    assert registry.next_write(7.0 + MIN_LEARNED_TIMES_INTERVAL_SECONDS) is None


@DETERMINISTIC
@given(LEARNED_TIMES)
def test_decoded_entry_equals_the_encoded_one(learned_times: LearnedTimes) -> None:
    entry = PeerRegistryEntry("me", ADDRESS, "z", learned_times)
    assert decode_entry(KeyedRecord("me", encode_entry(entry))) == entry
    assert learned_times.is_similar_to(learned_times)


# Use of the shared run times.


def busy_harness(learned_times: LearnedTimes | None) -> ForwardingHarness:
    """Returns a harness whose only engine was sent 40 requests since the daemon started."""
    harness = ForwardingHarness(engines=1)
    harness.requests = ForwardedRequests(
        "z", harness.routes, harness.engines, random.Random(1), "prefix_aware", "defer_late"
    )
    if learned_times is not None:
        harness.requests.merge(learned_times)
    for token in range(40):
        harness.requests.on_arrived(1.0, arrival(token, time_left=3.0))
    return harness


def test_daemon_with_shared_learned_times_defers_late_requests_but_not_retried_ones() -> None:
    harness = busy_harness(KNOWN)
    assert isinstance(harness.arrive(1.0, arrival(90, time_left=5.0)), FinishRequest)
    assert isinstance(harness.arrive(1.0, arrival(91, time_left=3.0)), SendRequest)


def test_daemon_without_learned_times_defers_no_request() -> None:
    harness = busy_harness(None)
    assert isinstance(harness.arrive(1.0, arrival(90, time_left=5.0)), SendRequest)


def test_own_run_times_take_precedence_over_shared_ones() -> None:
    harness = ForwardingHarness(engines=1)
    sent = harness.arrive(0.0, arrival(1, time_left=5.0))
    assert isinstance(sent, SendRequest)
    harness.requests.on_answer_begun(0.1, AnswerBegun(1, sent.attempt, None))
    harness.end(1.0, sent, AttemptOutcome.COMPLETED, delivered=31)
    harness.requests.merge(KNOWN)
    assert harness.requests.learned_times().times["s"] == (100, 1000)


def test_registry_is_current_after_two_reads_until_they_are_old() -> None:
    """Daemons that start together read an empty registry first, and would count as one daemon."""
    harness = RegistryHarness()
    now = 0.0
    for expected in (False, True):
        read = harness.next_read(now)
        assert read is not None
        harness.peer_registry.on_answer(now, read.call, NewestPage((), False, 0))
        assert harness.peer_registry.is_current(now) == expected
        now += INITIAL_READ_INTERVAL_SECONDS
    last_read_at = now - INITIAL_READ_INTERVAL_SECONDS
    assert harness.peer_registry.is_current(last_read_at + MAX_READ_AGE_SECONDS)
    assert not harness.peer_registry.is_current(last_read_at + MAX_READ_AGE_SECONDS + 0.1)
