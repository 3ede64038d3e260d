"""Puts the pieces of one answer in order, each once, and knows when it is whole."""

from troutswitch.engines.protocol import Piece


class ForeignPiece(Exception):
    """A piece that belongs to another request."""


class AnswerAssembler:
    """Collects pieces by position; pieces may come late, repeated or out of order.

    `position` is the number of tokens released in order. It grows over several
    attempts at the same request.
    """

    def __init__(self) -> None:
        self.position = 0
        self.length: int | None = None
        self._ahead: dict[int, str] = {}

    def accept(self, piece: Piece, stream_id: str) -> list[str]:
        """Takes a piece and returns the texts that can be released now, in order.

        Raises:
            ForeignPiece: the piece names another stream.
        """
        if piece.stream_id != stream_id:
            raise ForeignPiece(f"piece of {piece.stream_id} on stream {stream_id}")
        if piece.done:
            self.length = piece.length
            return []
        if piece.position >= self.position:
            self._ahead.setdefault(piece.position, piece.text)
        released = []
        while (text := self._ahead.pop(self.position, None)) is not None:
            released.append(text)
            self.position += 1
        return released

    @property
    def is_whole(self) -> bool:
        """Whether the end is known and everything before it was released."""
        return self.length is not None and self.position >= self.length

    def start_attempt(self) -> None:
        """Forgets what an earlier attempt left behind beyond the released tokens."""
        self._ahead.clear()
        self.length = None
