"""Holds one complete answer while it is read, within bounds for the answer and for all answers.

An answer of usual size always finds room: an engine has worked for it, and its connection must not
be left unread. What answers have beyond that shares `LARGE_ANSWERS_BYTES` in the whole process, so
that answers without end can't fill the memory, whatever their number.
"""

from troutswitch.gateway.memory.account import Holding, MemoryAccount
from troutswitch.gateway.memory.limits import MEBIBYTE
from troutswitch.gateway.memory.pressure import Kind

MAX_COMPLETE_ANSWER_BYTES = 8 * MEBIBYTE
"""Largest complete answer that is forwarded: eight times the largest of the load."""
USUAL_ANSWER_BYTES = MEBIBYTE
"""Part of an answer for which there is always room: the largest answers of the load."""


class AnswerTooLong(Exception):
    """An answer is larger than any that is forwarded, or than the room for large answers."""


class AnswerBuffer:
    """The bytes of one answer that have arrived.

    Args:
        account: the account in which they are counted until `release`.
    """

    def __init__(self, account: MemoryAccount | None = None) -> None:
        self._account = account or MemoryAccount()
        self._holding = Holding(self._account, Kind.ANSWERS)
        self._parts: list[bytes] = []
        self._large_bytes = 0
        """What is reserved of the room for large answers."""

    def append(self, part: bytes) -> None:
        """Adds bytes.

        Raises:
            AnswerTooLong: they don't fit.
        """
        size = self._holding.size + len(part)
        if size > MAX_COMPLETE_ANSWER_BYTES:
            raise AnswerTooLong(f"the answer is longer than {MAX_COMPLETE_ANSWER_BYTES} bytes")
        self._reserve(max(0, size - USUAL_ANSWER_BYTES))
        self._parts.append(part)
        self._holding.resize(size)
        if self._account.is_full:
            self._account.relieve()

    def _reserve(self, large_bytes: int) -> None:
        change = large_bytes - self._large_bytes
        if change and not self._account.reserve_large(change):
            raise AnswerTooLong("there is no room for large answers")
        self._large_bytes = large_bytes

    def take(self) -> bytes:
        """Returns all bytes; they remain counted until `release`."""
        body = b"".join(self._parts)
        self._parts.clear()
        return body

    def release(self) -> None:
        """Ends the count; may be called repeatedly."""
        self._parts.clear()
        self._account.reserve_large(-self._large_bytes)
        self._large_bytes = 0
        self._holding.release()
