import pytest

from troutswitch.gateway.memory.account import MemoryAccount
from troutswitch.gateway.memory.answer_buffer import (
    MAX_COMPLETE_ANSWER_BYTES,
    USUAL_ANSWER_BYTES,
    AnswerBuffer,
    AnswerTooLong,
)
from troutswitch.gateway.memory.limits import LARGE_ANSWERS_BYTES, MemoryLimits
from troutswitch.gateway.memory.pressure import Kind

PART = b"x" * (1 << 16)


def fill(buffer: AnswerBuffer, size: int) -> None:
    for _ in range(size // len(PART)):
        buffer.append(PART)


def test_answer_is_returned_whole_and_counted_until_its_release() -> None:
    account = MemoryAccount()
    buffer = AnswerBuffer(account)
    for part in (b"a", b"", b"bc"):
        buffer.append(part)
    assert buffer.take() == b"abc"
    assert account.held(Kind.ANSWERS) == 3
    buffer.release()
    buffer.release()
    assert account.held(Kind.ANSWERS) == 0


def test_answer_without_end_is_too_long() -> None:
    buffer = AnswerBuffer()
    fill(buffer, MAX_COMPLETE_ANSWER_BYTES)
    with pytest.raises(AnswerTooLong):
        buffer.append(b"x")


def test_answers_without_end_share_a_bounded_room() -> None:
    """Guards against many answers, none of them too long, that fill the memory together."""
    account = MemoryAccount()
    buffers = [AnswerBuffer(account) for _ in range(96)]
    for buffer in buffers:
        fill(buffer, USUAL_ANSWER_BYTES)
    refused = 0
    for buffer in buffers:
        try:
            fill(buffer, MAX_COMPLETE_ANSWER_BYTES - USUAL_ANSWER_BYTES)
        except AnswerTooLong:
            refused += 1
            buffer.release()
    assert 0 < refused < len(buffers)
    assert account.high_water <= 96 * USUAL_ANSWER_BYTES + LARGE_ANSWERS_BYTES


def test_answer_of_usual_size_finds_room_in_a_full_account() -> None:
    """Guards against an engine's answer that is lost because others are not read."""
    account = MemoryAccount(MemoryLimits(1, 1))
    buffer = AnswerBuffer(account)
    fill(buffer, USUAL_ANSWER_BYTES)
    assert len(buffer.take()) == USUAL_ANSWER_BYTES


def test_room_of_a_released_answer_is_free_for_another() -> None:
    account = MemoryAccount()
    for _ in range(LARGE_ANSWERS_BYTES // USUAL_ANSWER_BYTES):
        buffer = AnswerBuffer(account)
        fill(buffer, MAX_COMPLETE_ANSWER_BYTES)
        buffer.release()
