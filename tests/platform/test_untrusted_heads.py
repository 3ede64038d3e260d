"""Heads of callers' requests and engines' answers: what passes is bounded, whatever was sent."""

import http.client
import io
import math
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.platform import names
from troutswitch.platform.requests import (
    DEFAULT_DEADLINE_SECONDS,
    AnswerHead,
    RequestFormatError,
    check_request,
    engine_headers,
    read_head,
    read_request,
)
from troutswitch.wire_values import MAX_SECONDS

SETTINGS = settings(derandomize=True, deadline=None, max_examples=300)
VALUES = st.text(st.characters(max_codepoint=255), max_size=30) | st.sampled_from(
    [
        "nan",
        "inf",
        "-inf",
        "1e308",
        "-1",
        "9" * 30,
        "9" * 5000,
        "\xb2",
        "1_0",
        "1,2",
        "a:-5",
        "a:\xb9",
        "0,0,0",
        "1,2,3,4",
        "1,2," + "9" * 400,
    ]
)
HEADERS = [
    names.REQUEST_ID,
    names.DEADLINE_MS,
    names.LAST_EVENT_ID,
    names.TOKEN_USAGE,
    names.PROMPT_PREFIX,
    names.API_KEY,
    names.RESUMES,
    "Host",
    "X-Other",
]


def environ(url: str, headers: dict[str, str]) -> dict[str, Any]:
    fields = {"HTTP_" + name.upper().replace("-", "_"): value for name, value in headers.items()}
    return {"REQUEST_METHOD": "POST", "REQUEST_URI": url, **fields}


@SETTINGS
@given(st.just("/a") | VALUES, st.dictionaries(st.sampled_from(HEADERS), VALUES))
def test_any_request_is_malformed_or_can_be_sent(url: str, headers: dict[str, str]) -> None:
    """Guards against a request that is counted as run although it could never be sent."""
    request = read_request(environ(url, headers))
    assert 0 <= request.time_left <= MAX_SECONDS
    for tokens in (request.prompt.prompt_tokens, request.prompt.max_output_tokens):
        assert 0 <= tokens <= 10**9
    assert all(0 <= part.tokens <= 10**9 for part in request.prompt.parts)
    try:
        check_request(request)
    except RequestFormatError:
        return
    connection = http.client.HTTPConnection("127.0.0.1", 1)
    connection.putrequest(request.method, request.url, skip_host=True)
    sent = engine_headers(request, "engine", request.time_left, request.last_event_id)
    for name, value in sent:
        connection.putheader(name, value)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("1500", 1.5),
        ("inf", MAX_SECONDS),
        ("1e308", MAX_SECONDS),
        ("-5", 0.0),
        ("nan", DEFAULT_DEADLINE_SECONDS),
        ("soon", DEFAULT_DEADLINE_SECONDS),
    ],
)
def test_deadline_is_a_finite_time(text: str, seconds: float) -> None:
    """Guards against an infinite deadline, which no message or header can hold."""
    assert read_request(environ("/a", {names.DEADLINE_MS: text})).time_left == seconds


def head(headers: dict[str, str]) -> AnswerHead:
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    data = "\r\n".join(lines).encode("latin-1")
    source = type("Source", (), {"makefile": lambda self, mode: io.BytesIO(data)})()
    response = http.client.HTTPResponse(source)
    response.begin()
    return read_head(response, "POST")


@SETTINGS
@given(VALUES, VALUES)
def test_figures_of_an_answer_are_bounded(load: str, retry_after: str) -> None:
    answer = head({names.SERVER_LOAD: load, names.RETRY_AFTER: retry_after})
    if answer.load is not None:
        pace = answer.load.pace_percent
        figures = [answer.load.running, answer.load.waiting, answer.load.slots]
        assert all(0 <= figure <= 10**6 for figure in figures)
        assert pace is None or 0 < pace <= 10_000
    assert answer.retry_after is None or math.isfinite(answer.retry_after)
    assert answer.retry_after is None or 0 <= answer.retry_after <= MAX_SECONDS
