"""Answers that do not prove to be an engine's whole, signed answer to a run.

An answer counts as the engine's if it has the run's request id and the signature, is framed by one
length or by chunks, is complete, and is the first on its connection since the request was sent.
Each fault here leaves out one of these, or adds bytes that belong to no request. The functions
return bytes, and leave it to the caller to send them.
"""

import gzip
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from http import HTTPStatus

from troutswitch.platform import names

Rows = tuple[tuple[str, str], ...]
"""Headers of an answer, by name and value."""

OTHER_ID_SUFFIX = "-other"
"""Appended to a request's id for an answer that belongs to another request."""
EVENT_STREAM = "text/event-stream"
PLAIN_TEXT = "text/plain"
LAST_CHUNK = b"0\r\n\r\n"
_CHUNKED = ("Transfer-Encoding", "chunked")
_CLOSE = ("Connection", "close")


class AnswerFault(StrEnum):
    """What is wrong with an answer, or with what surrounds it."""

    REPEATED = "repeated"
    REPEATED_LATE = "repeated_late"
    FAILURE_REPEATED_LATE = "failure_repeated_late"
    FAILURE_THEN_SUCCESS = "failure_then_success"
    REFUSAL_REPEATED_LATE = "refusal_repeated_late"
    REFUSAL_WITH_200 = "refusal_with_200"
    REFUSAL_WITH_500 = "refusal_with_500"
    AFTER_ANOTHER = "after_another"
    AFTER_100 = "after_100"
    AFTER_103 = "after_103"
    UNSIGNED = "unsigned"
    EMPTY_STAMP = "empty_stamp"
    UNSIGNED_204 = "unsigned_204"
    UNSIGNED_206 = "unsigned_206"
    UNSIGNED_422 = "unsigned_422"
    UNSIGNED_FAILURE = "unsigned_failure"
    UNSIGNED_HALF_BY_LENGTH = "unsigned_half_by_length"
    UNSIGNED_HALF_OF_OTHER_TYPE = "unsigned_half_of_other_type"
    UNFRAMED = "unframed"
    UNFRAMED_HALF = "unframed_half"
    CUT_IN_HEAD = "cut_in_head"
    CUT_IN_CHUNK_SIZE = "cut_in_chunk_size"
    CUT_IN_CHUNK = "cut_in_chunk"
    CUT_BEFORE_LAST_CHUNK = "cut_before_last_chunk"
    CUT_BEFORE_FINAL_LINE = "cut_before_final_line"
    CUT_IN_LENGTH = "cut_in_length"
    LENGTH_WITH_LETTER = "length_with_letter"
    LENGTH_NEGATIVE = "length_negative"
    LENGTHS_DIFFER = "lengths_differ"
    LENGTH_AND_CHUNKS = "length_and_chunks"
    CODING_UNKNOWN = "coding_unknown"
    CHUNK_SIZE_NEGATIVE = "chunk_size_negative"
    CHUNK_LONGER_THAN_SIZE = "chunk_longer_than_size"
    ENCODED = "encoded"


REFUSALS = frozenset(
    {
        AnswerFault.REFUSAL_REPEATED_LATE,
        AnswerFault.REFUSAL_WITH_200,
        AnswerFault.REFUSAL_WITH_500,
    }
)
"""Faults of an engine that does not run the request."""
FAILURES = frozenset(
    {
        AnswerFault.FAILURE_REPEATED_LATE,
        AnswerFault.FAILURE_THEN_SUCCESS,
        AnswerFault.UNSIGNED_FAILURE,
    }
)
"""Faults of an engine whose run fails."""


@dataclass(frozen=True, slots=True)
class EngineAnswer:
    """The answer that an engine has for a run.

    `pieces` are the parts of the body in which it is sent: the events of a stream. `stamp` is the
    signature, None for an answer without one. `headers` are the others, without those of the body's
    type and framing.
    """

    request_id: str
    stamp: str | None
    pieces: tuple[bytes, ...]
    is_stream: bool
    headers: tuple[tuple[str, str], ...] = ()
    status: int = 200

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self.pieces)

    @property
    def half(self) -> tuple[bytes, ...]:
        """The first half of the pieces."""
        return self.pieces[: len(self.pieces) // 2]

    def header_rows(self) -> Rows:
        """Returns the headers without those of the framing."""
        rows = [*self.headers, (names.REQUEST_ID, self.request_id)]
        if self.stamp is not None:
            rows.append((names.RESPONSE_STAMP, self.stamp))
        return (*rows, ("Content-Type", EVENT_STREAM if self.is_stream else PLAIN_TEXT))


@dataclass(frozen=True, slots=True)
class WireAnswer:
    """What an engine sends for a request.

    Attributes:
        parts: sent one after another.
        late: sent on the same connection some time after the parts.
        is_whole: whether the parts hold the engine's answer, complete and provably so.
        keeps_connection: whether the engine goes on with the connection after the parts.
        status: status of the engine's answer.
    """

    parts: tuple[bytes, ...]
    late: bytes = b""
    is_whole: bool = True
    keeps_connection: bool = True
    status: int = 200


def head_bytes(status: int, rows: Rows, *more: tuple[str, str]) -> bytes:
    """Returns the head of an answer with the headers in `rows` and `more`."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in (*rows, *more)]
    return "\r\n".join([*lines, "", ""]).encode()


def chunk_bytes(piece: bytes) -> bytes:
    """Returns a piece of a body as a chunk."""
    return b"%x\r\n%s\r\n" % (len(piece), piece)


def genuine_parts(answer: EngineAnswer) -> tuple[bytes, ...]:
    """Returns an answer as a sound engine sends it."""
    if answer.is_stream:
        return (_head(answer, _CHUNKED), *map(chunk_bytes, answer.pieces), LAST_CHUNK)
    return (_head(answer, _length(answer.body)), answer.body)


def refusal_bytes(answer: EngineAnswer, status: int = 503) -> bytes:
    """Returns the refusal to run a request, which engines do not sign."""
    rows = (*answer.headers, (names.REQUEST_ID, answer.request_id), (names.NOT_EXECUTED, "1"))
    return head_bytes(status, rows, _length(b""))


def _head(answer: EngineAnswer, *more: tuple[str, str]) -> bytes:
    return head_bytes(answer.status, answer.header_rows(), *more)


def _length(body: bytes) -> tuple[str, str]:
    return ("Content-Length", str(len(body)))


def faulty_answer(fault: AnswerFault, answer: EngineAnswer) -> WireAnswer:
    """Returns what an engine sends that has `answer` for a run and is hit by a fault."""
    return _WRITERS[fault](answer)


def _failure(answer: EngineAnswer) -> EngineAnswer:
    """Returns the answer to the same run if it fails."""
    return replace(answer, pieces=(b"failed",), is_stream=False, status=500)


# Answers that are whole, and bytes that belong to no request.


def _repeated(answer: EngineAnswer) -> WireAnswer:
    *parts, last = genuine_parts(answer)
    return WireAnswer((*parts, last + b"".join((*parts, last))))


def _repeated_late(answer: EngineAnswer) -> WireAnswer:
    parts = genuine_parts(answer)
    return WireAnswer(parts, late=b"".join(parts))


def _failure_repeated_late(answer: EngineAnswer) -> WireAnswer:
    return replace(_repeated_late(_failure(answer)), status=500)


def _failure_then_success(answer: EngineAnswer) -> WireAnswer:
    failure = genuine_parts(_failure(answer))
    return WireAnswer(failure, late=b"".join(genuine_parts(answer)), status=500)


def _refusal_repeated_late(answer: EngineAnswer) -> WireAnswer:
    refusal = refusal_bytes(answer)
    return WireAnswer((refusal,), late=refusal, status=503)


def _refusal_with(status: int) -> "_Writer":
    def write(answer: EngineAnswer) -> WireAnswer:
        return WireAnswer((refusal_bytes(answer, status),), is_whole=False, status=503)

    return write


def _after_another(answer: EngineAnswer) -> WireAnswer:
    other = replace(answer, request_id=answer.request_id + OTHER_ID_SUFFIX)
    return WireAnswer((b"".join(genuine_parts(other)), *genuine_parts(answer)))


def _after_interim(status: int) -> "_Writer":
    """Returns the writer of answers after an interim head that carries the request id as well."""

    def write(answer: EngineAnswer) -> WireAnswer:
        interim = head_bytes(status, ((names.REQUEST_ID, answer.request_id),))
        return WireAnswer((interim, *genuine_parts(answer)))

    return write


# Answers without signature.


def _with_stamp(stamp: str | None) -> "_Writer":
    def write(answer: EngineAnswer) -> WireAnswer:
        return WireAnswer(genuine_parts(replace(answer, stamp=stamp)), is_whole=False)

    return write


def _unsigned_204(answer: EngineAnswer) -> WireAnswer:
    return WireAnswer((_head(replace(answer, stamp=None, status=204)),), is_whole=False)


def _unsigned_422(answer: EngineAnswer) -> WireAnswer:
    head = _head(replace(answer, stamp=None, status=422), _length(b"no"))
    return WireAnswer((head, b"no"), is_whole=False)


def _unsigned_failure(answer: EngineAnswer) -> WireAnswer:
    parts = genuine_parts(replace(_failure(answer), stamp=None))
    return WireAnswer(parts, is_whole=False, status=500)


def _unsigned_half(status: int) -> "_Writer":
    def write(answer: EngineAnswer) -> WireAnswer:
        half = b"".join(answer.half)
        head = _head(replace(answer, stamp=None, status=status), _length(half))
        return WireAnswer((head, half), is_whole=False)

    return write


def _unsigned_half_of_other_type(answer: EngineAnswer) -> WireAnswer:
    head = _head(replace(answer, stamp=None, is_stream=False), _CHUNKED)
    chunks = map(chunk_bytes, answer.half)
    return WireAnswer((head, *chunks, LAST_CHUNK), is_whole=False)


# Signed answers that are cut, or whose end can't be known.


def _ended(*parts: bytes) -> WireAnswer:
    return WireAnswer(parts, is_whole=False, keeps_connection=False)


def _unframed(answer: EngineAnswer) -> WireAnswer:
    return _ended(_head(answer, _CLOSE), *answer.pieces)


def _unframed_half(answer: EngineAnswer) -> WireAnswer:
    return _ended(_head(answer, _CLOSE), *answer.half)


def _cut_in_head(answer: EngineAnswer) -> WireAnswer:
    """Cuts a length with leading zeros, so that what remains of it is the length of no body."""
    return _ended(_head(answer, ("Content-Length", "00")).rstrip())


def _cut_in_chunk_size(answer: EngineAnswer) -> WireAnswer:
    """Cuts a size with leading zeros, so that what remains of it is the size of a last chunk."""
    return _ended(_head(answer, _CHUNKED), *map(chunk_bytes, answer.half), b"00")


def _cut_in_chunk(answer: EngineAnswer) -> WireAnswer:
    next_piece = answer.pieces[len(answer.half)] if answer.pieces else b"a piece"
    cut = chunk_bytes(next_piece)[: -len(next_piece) // 2 - 1]
    return _ended(_head(answer, _CHUNKED), *map(chunk_bytes, answer.half), cut)


def _cut_before_last_chunk(answer: EngineAnswer) -> WireAnswer:
    return _ended(_head(answer, _CHUNKED), *map(chunk_bytes, answer.pieces))


def _cut_before_final_line(answer: EngineAnswer) -> WireAnswer:
    return _ended(_head(answer, _CHUNKED), *map(chunk_bytes, answer.pieces), b"0\r\n")


def _half_with_lengths(*lengths: str) -> "_Writer":
    """Returns the writer of half a body; `{longer}` and `{half}` in a length are sizes of it."""

    def write(answer: EngineAnswer) -> WireAnswer:
        half = b"".join(answer.half)
        sizes = {"longer": len(answer.body) + 1, "half": len(half)}
        rows = [("Content-Length", length.format(**sizes)) for length in lengths]
        return _ended(_head(answer, *rows), half)

    return write


def _length_and_chunks(answer: EngineAnswer) -> WireAnswer:
    head = _head(answer, _CHUNKED, _length(answer.body))
    return _ended(head, *map(chunk_bytes, answer.half), LAST_CHUNK)


def _coding_unknown(answer: EngineAnswer) -> WireAnswer:
    return _ended(_head(answer, ("Transfer-Encoding", "chunked, x")), *answer.half)


def _chunk_size_negative(answer: EngineAnswer) -> WireAnswer:
    chunks = map(chunk_bytes, answer.half)
    return _ended(_head(answer, _CHUNKED), *chunks, b"-5\r\n", LAST_CHUNK)


def _chunk_longer_than_size(answer: EngineAnswer) -> WireAnswer:
    """Sends two bytes of a chunk more than its size says, in the place of its line end."""
    half = b"".join(answer.half) or b"half"
    chunk = chunk_bytes(half).removesuffix(b"\r\n") + b"zz"
    return _ended(_head(answer, _CHUNKED), chunk, LAST_CHUNK)


def _encoded(answer: EngineAnswer) -> WireAnswer:
    body = gzip.compress(answer.body)
    head = _head(answer, ("Content-Encoding", "gzip"), _length(body))
    return WireAnswer((head, body), is_whole=False)


_Writer = Callable[[EngineAnswer], WireAnswer]
_WRITERS: dict[AnswerFault, _Writer] = {
    AnswerFault.REPEATED: _repeated,
    AnswerFault.REPEATED_LATE: _repeated_late,
    AnswerFault.FAILURE_REPEATED_LATE: _failure_repeated_late,
    AnswerFault.FAILURE_THEN_SUCCESS: _failure_then_success,
    AnswerFault.REFUSAL_REPEATED_LATE: _refusal_repeated_late,
    AnswerFault.REFUSAL_WITH_200: _refusal_with(200),
    AnswerFault.REFUSAL_WITH_500: _refusal_with(500),
    AnswerFault.AFTER_ANOTHER: _after_another,
    AnswerFault.AFTER_100: _after_interim(100),
    AnswerFault.AFTER_103: _after_interim(103),
    AnswerFault.UNSIGNED: _with_stamp(None),
    AnswerFault.EMPTY_STAMP: _with_stamp(""),
    AnswerFault.UNSIGNED_204: _unsigned_204,
    AnswerFault.UNSIGNED_206: _unsigned_half(206),
    AnswerFault.UNSIGNED_422: _unsigned_422,
    AnswerFault.UNSIGNED_FAILURE: _unsigned_failure,
    AnswerFault.UNSIGNED_HALF_BY_LENGTH: _unsigned_half(200),
    AnswerFault.UNSIGNED_HALF_OF_OTHER_TYPE: _unsigned_half_of_other_type,
    AnswerFault.UNFRAMED: _unframed,
    AnswerFault.UNFRAMED_HALF: _unframed_half,
    AnswerFault.CUT_IN_HEAD: _cut_in_head,
    AnswerFault.CUT_IN_CHUNK_SIZE: _cut_in_chunk_size,
    AnswerFault.CUT_IN_CHUNK: _cut_in_chunk,
    AnswerFault.CUT_BEFORE_LAST_CHUNK: _cut_before_last_chunk,
    AnswerFault.CUT_BEFORE_FINAL_LINE: _cut_before_final_line,
    AnswerFault.CUT_IN_LENGTH: _half_with_lengths("{longer}"),
    AnswerFault.LENGTH_WITH_LETTER: _half_with_lengths("{half}x"),
    AnswerFault.LENGTH_NEGATIVE: _half_with_lengths("-5"),
    AnswerFault.LENGTHS_DIFFER: _half_with_lengths("{half}", "{longer}"),
    AnswerFault.LENGTH_AND_CHUNKS: _length_and_chunks,
    AnswerFault.CODING_UNKNOWN: _coding_unknown,
    AnswerFault.CHUNK_SIZE_NEGATIVE: _chunk_size_negative,
    AnswerFault.CHUNK_LONGER_THAN_SIZE: _chunk_longer_than_size,
    AnswerFault.ENCODED: _encoded,
}
