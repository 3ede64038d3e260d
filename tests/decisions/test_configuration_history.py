"""A malformed newest configuration does not hide the sound one before it."""

import random

import pytest

from tests.simulation.fleet import SimulatedFleet
from troutswitch.decisions.configuration_history import ConfigurationHistory
from troutswitch.decisions.storage.messages import (
    CallFailed,
    HistoryGone,
    KeyedRecord,
    Partition,
    ReadRecords,
    RecordsRead,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers

TOPIC = Partition("configuration")
END = 6


class Reading:
    """A reading of a topic with `END` records before the malformed one."""

    def __init__(self) -> None:
        self.applied: list[int] = []
        self.now = 10.0
        self.history = ConfigurationHistory(
            TOPIC,
            CallNumbers(),
            random.Random(1),
            lambda record: self.applied.append(record.offset),
        )
        self.history.read_up_to(self.now, END)

    def read(self) -> ReadRecords:
        self.now = max(self.now, self.history.next_due())
        (call,) = self.history.on_timer(self.now)
        assert isinstance(call, ReadRecords)
        assert self.history.owns(call.call)
        return call

    def answer(self, outcome: StoreOutcome) -> int:
        """Answers the next read; returns its offset."""
        call = self.read()
        self.history.on_answer(self.now, call.call, outcome)
        return call.offset


def records(first: int, last: int) -> RecordsRead:
    rows = tuple(KeyedRecord("config", b"x", offset) for offset in range(first, last))
    return RecordsRead(rows, last, 9)


def test_records_are_read_in_parts_up_to_the_malformed_one() -> None:
    reading = Reading()
    assert [reading.answer(records(0, 4)), reading.answer(records(4, 9))] == [0, 4]
    assert reading.applied == list(range(END))
    assert not reading.history.is_reading
    assert reading.history.next_due() == float("inf")


def test_reading_goes_on_at_the_first_record_that_is_kept() -> None:
    reading = Reading()
    assert [reading.answer(HistoryGone(3)), reading.answer(records(3, 7))] == [0, 3]
    assert reading.applied == [3, 4, 5]


def test_reading_ends_if_no_record_is_kept() -> None:
    reading = Reading()
    reading.answer(HistoryGone(END))
    assert not reading.history.is_reading


@pytest.mark.parametrize(
    "outcome", [CallFailed("down", False), RecordsRead((), 0, 9), HistoryGone(0)]
)
def test_read_that_brings_nothing_is_repeated_after_a_pause(outcome: StoreOutcome) -> None:
    reading = Reading()
    reading.answer(outcome)
    assert reading.history.on_timer(reading.now) == []
    assert reading.history.next_due() > reading.now
    assert reading.answer(records(0, END)) == 0
    assert reading.applied == list(range(END))


def test_malformed_record_that_was_passed_is_not_read_up_to_again() -> None:
    reading = Reading()
    reading.answer(records(0, END))
    reading.history.read_up_to(reading.now, END)
    assert not reading.history.is_reading


def write_configuration(fleet: SimulatedFleet, value: bytes) -> None:
    fleet.store.log(TOPIC).append((KeyedRecord("configuration", value),))


def test_daemons_that_start_beside_a_malformed_newest_record_use_the_sound_one() -> None:
    """Guards against a fleet that never serves again after all its daemons have started anew."""
    fleet = SimulatedFleet(1)
    fleet.publish(2)
    write_configuration(fleet, b"odd")
    fleet.run(2.0)
    assert [daemon.core.routes.version for daemon in fleet.daemons.values()] == [2] * 4
    assert all(daemon.core.is_ready for daemon in fleet.daemons.values())
    fleet.publish(3)
    fleet.run(2.0)
    assert [daemon.core.routes.version for daemon in fleet.daemons.values()] == [3] * 4


def test_daemon_that_starts_after_the_sound_record_was_dropped_asks_peers() -> None:
    fleet = SimulatedFleet(1)
    fleet.run(2.0)
    write_configuration(fleet, b"odd")
    fleet.store.log(TOPIC).drop_history(fleet.store.log(TOPIC).end - 1)
    fleet.run(1.0)
    fleet.kill("daemon-0")
    fleet.run(6.0)
    restarted = fleet.daemons["daemon-0"]
    assert restarted.incarnation == 1
    assert restarted.core.is_ready
