"""Late, repeated and reordered pieces are reassembled into one answer."""

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from troutswitch.standalone.engines.assembler import AnswerAssembler, UnexpectedStreamId
from troutswitch.standalone.engines.protocol import Piece


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.integers(1, 8).flatmap(lambda n: st.tuples(st.just(n), st.lists(st.integers(0, n)))))
def test_pieces_in_any_order_and_repeated_give_the_answer_in_order(
    case: tuple[int, list[int]],
) -> None:
    length, order = case
    assembler = AnswerAssembler()
    released: list[str] = []
    for position in order:
        piece = (
            Piece("s", done=True, length=length)
            if position == length
            else Piece("s", position, f"t{position}")
        )
        released.append(assembler.accept([piece], "s"))
    seen = set(order)
    prefix = next((n for n in range(length) if n not in seen), length)
    assert "".join(released) == "".join(f"t{position}" for position in range(prefix))
    assert assembler.is_complete == (prefix == length and length in seen)


def test_a_piece_of_another_stream_is_refused() -> None:
    with pytest.raises(UnexpectedStreamId):
        AnswerAssembler().accept([Piece("other", 0, "x")], "mine")


def test_a_new_attempt_drops_unreleased_pieces_and_keeps_the_position() -> None:
    assembler = AnswerAssembler()
    assembler.accept([Piece("a", 0, "x")], "a")
    assembler.accept([Piece("a", 2, "stale")], "a")
    assembler.start_attempt()
    assert assembler.accept([Piece("b", 1, "y")], "b") == "y"
    assert assembler.position == 2


@pytest.mark.parametrize("end", [Piece("s", done=True), Piece("s", done=True, length=1)])
def test_an_end_before_the_last_released_token_completes_no_answer(end: Piece) -> None:
    """Guards against a cut answer whose last piece has lost its length, which is then 0."""
    assembler = AnswerAssembler()
    pieces = [Piece("s", position, "x") for position in range(2)]
    assert assembler.accept([*pieces, end], "s") == "xx"
    assert not assembler.is_complete


def test_no_piece_is_released_with_one_of_another_stream() -> None:
    """Guards against an answer that goes on after a token which nobody got."""
    assembler = AnswerAssembler()
    with pytest.raises(UnexpectedStreamId):
        assembler.accept([Piece("mine", 0, "x"), Piece("other", 1, "y")], "mine")
    assert assembler.position == 0
