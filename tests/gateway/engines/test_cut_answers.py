"""An answer that is cut at any byte is lost, and never takes a part of the next one's place."""

from dataclasses import replace

import pytest

from tests.gateway.engines.scripted_engine import (
    SOUND_STATUSES,
    Player,
    make_answer,
    sound_answer,
)
from troutswitch.standins.unproved_answers import OTHER_ID_SUFFIX, EngineAnswer, WireAnswer

FRAMINGS = pytest.mark.parametrize("is_stream", [False, True], ids=["length", "chunks"])


def wire_bytes(answer: EngineAnswer, status: int) -> bytes:
    return b"".join(sound_answer(answer, status).parts)


@pytest.fixture
def player() -> Player:
    return Player()


@FRAMINGS
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("status", SOUND_STATUSES)
def test_answer_that_is_cut_at_any_byte_is_lost(
    player: Player, is_stream: bool, is_reset: bool, status: int
) -> None:
    size = len(wire_bytes(make_answer("a", 1, is_stream), status))
    for length in range(size):
        run = player.new_run("a", None, status, is_stream)
        data = wire_bytes(run.answer, status)[:length]
        run.wire = WireAnswer((data,), is_whole=False, keeps_connection=False, status=status)
        run.is_reset = is_reset
        player.has_surplus = True
        player.send(run)
        player.drop_connections()
    assert not player.answered


@FRAMINGS
@pytest.mark.parametrize("status", SOUND_STATUSES)
def test_answer_behind_a_cut_one_of_another_request_is_its_own_or_lost(
    player: Player, is_stream: bool, status: int
) -> None:
    """The other request's answer has another status, so that no mixture of both is right."""
    other_status = 500 if status == 200 else 200
    other = replace(make_answer("a", 0, is_stream), request_id="a" + OTHER_ID_SUFFIX)
    surplus = wire_bytes(other, other_status)
    for length in range(len(surplus) + 1):
        run = player.new_run("a", None, status, is_stream)
        parts = (surplus[:length] + b"".join(run.wire.parts),)
        run.wire = replace(run.wire, parts=parts, keeps_connection=False)
        player.has_surplus = True
        player.send(run)
        player.drop_connections()
    assert len(player.answered) >= 2  # behind nothing, and behind the whole answer
