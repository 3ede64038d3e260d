"""Decodes headers of callers' requests and engines' responses; encodes headers sent to engines.

This module defines the wire format of headers. A missing or malformed header value is replaced by
its default; no decisions are made here.
"""

import http.client
from dataclasses import dataclass
from typing import Any

from troutswitch.decisions.forwarding.types import EngineLoad, PromptPart, PromptShape
from troutswitch.decisions.tenants.types import NO_KEY, NO_TENANT, key_digest
from troutswitch.platform import names
from troutswitch.platform.engine_ids import instance_id
from troutswitch.runtime.response_heads import read_framing
from troutswitch.wire_values import (
    MAX_SECONDS,
    Framing,
    is_event_id,
    is_header_name,
    is_header_value,
    is_request_id,
    is_request_target,
    parse_decimal,
    parse_number,
)

Environ = dict[str, Any]
Headers = list[tuple[str, str]]

MISDIRECTED = 421
"""Status with which an engine refuses a request that is intended for a different engine."""
LOAD_FIGURES = (3, 4)
"""Numbers of figures in an engine's load."""
MAX_LOAD = 1_000_000
"""Maximum plausible figure of an engine's load."""
MAX_TOKENS = 1_000_000_000
"""Maximum plausible number of tokens of a prompt or of a part of one."""
MAX_PACE_PERCENT = 10_000
"""Maximum plausible pace. A load with a larger one, or with 0, is used without its pace."""
CONTENT_ENCODING = "Content-Encoding"
EVENT_STREAM = "text/event-stream"
DEFAULT_DEADLINE_SECONDS = 30.0
"""Assumed time limit of a caller whose request specifies no deadline."""


class RequestFormatError(ValueError):
    """A request can't be sent to an engine as it is; the message names the reason."""


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request.

    `headers` are the headers to forward to engines. `time_left` is how long the caller waits, in
    seconds. `last_event_id` is the id of the event after which to resume a stream, empty for a new
    stream. `caller_key` is the digest of the caller's API key, empty if the request has none.
    `resumed_id` is the request id of the attempt that brought the first event of a resumed stream,
    empty if the caller does not name it.
    """

    request_id: str
    method: str
    url: str
    host: str
    path: str
    query: str
    headers: Headers
    time_left: float
    last_event_id: str
    prompt: PromptShape
    caller_key: str = NO_KEY
    resumed_id: str = ""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an engine's response.

    `not_run` is whether the engine states that it did not run the request. `load` is the engine's
    load at the time of the response, None if not reported. `has_unreadable_load` is set if it was
    reported in an unknown form. `retry_after` is in seconds. `request_id` is the id of the request
    that the response names, `length` the bytes of a body with a length. `is_encoded` is whether the
    response names a content encoding.
    """

    status: int
    not_run: bool
    load: EngineLoad | None
    retry_after: float | None
    is_event_stream: bool
    headers: Headers
    has_unreadable_load: bool = False
    request_id: str = ""
    is_signed: bool = False
    framing: Framing = Framing.MALFORMED
    length: int = 0
    is_encoded: bool = False

    @property
    def is_wrong_instance(self) -> bool:
        """Whether a different engine than the intended one now has the address."""
        return self.status == MISDIRECTED


def read_request(environ: Environ) -> IncomingRequest:
    """Decodes a request from a WSGI environment."""
    headers = _incoming_headers(environ)
    url = str(environ.get("REQUEST_URI") or environ.get("PATH_INFO", "/"))
    path, _, query = url.partition("?")
    return IncomingRequest(
        request_id=_header(environ, names.REQUEST_ID),
        method=str(environ["REQUEST_METHOD"]),
        url=url,
        host=_header(environ, "Host"),
        path=path,
        query=query,
        headers=headers,
        time_left=_seconds(_header(environ, names.DEADLINE_MS)),
        last_event_id=_header(environ, names.LAST_EVENT_ID),
        prompt=read_prompt(
            _header(environ, names.TOKEN_USAGE), _header(environ, names.PROMPT_PREFIX)
        ),
        caller_key=key_digest(_header(environ, names.API_KEY)),
        resumed_id=_header(environ, names.RESUMES),
    )


def check_request(request: IncomingRequest) -> None:
    """Checks that a request can be sent to an engine.

    Raises:
        RequestFormatError: a part of it is missing or malformed.
    """
    if not request.request_id:
        raise RequestFormatError(f"missing {names.REQUEST_ID}")
    if not is_request_id(request.request_id):
        raise RequestFormatError(f"malformed {names.REQUEST_ID}")
    if not is_header_name(request.method):
        raise RequestFormatError("malformed method")
    if not is_request_target(request.url):
        raise RequestFormatError("malformed path")
    if request.last_event_id and not is_event_id(request.last_event_id):
        raise RequestFormatError(f"malformed {names.LAST_EVENT_ID}")
    for name, value in [("Host", request.host), *request.headers]:
        if not (is_header_name(name) and is_header_value(value)):
            raise RequestFormatError("malformed header")


def _header(environ: Environ, name: str) -> str:
    return str(environ.get("HTTP_" + name.upper().replace("-", "_"), ""))


def _incoming_headers(environ: Environ) -> Headers:
    headers: Headers = []
    for key, value in environ.items():
        if key.startswith("HTTP_"):
            name = key[5:].replace("_", "-").title()
            if name.lower() not in names.CONNECTION_HEADERS | names.SYSTEM_HEADERS:
                headers.append((name, str(value)))
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", str(environ["CONTENT_TYPE"])))
    return headers


def _seconds(milliseconds: str) -> float:
    number = parse_decimal(milliseconds, MAX_SECONDS * 1000)
    return DEFAULT_DEADLINE_SECONDS if number is None else number / 1000


def read_prompt(usage: str, parts: str) -> PromptShape:
    """Decodes the token counts of a prompt; malformed headers yield an unknown shape."""
    try:
        counts = [_tokens(count) for count in usage.split(",")] if usage else [0, 0]
        named = [part.rpartition(":") for part in parts.split(",") if part]
        shape = tuple(PromptPart(name.strip(), _tokens(tokens)) for name, _, tokens in named)
    except ValueError:
        return PromptShape()
    return PromptShape(counts[0], counts[1] if len(counts) > 1 else 0, shape)


def _tokens(text: str) -> int:
    tokens = parse_number(text.strip(), MAX_TOKENS)
    if tokens is None:
        raise ValueError(f"not a number of tokens: {text[:20]!r}")
    return tokens


def engine_headers(
    request: IncomingRequest,
    engine_id: str,
    time_left: float | None,
    resume_after: str,
    tenant: str = NO_TENANT,
) -> Headers:
    """Returns the headers of a caller's request to an engine.

    Args:
        request: the caller's request.
        engine_id: id of the engine's incarnation.
        time_left: time limit for the engine in seconds, or None for no limit.
        resume_after: id of the event after which to resume a stream, empty for a new stream.
        tenant: the caller's tenant, or `NO_TENANT`.
    """
    headers: Headers = [("Host", request.host), *request.headers, *_tenant_header(tenant)]
    headers.append((names.EXPECT_INSTANCE, instance_id(engine_id)))
    if time_left is not None:
        headers.append((names.DEADLINE_MS, str(max(1, int(time_left * 1000)))))
    if resume_after:
        headers.append((names.LAST_EVENT_ID, resume_after))
    return headers


def _tenant_header(tenant: str) -> Headers:
    """Returns the header that names a tenant; none if no header can hold the name.

    The name is the operators' to choose, and must not keep requests from being sent.
    """
    return [(names.TENANT, tenant)] if tenant and is_header_value(tenant) else []


def _single(response: http.client.HTTPResponse, name: str) -> str:
    """Returns the value of a header that a response has exactly once, otherwise nothing."""
    values = response.msg.get_all(name, [])
    return values[0].strip() if len(values) == 1 else ""


def read_head(response: http.client.HTTPResponse, method: str) -> AnswerHead:
    """Decodes the head of an engine's response to a request of a method."""
    framing, length = read_framing(response, method)
    content_type = response.getheader("Content-Type", "")
    load_header = response.getheader(names.SERVER_LOAD)
    load = _load(load_header)
    return AnswerHead(
        status=response.status,
        not_run=response.getheader(names.NOT_EXECUTED) is not None
        or response.status == MISDIRECTED,
        load=load,
        retry_after=_retry_after(response.getheader(names.RETRY_AFTER)),
        is_event_stream=content_type.partition(";")[0].strip().lower() == EVENT_STREAM,
        headers=[
            (name, value)
            for name, value in response.getheaders()
            if name.lower() not in names.CONNECTION_HEADERS
        ],
        has_unreadable_load=load is None and load_header is not None,
        request_id=_single(response, names.REQUEST_ID),
        is_signed=bool(_single(response, names.RESPONSE_STAMP)),
        framing=framing,
        length=length,
        is_encoded=response.getheader(CONTENT_ENCODING) is not None,
    )


@dataclass(frozen=True, slots=True)
class EngineHealth:
    """What an engine replies at its health path; the id is empty and the load None if missing."""

    status: int
    framing: Framing
    is_encoded: bool
    instance_id: str
    load: EngineLoad | None


def read_health(response: http.client.HTTPResponse) -> EngineHealth:
    """Decodes the head of a response at an engine's health path."""
    return EngineHealth(
        response.status,
        read_framing(response, "GET")[0],
        response.getheader(CONTENT_ENCODING) is not None,
        _single(response, names.INSTANCE_ID),
        _load(response.getheader(names.SERVER_LOAD)),
    )


def _load(header: str | None) -> EngineLoad | None:
    """Decodes running, waiting, slots and, on some services, the pace in percent."""
    figures = [parse_number(part.strip(), MAX_LOAD) for part in (header or "").split(",")]
    known = [figure for figure in figures if figure is not None]
    if len(known) != len(figures) or len(known) not in LOAD_FIGURES:
        return None
    running, waiting, slots, *pace = known
    has_pace = bool(pace) and 0 < pace[0] <= MAX_PACE_PERCENT
    return EngineLoad(running, waiting, slots, pace[0] if has_pace else None)


def _retry_after(header: str | None) -> float | None:
    return parse_decimal(header, MAX_SECONDS) if header else None


def item_headers(
    host: str,
    item_id: str,
    headers: dict[str, str],
    engine_id: str,
    resume_after: str,
    tenant: str = NO_TENANT,
) -> Headers:
    """Returns the headers of a batch item's request to an engine."""
    rows: Headers = [("Host", host), (names.REQUEST_ID, item_id)]
    rows += [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in names.CONNECTION_HEADERS | names.SYSTEM_HEADERS
        and name.lower() != names.REQUEST_ID.lower()
    ]
    rows += _tenant_header(tenant)
    rows.append((names.EXPECT_INSTANCE, instance_id(engine_id)))
    if resume_after:
        rows.append((names.LAST_EVENT_ID, resume_after))
    return rows
