import http.client
import json
from base64 import b64encode
from email.message import Message
from functools import partial
from unittest.mock import Mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from troutswitch.decisions.forwarding.types import EngineLoad
from troutswitch.decisions.jobs.messages import (
    BodyRequested,
    JobEndRequested,
    JobRefused,
    JobResults,
    ResultsRequested,
)
from troutswitch.decisions.jobs.records import DEAD, DONE, ItemResult
from troutswitch.decisions.storage.messages import KeyedRecord
from troutswitch.decisions.tenants.types import key_digest
from troutswitch.platform.configuration import (
    FormatError,
    PlatformFormats,
    decode_configuration,
    decode_engine,
)
from troutswitch.platform.jobs import (
    JobFormatError,
    call_target,
    decode_call,
    decode_submission,
    encode_answer,
)
from troutswitch.platform.requests import (
    AnswerHead,
    IncomingRequest,
    engine_headers,
    item_headers,
    read_head,
    read_prompt,
    read_request,
)
from troutswitch.platform.store import decode_records, encode_records

TENANT_HEADER = "X-Troutswitch-Tenant"
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=60)


def environ(**more: str) -> dict[str, str]:
    return {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/a%20b/c?q=%2F",
        "PATH_INFO": "/a b/c",
        "HTTP_HOST": "h.example",
        "HTTP_X_TROUTSWITCH_REQUEST_ID": "id-1",
        "HTTP_X_TROUTSWITCH_DEADLINE_MS": "1500",
        "HTTP_X_OTHER": "kept",
        "HTTP_CONNECTION": "keep-alive",
        "CONTENT_TYPE": "text/plain",
        **more,
    }


def incoming(method: str = "GET", url: str = "/lots/j", request_id: str = "j") -> IncomingRequest:
    path, _, query = url.partition("?")
    shape = read_prompt("", "")
    return IncomingRequest(request_id, method, url, "h", path, query, [], 4.0, "", shape)


def test_url_and_headers_of_a_request_are_forwarded_unchanged() -> None:
    request = read_request(environ())
    assert request.url == "/a%20b/c?q=%2F"
    assert (request.path, request.query) == ("/a%20b/c", "q=%2F")
    sent = dict(engine_headers(request, "i-9", 1.25, "7"))
    assert sent["Host"] == "h.example"
    assert sent["X-Troutswitch-Request-Id"] == "id-1"
    assert sent["X-Other"] == "kept"
    assert sent["Content-Type"] == "text/plain"
    assert "Connection" not in sent
    assert sent["X-Troutswitch-Expect-Instance"] == "i-9"
    assert sent["X-Troutswitch-Deadline-Ms"] == "1250"
    assert sent["Last-Event-Id"] == "7"


def test_resumed_attempt_is_decoded_and_forwarded() -> None:
    resumed = read_request(environ(HTTP_LAST_EVENT_ID="7", HTTP_RESUMES="id-0"))
    assert (resumed.last_event_id, resumed.resumed_id) == ("7", "id-0")
    assert dict(engine_headers(resumed, "i-9", 1.0, "7"))["Resumes"] == "id-0"
    assert read_request(environ()).resumed_id == ""


def test_callers_cannot_choose_the_expected_instance() -> None:
    forged = environ(HTTP_X_TROUTSWITCH_EXPECT_INSTANCE="i-0", HTTP_LAST_EVENT_ID="3")
    sent = engine_headers(read_request(forged), "i-9", 1.0, "")
    instances = [value for name, value in sent if name == "X-Troutswitch-Expect-Instance"]
    assert instances == ["i-9"]
    assert not [value for name, value in sent if name == "Last-Event-Id"]


def test_api_key_is_replaced_by_its_digest_and_not_forwarded() -> None:
    request = read_request(environ(HTTP_API_KEY="secret-key"))
    assert request.caller_key == key_digest("secret-key")
    assert "secret-key" not in repr(request)
    assert "secret-key" not in repr(engine_headers(request, "i-9", 1.0, "", "ours"))
    assert read_request(environ()).caller_key == ""


def test_tenant_header_of_a_caller_is_replaced() -> None:
    forged = read_request(environ(HTTP_X_TROUTSWITCH_TENANT="theirs"))
    values = [v for n, v in engine_headers(forged, "i-9", 1.0, "", "ours") if n == TENANT_HEADER]
    assert values == ["ours"]
    assert "theirs" not in repr(engine_headers(forged, "i-9", 1.0, ""))
    own = {"x-troutswitch-TENANT": "theirs", "API-key": "secret-key"}
    rows = item_headers("h", "item", own, "i-1", "", "ours")
    assert [v for n, v in rows if n.lower() == TENANT_HEADER.lower()] == ["ours"]
    assert "secret-key" not in repr(rows)


@pytest.mark.parametrize("tenant", ["\u65e5\u672c", "a\nb", "a\r\nX: y", "a\x00", "\ud800"])
def test_name_of_a_tenant_that_no_header_can_hold_does_not_keep_requests_back(tenant: str) -> None:
    connection = http.client.HTTPConnection("127.0.0.1", 1)
    connection.putrequest("POST", "/a", skip_host=True, skip_accept_encoding=True)
    sent = engine_headers(read_request(environ()), "i-9", 1.0, "", tenant)
    for name, value in [*sent, *item_headers("h", "item", {}, "i-1", "", tenant)]:
        connection.putheader(name, value)
        assert name != TENANT_HEADER


def test_tenants_are_decoded_with_digests_of_their_keys() -> None:
    text = b"""{"version": 7, "tenants": [
        {"name": "a", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 65, "burst": 6.5},
        {"name": "b", "apiKeys": []}]}"""
    first, second = decode_configuration(text).tenants or ()
    assert first.keys == {key_digest("k1"), key_digest("k2")}
    assert (first.rate, first.burst, first.priority) == (65.0, 6.5, 1)
    assert second.keys == frozenset()
    assert not second.is_limited
    assert decode_configuration(b'{"version": 7}').tenants is None


@pytest.mark.parametrize("path", ["5", "true", "[]", "{}", "null", '""', '"health"'])
def test_unusable_health_path_does_not_reject_the_configuration(path: str) -> None:
    """Earlier versions did not read the field, and served such configurations."""
    text = f'{{"version": 7, "services": [{{"name": "s", "healthPath": {path}}}]}}'
    assert decode_configuration(text.encode()).services["s"].health_path == ""


def test_item_id_replaces_a_request_id_header() -> None:
    rows = item_headers("h", "item", {"X-Troutswitch-Request-Id": "other", "A": "b"}, "i-1", "")
    assert [v for n, v in rows if n == "X-Troutswitch-Request-Id"] == ["item"]
    assert ("A", "b") in rows


@DETERMINISTIC
@given(st.text(max_size=30), st.text(max_size=60))
def test_any_prompt_header_is_decoded_or_yields_an_unknown_shape(usage: str, parts: str) -> None:
    shape = read_prompt(usage, parts)
    assert shape.shared_tokens == sum(part.tokens for part in shape.parts[:-1])


def test_prompt_parts_are_decoded() -> None:
    shape = read_prompt("1460,80", "5c1e:800,91bd:410,e440:250")
    assert (shape.prompt_tokens, shape.max_output_tokens) == (1460, 80)
    assert (shape.shared_tokens, shape.session_part) == (1210, "91bd")


KEYS = st.text(min_size=1, max_size=40).filter(lambda key: len(key.encode()) <= 255)


@DETERMINISTIC
@given(st.lists(st.tuples(KEYS, st.binary(max_size=200)), max_size=8), st.integers(0, 1000))
def test_encoded_records_are_decoded_unchanged(rows: list[tuple[str, bytes]], offset: int) -> None:
    records = tuple(KeyedRecord(key, value) for key, value in rows)
    decoded = decode_records(encode_records(records), offset)
    assert [(r.key, r.value) for r in decoded] == rows
    assert [r.offset for r in decoded] == list(range(offset, offset + len(rows)))


@DETERMINISTIC
@given(st.integers(0, 40))
def test_truncated_record_is_dropped(length: int) -> None:
    records = (KeyedRecord("a", b"12345"), KeyedRecord("b", b"67890"))
    data = encode_records(records)
    decoded = decode_records(data[: min(length, len(data))], 0)
    assert all((r.key, r.value) in (("a", b"12345"), ("b", b"67890")) for r in decoded)


@DETERMINISTIC
@given(st.binary(max_size=60))
def test_malformed_records_raise_only_format_error(data: bytes) -> None:
    for decode in (decode_configuration, partial(decode_engine, "i")):
        try:
            decode(data)
        except FormatError:
            continue


def test_unknown_fields_of_a_configuration_are_ignored() -> None:
    route = {
        "name": "r",
        "host": "h",
        "pathPrefix": "/a/",
        "routeType": "batch",
        "backends": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
        "somethingNew": 1,
        "retentionS": 60,
    }
    data = json.dumps({"version": 3, "routes": [route], "services": [], "new": {}}).encode()
    decoded = PlatformFormats().configuration("config", data)
    assert decoded is not None
    assert [backend.weight for backend in decoded.routes[0].backends] == [90.0, 10.0]
    assert decoded.routes[0].retention == 60.0
    assert PlatformFormats().configuration("other", data) is None


def submission(*items: dict[str, object]) -> bytes:
    return json.dumps({"requests": list(items)}).encode()


def item(name: str = "i") -> dict[str, object]:
    body = b64encode(b"body").decode()
    return {"id": name, "path": "/p", "headers": {"A": "b"}, "body": body, "tokens": 5}


def test_submission_is_decoded() -> None:
    event = decode_submission(1, incoming("POST", "/jobs/j"), submission(item("a"), item("b")))
    assert [received.item_id for received in event.items] == ["a", "b"]
    assert event.items[0].body == b"body"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        submission(),
        submission(item("a"), item("a")),
        submission(*(item(str(number)) for number in range(201))),
        submission({"id": "a", "path": "/p", "body": "not base64!"}),
    ],
)
def test_malformed_submission_is_refused(body: bytes) -> None:
    with pytest.raises(JobFormatError):
        decode_submission(1, incoming("POST", "/jobs/j"), body)


def test_calls_about_jobs_are_decoded() -> None:
    def read(method: str, url: str) -> object:
        request = incoming(method, url)
        target = call_target(request)
        assert target is not None
        return decode_call(1, request, target)

    assert read("GET", "/lots/j?afterRevision=12") == ResultsRequested(1, "j", 12, 4.0)
    assert read("GET", "/items/j?id=x") == BodyRequested(1, "j", "x", 4.0)
    assert read("DELETE", "/lots/j") == JobEndRequested(1, "j", 4.0)
    assert call_target(incoming("POST", "/lots/j")) is None
    with pytest.raises(JobFormatError):
        read("GET", "/lots/j?afterRevision=x")


def test_results_and_refusals_are_encoded() -> None:
    rows = (ItemResult("a", DONE, "one\ntwo"), ItemResult("b", DEAD, ""))
    page = json.loads(encode_answer(JobResults(9, 4, rows)).body)
    assert (page["total"], page["nextToken"]) == (9, 6)
    assert [row["state"] for row in page["results"]] == ["completed", "dead_lettered"]
    assert page["results"][0]["message"] == "one\ntwo"
    refused = encode_answer(JobRefused(429, "full", 0.5))
    assert refused.status == 429
    assert dict(refused.headers)["Retry-After"] == "0.500"


def answer_head(headers: dict[str, str]) -> AnswerHead:
    message = Message()
    for name, value in headers.items():
        message[name] = value
    response = Mock(status=200, msg=message)
    response.getheader = lambda name, default=None: headers.get(name, default)
    response.getheaders = lambda: list(headers.items())
    return read_head(response, "POST")


def reported_load(header: str) -> EngineLoad | None:
    return answer_head({"X-Troutswitch-Server-Load": header}).load


def test_load_with_a_pace_is_read() -> None:
    # A fourth figure made the whole load unreadable, so engines that report one had no load.
    assert reported_load("3,1,8,137") == EngineLoad(3, 1, 8, 137)
    assert reported_load("3,1,8") == EngineLoad(3, 1, 8)


@pytest.mark.parametrize("pace", ["0", "10001"])
def test_load_with_an_implausible_pace_is_used_without_it(pace: str) -> None:
    assert reported_load(f"3,1,8,{pace}") == EngineLoad(3, 1, 8)


@pytest.mark.parametrize("header", ["", "3", "3,1", "3,1,8,100,1", "3,x,8", "3,1,8,", "-1,0,8"])
def test_malformed_load_is_no_load(header: str) -> None:
    assert reported_load(header) is None
    assert answer_head({"X-Troutswitch-Server-Load": header}).has_unreadable_load


@pytest.mark.parametrize("header", ["3,1,8", "3,1,8,137", "3,1,8,0"])
def test_readable_load_does_not_count_as_unreadable(header: str) -> None:
    assert not answer_head({"X-Troutswitch-Server-Load": header}).has_unreadable_load


def test_missing_load_is_not_unreadable() -> None:
    """Answers of other servers than engines have no load."""
    head = answer_head({})
    assert (head.load, head.has_unreadable_load) == (None, False)
