"""What proves that a response is an engine's whole answer to a request.

The head of a response to a request must carry the request's id. An answer of an engine that ran
the request is signed, whatever its status. An engine that did not run a request signs nothing; it
says so with a header, in a response with one of `REFUSAL_STATUSES`. The end of the body must be
marked by a length or by chunks, as the end of a connection does not tell a whole body from one that
was cut.
Callers request bodies without a content encoding, so an encoded body is not the engine's.

`exchange` applies these rules to the answers for callers and for batch items, `health_request` to
answers at the health path. The relation between an answer and a run also rests on the connection:
an id is sent only once on each (`connection`). Source: the users' page PROTOCOL, "Answers" and
"Servers"; RFC 9112, section 6.3.
"""

from enum import StrEnum
from http import HTTPStatus

from troutswitch.platform.requests import AnswerHead, EngineHealth
from troutswitch.wire_values import Framing

REFUSAL_STATUSES = frozenset(
    {
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses with which an engine says that it did not run a request."""
PROMISED_NOT_RUN = REFUSAL_STATUSES - {HTTPStatus.BAD_REQUEST}
"""Those which alone tell a caller that its request did not run."""


class Defect(StrEnum):
    """Why a response is not proved to be an engine's answer; also a label of metrics."""

    INTERIM = "too many interim responses"
    OTHER_PROTOCOL = "switch to another protocol"
    MALFORMED_HEAD = "malformed head"
    OTHER_REQUEST = "of another request"
    UNSIGNED = "unsigned"
    CONTRADICTORY_REFUSAL = "refusal with the status of a run"
    CONTRADICTORY_RUN = "run with the status of a refusal"
    MALFORMED_FRAMING = "malformed framing"
    UNMARKED_END = "no length and no chunks"
    ENCODED = "encoded body"
    NO_EVENT_STREAM = "not an event stream"
    TRUNCATED = "truncated"


def answer_defect(head: AnswerHead, *, expects_stream: bool) -> Defect | None:
    """Returns the first reason why a head with the request's id begins no proved answer.

    A refusal needs no marked end, because its head states all that it says.

    Args:
        head: the head of the response.
        expects_stream: whether a success must be a stream of events.
    """
    if head.status == HTTPStatus.SWITCHING_PROTOCOLS:
        return Defect.OTHER_PROTOCOL
    if head.not_run:
        return None if head.status in REFUSAL_STATUSES else Defect.CONTRADICTORY_REFUSAL
    if not head.is_signed:
        return Defect.UNSIGNED
    if head.status in PROMISED_NOT_RUN:
        return Defect.CONTRADICTORY_RUN
    if head.framing is Framing.MALFORMED:
        return Defect.MALFORMED_FRAMING
    if head.framing is Framing.CLOSE:
        return Defect.UNMARKED_END
    if head.is_encoded:
        return Defect.ENCODED
    if expects_stream and _is_success(head) and not _is_stream(head):
        return Defect.NO_EVENT_STREAM
    return None


def has_marked_end(head: AnswerHead) -> bool:
    """Returns whether the end of a response's body is marked, so that the next one can be read."""
    return head.framing not in (Framing.CLOSE, Framing.MALFORMED)


def is_proved_health(health: EngineHealth) -> bool:
    """Returns whether a response at the health path is the engine's answer.

    It is read on a connection of its own, and its head states all that is used: the id of the
    engine takes the place of the signature, and the body may end with the connection.
    """
    is_framed = health.framing is not Framing.MALFORMED
    return health.status == HTTPStatus.OK and is_framed and not health.is_encoded


def _is_success(head: AnswerHead) -> bool:
    return HTTPStatus(200) <= head.status < HTTPStatus(300)


def _is_stream(head: AnswerHead) -> bool:
    return head.status == HTTPStatus.OK and head.is_event_stream
