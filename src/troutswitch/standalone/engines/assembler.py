"""Reassembles the pieces of one answer in order, without duplicates, and detects its end."""

from troutswitch.standalone.engines.protocol import Piece


class UnexpectedStreamId(Exception):
    """A piece names another stream."""


class BrokenStream(Exception):
    """The engine ended the stream with an error; `released` is the text released before it."""

    def __init__(self, reason: str, released: str) -> None:
        super().__init__(reason)
        self.reason = reason
        self.released = released


class AnswerAssembler:
    """Collects pieces by position; pieces may arrive late, repeated or out of order.

    `position` is the number of tokens released in order. It increases across the
    attempts of one request.
    """

    def __init__(self, position: int = 0) -> None:
        self.position = position
        self.length: int | None = None
        self._out_of_order: dict[int, str] = {}

    def accept(self, pieces: list[Piece], stream_id: str) -> str:
        """Adds pieces and returns the text that can be released now, in order.

        Raises:
            UnexpectedStreamId: a piece names another stream; none was added.
            BrokenStream: the engine ended the stream with an error.
        """
        for piece in pieces:  # before any is released: the answer goes on after what was
            if piece.stream_id != stream_id:
                raise UnexpectedStreamId(f"piece of {piece.stream_id} on stream {stream_id}")
        released: list[str] = []
        for piece in pieces:
            if piece.error:
                raise BrokenStream(piece.error, "".join(released))
            if piece.done:
                self.length = piece.length
            elif piece.position == self.position:
                released.append(piece.text)
                self.position += 1
                if self._out_of_order:
                    self._release_contiguous(released)
            elif piece.position > self.position:
                self._out_of_order.setdefault(piece.position, piece.text)
        return "".join(released)

    def _release_contiguous(self, released: list[str]) -> None:
        while (text := self._out_of_order.pop(self.position, None)) is not None:
            released.append(text)
            self.position += 1

    @property
    def is_complete(self) -> bool:
        """Whether the end is known and exactly the tokens before it were released."""
        return self.position == self.length

    def start_attempt(self) -> None:
        """Drops pieces of an earlier attempt that were not yet released."""
        self._out_of_order.clear()
        self.length = None
