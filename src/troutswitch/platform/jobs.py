"""Decodes calls about batch jobs into events, and encodes their answers.

This module defines the wire format of submissions, results and calls; it makes no decisions.
"""

import hashlib
from base64 import b64decode
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import parse_qs, unquote

import msgspec

from troutswitch.decisions.jobs.messages import (
    BodyRequested,
    ItemBody,
    JobAccepted,
    JobAnswer,
    JobEnded,
    JobEndRequested,
    JobRefused,
    JobResults,
    JobSubmitted,
    ResultsRequested,
)
from troutswitch.decisions.jobs.records import DONE, MAX_ID_BYTES, JobItem
from troutswitch.decoding import raises_only
from troutswitch.json_values import decode_json
from troutswitch.platform import names
from troutswitch.platform.requests import IncomingRequest
from troutswitch.runtime.http import JSON_TYPE, Response
from troutswitch.wire_values import (
    is_header_name,
    is_header_value,
    is_request_id,
    is_request_target,
    parse_number,
)

MAX_JOB_ITEMS = 200
"""Maximum number of items in one job, set by the platform's contract."""
MAX_ITEM_TOKENS = 1_000_000_000
"""Maximum plausible number of tokens of an item."""
RESULT_STATES = {DONE: "completed"}
"""The platform's names for states of results; all other states are `DEAD_STATE`."""
DEAD_STATE = "dead_lettered"


class JobFormatError(ValueError):
    """A submission or a call is malformed; the message names the field and the reason."""


class _Item(msgspec.Struct):
    id: str
    path: str
    body: str = ""
    headers: dict[str, str] = {}
    tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_ITEM_TOKENS)] = 0


class _Submission(msgspec.Struct, rename={"items": "requests"}):
    items: list[_Item]  # on the wire "requests"


class _Result(msgspec.Struct, rename={"text": "message"}):
    id: str
    state: str
    text: str  # on the wire "message": the item's complete output


class _Results(msgspec.Struct, rename={"position": "nextToken"}):
    total: int
    position: int  # on the wire "nextToken": the position of the next page
    results: list[_Result]


@dataclass(frozen=True, slots=True)
class JobCallTarget:
    """The job that a call's path identifies; `is_item` if the call is about one of its items."""

    job_id: str
    is_item: bool


def call_target(request: IncomingRequest) -> JobCallTarget | None:
    """Returns the job that a call is about; None if the request is no such call."""
    if request.method not in ("GET", "DELETE"):
        return None
    for prefix, is_item in ((names.JOB_PATH, False), (names.ITEM_PATH, True)):
        if request.path.startswith(prefix) and len(request.path) > len(prefix):
            return JobCallTarget(unquote(request.path[len(prefix) :]), is_item)
    return None


def decode_call(
    token: int, request: IncomingRequest, target: JobCallTarget
) -> ResultsRequested | BodyRequested | JobEndRequested:
    """Decodes a call about a job.

    Raises:
        JobFormatError: a parameter is invalid.
    """
    if request.method == "DELETE":
        return JobEndRequested(token, target.job_id, request.time_left, request.caller_key)
    values = parse_qs(request.query)
    if target.is_item:
        item_id = values.get("id", [""])[0]
        return BodyRequested(token, target.job_id, item_id, request.time_left, request.caller_key)
    position = values.get("afterRevision", ["0"])[0]  # the position of a page, despite its name
    number = parse_number(position)
    if number is None:
        raise JobFormatError(f"afterRevision: expected a number, got {position[:20]!r}")
    return ResultsRequested(token, target.job_id, number, request.time_left, request.caller_key)


@raises_only(JobFormatError)
def decode_submission(token: int, request: IncomingRequest, body: bytes) -> JobSubmitted:
    """Decodes a submission.

    Raises:
        JobFormatError: the body is malformed, it contains no items, too many items or duplicate
            item ids, or an engine can never receive one of the items.
    """
    if not is_request_id(request.request_id) or _is_too_long(request.request_id):
        raise JobFormatError("malformed id of a job")
    try:
        submission = decode_json(body, _Submission)
        items = tuple(
            JobItem(
                item.id,
                item.path,
                tuple(item.headers.items()),
                b64decode(item.body, validate=True),
                item.tokens,
            )
            for item in submission.items
        )
    except ValueError as error:
        raise JobFormatError(f"malformed job: {error}") from error
    if not items or len(items) > MAX_JOB_ITEMS:
        raise JobFormatError(f"expected 1 to {MAX_JOB_ITEMS} items, got {len(items)}")
    if len({item.item_id for item in items}) != len(items):
        raise JobFormatError("an item's id stands twice")
    for item in items:
        _check_item(item)
    digest = hashlib.blake2b(body, digest_size=12).hexdigest()
    return JobSubmitted(
        token,
        request.request_id,
        request.host,
        request.path,
        items,
        digest,
        request.time_left,
        request.caller_key,
    )


def _is_too_long(identifier: str) -> bool:
    return len(identifier.encode()) > MAX_ID_BYTES


def _check_item(item: JobItem) -> None:
    """Checks that an item can be sent to an engine.

    Raises:
        JobFormatError: its id, path or a header is malformed.
    """
    label = f"item {item.item_id[:40]!r}"
    if not is_request_id(item.item_id) or _is_too_long(item.item_id):
        raise JobFormatError(f"{label}: malformed id")
    if not is_request_target(item.path):
        raise JobFormatError(f"{label}: malformed path")
    for name, value in item.headers:
        if not (is_header_name(name) and is_header_value(value)):
            raise JobFormatError(f"{label}: malformed header {name[:40]!r}")


def encode_answer(answer: JobAnswer) -> Response:
    """Encodes the answer to a call about a job."""
    match answer:
        case JobAccepted():
            return Response(202, b"{}")
        case JobEnded():
            return Response(200, b"{}")
        case ItemBody():
            return Response(200, answer.body, "application/octet-stream")
        case JobResults():
            return Response(200, _encode_results(answer), JSON_TYPE)
        case JobRefused():
            headers: tuple[tuple[str, str], ...] = ()
            if answer.retry_after is not None:
                headers = ((names.RETRY_AFTER, f"{answer.retry_after:.3f}"),)
            text = f"{answer.reason}\n".encode()
            return Response(answer.status, text, "text/plain", headers)


def _encode_results(answer: JobResults) -> bytes:
    rows = [
        _Result(row.item_id, RESULT_STATES.get(row.state, DEAD_STATE), row.text)
        for row in answer.results
    ]
    return msgspec.json.encode(_Results(answer.total, answer.position + len(rows), rows))
