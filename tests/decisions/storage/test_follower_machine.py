"""State machine of a reader of a partition, against the model of the store.

Other writers append, remove and drop history; this process appends too and is fenced; answers are
late, lost or doubled, pages hold one to three records and reads end between the records of one
append. After each step the view is compared with the store's history.
"""

import random
from dataclasses import dataclass, field, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from troutswitch.decisions.storage.follower import PartitionFollower
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    CallFailed,
    KeyedRecord,
    Partition,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decisions.storage.refresh import Refresher
from troutswitch.standins.keyed_store import KeyedStoreModel, ReadLimits

PARTITION = Partition("items")
KEYS = st.sampled_from("abcdef")
RECORDS = st.lists(st.tuples(KEYS, st.booleans()), min_size=1, max_size=4)
"""Keys of one append, and whether each is removed."""
CHOICES = st.integers(0, 100)


@dataclass
class Call:
    """A call to the store: not executed, executed with an answer on its way, or answered."""

    call: StoreCall
    outcome: StoreOutcome | None = None


@dataclass
class Process:
    """The reader, with the values and the calls that it has."""

    is_tailing: bool
    values: dict[str, bytes] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    answered: list[Call] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.numbers = CallNumbers()
        self.follower = PartitionFollower(
            PARTITION,
            self.numbers,
            random.Random(1),
            self.apply,
            1.0 if self.is_tailing else 0.0,
            0.2,
            self.is_tailing,
        )
        self.refresher = Refresher(self.follower, self.numbers)
        self.appends: dict[int, tuple[KeyedRecord, ...]] = {}
        self.fences: set[int] = set()
        self.applied: list[KeyedRecord] = []

    def apply(self, record: KeyedRecord) -> None:
        self.applied.append(record)
        self.values[record.key] = record.value

    def on_timer(self, now: float) -> None:
        due = self.follower.on_timer(now) + self.refresher.on_timer(now)
        self.calls += [Call(call) for call in due]

    def append(self, records: tuple[KeyedRecord, ...]) -> None:
        call = AppendRecords(self.numbers.next(), PARTITION, records)
        self.appends[call.call] = records
        self.calls.append(Call(call))

    def fence(self) -> None:
        call = AppendRecords(self.numbers.next(), PARTITION, ())
        self.fences.add(call.call)
        self.calls.append(Call(call))

    def on_answer(self, now: float, answered: Call) -> None:
        """Handles an answer as the daemon does: each call has at most one outcome."""
        call, outcome = answered.call.call, answered.outcome
        assert outcome is not None
        if call in self.appends and isinstance(outcome, Appended):
            self.follower.apply_appended(self.appends.pop(call), outcome)
        elif call in self.fences and isinstance(outcome, Appended):
            self.fences.remove(call)
            self.follower.read_to(now, outcome.end)
        elif self.follower.owns(call):
            self.follower.on_answer(now, call, outcome)
        elif self.refresher.owns(call):
            self.calls += [Call(c) for c in self.refresher.on_answer(now, outcome)]


class FollowerMachine(RuleBasedStateMachine):
    """One reader of a partition that others write, too."""

    @initialize(
        page_records=st.integers(1, 3), read_bytes=st.integers(1, 60), is_tailing=st.booleans()
    )
    def start(self, page_records: int, read_bytes: int, is_tailing: bool) -> None:
        limits = ReadLimits(page_records, 1_000_000, read_bytes)
        self.store = KeyedStoreModel(1, limits)
        self.log = self.store.log(PARTITION)
        self.history: list[KeyedRecord] = []
        self.now = 0.0
        self.ends: list[tuple[float, int]] = [(0.0, 0)]
        """The end of the partition by time."""
        self.process = Process(is_tailing)
        self.checked = 0
        self.positions: dict[str, int] = {}
        """Position in the history of the last record that was applied of each key."""
        self.own_end = 0
        """End of the acknowledged records of the reader's process."""
        self.owned: dict[str, int] = {}
        self.served: list[tuple[int, int]] = []

    def step(self, seconds: float = 0.001) -> None:
        self.now += seconds
        for offset in range(len(self.history), self.log.end):
            self.history.append(self.log.records[offset - self.log.first_offset])
        self.ends.append((self.now, self.log.end))
        self.process.on_timer(self.now)

    # Other processes.

    @rule(rows=RECORDS, value=st.binary(min_size=1, max_size=2))
    def append(self, rows: list[tuple[str, bool]], value: bytes) -> None:
        self.log.append(tuple(KeyedRecord(key, b"" if gone else value) for key, gone in rows))
        self.step()

    @rule(count=st.integers(1, 6))
    def drop_history(self, count: int) -> None:
        self.log.drop_history(self.log.first_offset + count)
        self.step()

    # The reader's process.

    @rule(rows=RECORDS, value=st.binary(min_size=3, max_size=4))
    def append_own(self, rows: list[tuple[str, bool]], value: bytes) -> None:
        self.process.append(tuple(KeyedRecord(key, b"" if gone else value) for key, gone in rows))

    @rule()
    def fence(self) -> None:
        self.process.fence()

    @rule()
    def refresh(self) -> None:
        end = self.log.end

        def serve(now: float, succeeded: bool) -> None:
            if succeeded:
                self.served.append((end, self.process.follower.view.complete_to))

        self.process.refresher.refresh(serve)
        self.step()

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 5.0]))
    def wait(self, seconds: float) -> None:
        self.step(seconds)

    # Calls.

    def execute(self, call: Call) -> None:
        call.outcome = self.store.call(self.now, call.call)
        self.step()

    def deliver(self, call: Call) -> None:
        outcome = call.outcome
        if call.call.call in self.process.appends and isinstance(outcome, Appended):
            for offset, record in enumerate(
                self.process.appends[call.call.call], start=outcome.offset
            ):
                self.owned[record.key] = max(self.owned.get(record.key, -1), offset)
        self.process.on_answer(self.now, call)
        self.step()

    @precondition(lambda self: any(call.outcome is None for call in self.process.calls))
    @rule(choice=CHOICES, is_delivered=st.booleans())
    def execute_call(self, choice: int, is_delivered: bool) -> None:
        waiting = [call for call in self.process.calls if call.outcome is None]
        call = waiting[choice % len(waiting)]
        self.execute(call)
        if is_delivered:
            self.process.calls.remove(call)
            self.process.answered.append(call)
            self.deliver(call)

    @precondition(lambda self: any(call.outcome is not None for call in self.process.calls))
    @rule(choice=CHOICES)
    def deliver_answer(self, choice: int) -> None:
        on_their_way = [call for call in self.process.calls if call.outcome is not None]
        call = on_their_way[choice % len(on_their_way)]
        self.process.calls.remove(call)
        self.process.answered.append(call)
        self.deliver(call)

    @precondition(lambda self: self.process.answered)
    @rule(choice=CHOICES)
    def deliver_again(self, choice: int) -> None:
        self.deliver(self.process.answered[choice % len(self.process.answered)])

    @precondition(lambda self: self.process.calls)
    @rule(choice=CHOICES)
    def lose_answer(self, choice: int) -> None:
        call = self.process.calls.pop(choice % len(self.process.calls))
        self.deliver(replace(call, outcome=CallFailed("lost", True)))

    # What holds after each step.

    def value_at(self, key: str, end: int) -> bytes:
        """Returns the value that a key had before an offset; empty if it had none."""
        records = (record for record in reversed(self.history[:end]) if record.key == key)
        return next((record.value for record in records), b"")

    @invariant()
    def view_is_a_state_of_the_partition(self) -> None:
        view = self.process.follower.view
        if not view.is_read:
            return
        for key in "abcdef":
            end = max(view.complete_to, self.owned.get(key, -1) + 1)
            assert self.process.values.get(key, b"") == self.value_at(key, end), (key, end)

    @invariant()
    def no_key_goes_back_to_an_older_record(self) -> None:
        for record in self.process.applied[self.checked :]:
            last = self.positions.get(record.key, -1)
            position = record.offset if record.offset >= 0 else self._removal_after(record, last)
            assert position > last, (record, last)
            found = self.history[position]
            assert (found.key, found.value) == (record.key, record.value)
            self.positions[record.key] = position
        self.checked = len(self.process.applied)

    def _removal_after(self, removal: KeyedRecord, last: int) -> int:
        """Returns the position of the removal that was derived from a key's absence."""
        rows = range(last + 1, len(self.history))
        return next(
            (n for n in rows if replace(self.history[n], offset=-1) == removal),
            -1,
        )

    @invariant()
    def served_waiters_have_all_records_from_before_they_came(self) -> None:
        assert all(complete_to >= end for end, complete_to in self.served)

    @invariant()
    def records_are_reflected_up_to_the_stated_time(self) -> None:
        follower = self.process.follower
        ends = [end for at, end in self.ends if at < follower.current_at]
        assert follower.includes(ends[-1]) if ends else True

    def teardown(self) -> None:
        """Checks that the reader has all records once calls are answered again."""
        if not hasattr(self, "process"):
            return
        self._answer_calls()
        self.refresh()
        self._answer_calls()
        assert self.process.follower.includes(self.log.end)

    def _answer_calls(self) -> None:
        for _ in range(200):
            self.step(0.05)
            for call in list(self.process.calls):
                self.process.calls.remove(call)
                self.execute(call)
                self.deliver(call)
            self.view_is_a_state_of_the_partition()
            self.no_key_goes_back_to_an_older_record()


FollowerMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=60, deadline=None, derandomize=True
)
TestFollowerMachine = FollowerMachine.TestCase
