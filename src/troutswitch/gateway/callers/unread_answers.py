"""Answers that callers have not received: the state of a connection, and their sum.

waitress takes an answer into its buffers long before a caller that reads slowly has it. A planned
stop waits for these callers, each until the end of its own time limit.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnreadAnswer:
    """An answer that is not received, or a request that is not answered, on one connection.

    `size` is the number of bytes that the caller has not received, as far as the answer has been
    written. `due_at` is the end of the caller's time limit, in seconds of the process's clock.
    """

    request_id: str
    size: int
    due_at: float


@dataclass(frozen=True, slots=True)
class UnreadAnswers:
    """The answers that callers of one listener have not received."""

    answers: tuple[UnreadAnswer, ...] = ()

    @property
    def size(self) -> int:
        """Bytes that callers have not received."""
        return sum(answer.size for answer in self.answers)

    def expected_at(self, now: float) -> "UnreadAnswers":
        """Returns those whose callers still wait."""
        return UnreadAnswers(tuple(answer for answer in self.answers if now < answer.due_at))
