"""The pace of work of one connection, on virtual time."""

import pytest

from troutswitch.runtime.work_pace import BURST_STEPS, MAX_PAUSE_SECONDS, WorkPace


class VirtualTime:
    """A clock that only sleeping moves, and the pauses that were made."""

    def __init__(self) -> None:
        self.now = 0.0
        self.pauses: list[float] = []

    def sleep(self, seconds: float) -> None:
        self.now += seconds
        self.pauses.append(seconds)

    def pace(self) -> WorkPace:
        return WorkPace(lambda: self.now, self.sleep)


def test_single_bytes_are_read_at_a_bounded_rate() -> None:
    """Guards against a peer that costs a processor by sending one byte at a time."""
    time = VirtualTime()
    pace = time.pace()
    for _ in range(1000):
        pace.pause()
        pace.spend_read(1)
    assert time.now > 7.0


@pytest.mark.parametrize("lines", [2_000, 20_000])
def test_short_lines_are_read_at_a_bounded_rate(lines: int) -> None:
    """Guards against a peer whose bytes are cheap to send and costly to decode."""
    time = VirtualTime()
    pace = time.pace()
    for _ in range(50):
        pace.pause()
        pace.spend_read(1 << 16)
        pace.spend(lines)
    assert time.now > 50 * min(MAX_PAUSE_SECONDS, (lines - 600) / 2000) - 1.0


def test_stream_of_100_events_a_second_is_read_without_a_pause() -> None:
    time = VirtualTime()
    pace = time.pace()
    for _ in range(3000):
        time.now += 0.01
        pace.pause()
        pace.spend_read(60)
        pace.spend(2)
    assert time.pauses == []


@pytest.mark.parametrize("chunk", [256, 4096, 1 << 16])
def test_large_answer_in_chunks_is_read_without_a_pause(chunk: int) -> None:
    time = VirtualTime()
    pace = time.pace()
    for _ in range((8 << 20) // (1 << 16)):
        pace.pause()
        pace.spend_read(1 << 16)
        pace.spend(2 * (1 << 16) // chunk)
    assert time.pauses == []


def test_pauses_are_short_and_end_when_the_peer_sends_slowly_again() -> None:
    """Guards against a thread that does not notice that it is to stop."""
    time = VirtualTime()
    pace = time.pace()
    pace.spend(int(BURST_STEPS) + 1_000_000)
    pace.pause()
    pace.pause()
    assert time.pauses == [MAX_PAUSE_SECONDS]
