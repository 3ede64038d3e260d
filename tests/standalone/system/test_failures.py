"""Separate processes under faults: pauses, outages, cut streams, callers that disconnect."""

import http.client
import json
import os
import signal
import socket
import threading
from collections.abc import Iterator
from typing import Any

import openai
import pytest

from tests.standalone.system.fleet import SERVICE, Fleet, call, wait_until
from troutswitch.common import Address
from troutswitch.standalone.standins.engine import token_text
from troutswitch.standalone.standins.load_generator import LoadPlan, LoadReport, run_load


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    new_fleet = Fleet()
    try:
        yield new_fleet.start()
    finally:
        new_fleet.stop()


def expected_answer(prompt: str, tokens: int) -> str:
    return "".join(token_text(prompt, position) for position in range(tokens))


def test_openai_client_works_unchanged(fleet: Fleet) -> None:
    daemon = fleet.daemons["daemon-0"]
    client = openai.OpenAI(base_url=f"http://{daemon.callers}/v1", api_key="anything")
    chat = client.chat.completions.create(
        model=SERVICE, messages=[{"role": "user", "content": "hello"}], max_tokens=6
    )
    assert chat.choices[0].message.content == expected_answer("user: hello", 6)
    stream = client.completions.create(model=SERVICE, prompt="a lake", max_tokens=6, stream=True)
    assert "".join(part.choices[0].text for part in stream) == expected_answer("a lake", 6)
    assert [model.id for model in client.models.list()] == [SERVICE]
    with pytest.raises(openai.NotFoundError):
        client.completions.create(model="unknown", prompt="x")
    _, job = fleet.submit(daemon, 5)
    batches = openai.OpenAI(base_url=f"http://{daemon.batch}/v1", api_key="anything")
    fleet.wait_completed(daemon, job["id"])
    assert batches.batches.retrieve(job["id"]).status == "completed"
    lines = batches.files.content(job["id"]).text.splitlines()
    assert len(lines) == 5


def test_a_cut_stream_is_continued_to_the_complete_answer(fleet: Fleet) -> None:
    for address in fleet.engines.values():
        fleet.set_faults(address, cut_after_tokens=4)
    daemon = fleet.daemons["daemon-0"]
    body = {"model": SERVICE, "prompt": "cut me", "max_tokens": 12, "stream": True}
    status, answer = call(daemon.callers, "POST", "/v1/completions", body)
    assert status == 200
    events = [line[6:] for line in answer.splitlines() if line.startswith(b"data: ")]
    assert events[-1] == b"[DONE]"
    text = "".join(json.loads(event)["choices"][0]["text"] for event in events[:-1])
    assert text == expected_answer("cut me", 12)


def request_ended_lines(fleet: Fleet) -> list[dict[str, Any]]:
    return [line for line in fleet.log_lines() if line["event"] == "request ended"]


def test_a_stream_that_cannot_be_continued_ends_in_an_error(fleet: Fleet) -> None:
    for address in fleet.engines.values():
        fleet.set_faults(address, cut_after_tokens=1)
    daemon = fleet.daemons["daemon-0"]
    body = {"model": SERVICE, "prompt": "cut me", "max_tokens": 40, "stream": True}
    status, answer = call(daemon.callers, "POST", "/v1/completions", body)
    assert status == 200 and b"[DONE]" not in answer
    error = json.loads(answer.strip().splitlines()[-1][6:])["error"]
    assert error["not_run"] is False and error["step"] and error["peer"]
    wait_until(lambda: bool(request_ended_lines(fleet)), "a thread has written the log line")
    ended = request_ended_lines(fleet)
    assert [line["request_id"] for line in ended] == [error["request_id"]]
    assert (ended[0]["step"], ended[0]["peer"]) == (error["step"], error["peer"])


def test_a_request_not_to_be_repeated_runs_once_through_any_daemon(fleet: Fleet) -> None:
    body = {"model": SERVICE, "prompt": "once", "max_tokens": 4}
    headers = {"X-Repeatable": "no", "Idempotency-Key": "order-1"}
    first, second = fleet.daemons.values()
    assert call(first.callers, "POST", "/v1/completions", body, headers)[0] == 200
    status, answer = call(second.callers, "POST", "/v1/completions", body, headers)
    assert status == 409
    assert json.loads(answer)["error"]["not_run"] is False


def test_a_resumed_owner_duplicates_no_results(fleet: Fleet) -> None:
    first, second = fleet.daemons.values()
    _, job = fleet.submit(first, 300)
    wait_until(lambda: fleet.job(second, job["id"])["request_counts"]["completed"] > 10, "some")
    os.kill(first.process.pid, signal.SIGSTOP)
    fleet.wait_completed(second, job["id"])
    os.kill(first.process.pid, signal.SIGCONT)
    wait_until(first.is_ready, "the paused daemon is back")
    names = fleet.result_names(first, job["id"])
    assert sorted(names) == sorted(f"item-{number}" for number in range(300))


def test_with_the_log_down_online_is_served_and_refused_submissions_are_not_run(
    fleet: Fleet,
) -> None:
    first, second = fleet.daemons.values()
    _, job = fleet.submit(first, 40)
    fleet.set_faults(fleet.platform, down=True)
    body = {"model": SERVICE, "prompt": "a lake", "max_tokens": 3}
    assert call(first.callers, "POST", "/v1/completions", body)[0] == 200
    status, refused = fleet.submit(second, 7, key="while-down")
    assert status == 503 and refused["error"]["not_run"] is True
    fleet.set_faults(fleet.platform, lose_answers=0.3)
    status, retried = fleet.submit(second, 7, key="while-down")
    while status != 200:
        status, retried = fleet.submit(second, 7, key="while-down")
    fleet.set_faults(fleet.platform)
    fleet.wait_completed(first, job["id"])
    fleet.wait_completed(first, retried["id"])
    assert len(set(fleet.result_names(second, retried["id"]))) == 7


def test_a_daemon_stopped_under_load_cuts_no_stream(fleet: Fleet) -> None:
    targets = tuple(daemon.callers for daemon in fleet.daemons.values())
    reports: list[LoadReport] = []
    plan = LoadPlan(targets, SERVICE, 8, 30, 12, 1.0)
    load = threading.Thread(target=lambda: reports.append(run_load(plan)))
    load.start()
    daemon = fleet.daemons["daemon-0"]
    daemon.signal(signal.SIGTERM)
    assert daemon.process.wait(timeout=60) == 0
    load.join()
    assert reports[0].errors == []
    assert reports[0].completed == 8 * 12


def test_requests_are_served_while_an_engine_is_leaving(fleet: Fleet) -> None:
    name, address = next(iter(fleet.engines.items()))
    call(address, "POST", "/v1/leave")
    daemon = fleet.daemons["daemon-0"]
    body = {"model": SERVICE, "prompt": "a lake", "max_tokens": 3}
    for _ in range(8):
        assert call(daemon.callers, "POST", "/v1/completions", body)[0] == 200
    status = json.loads(call(daemon.operators, "GET", "/status")[1])
    assert [e["is_leaving"] for e in status["engines"] if e["name"] == name] == [True]


def test_the_work_of_a_disconnected_caller_is_cancelled(fleet: Fleet) -> None:
    daemon = fleet.daemons["daemon-0"]
    connection = http.client.HTTPConnection(daemon.callers.host, daemon.callers.port, timeout=60)
    body = {"model": SERVICE, "prompt": "long", "max_tokens": 60_000, "stream": True}
    connection.request("POST", "/v1/completions", json.dumps(body))
    response = connection.getresponse()
    assert response.readline().startswith(b"data: ")
    wait_until(lambda: running(fleet) == 1, "the request shows in the load report, which lags")
    response.close()
    connection.close()
    wait_until(lambda: running(fleet) == 0, "the engine's work is cancelled")


def running(fleet: Fleet) -> int:
    loads = [json.loads(call(a, "GET", "/v1/load")[1]) for a in fleet.engines.values()]
    return sum(int(load["running_online"]) + int(load["waiting_online"]) for load in loads)


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("/v1/completions", b"{", 400),
        ("/v1/completions", b'{"model": "unknown", "prompt": "p"}', 404),
        ("/v1/nothing", b"{}", 404),
    ],
)
def test_invalid_calls_are_refused_as_not_run(
    fleet: Fleet, path: str, body: bytes, status: int
) -> None:
    daemon = fleet.daemons["daemon-0"]
    actual, answer = call(daemon.callers, "POST", path, body)
    assert actual == status
    assert json.loads(answer)["error"]["not_run"] is True


def test_a_half_sent_request_changes_nothing(fleet: Fleet) -> None:
    daemon = fleet.daemons["daemon-0"]
    with socket.create_connection((daemon.callers.host, daemon.callers.port)) as half:
        half.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{")
        body = {"model": SERVICE, "prompt": "a lake", "max_tokens": 3}
        assert call(daemon.callers, "POST", "/v1/completions", body)[0] == 200
    assert running(fleet) == 0


def test_every_daemon_applies_a_published_configuration(fleet: Fleet) -> None:
    first, second = fleet.daemons.values()

    def publish(daemon: Address, name: str, base: int, value: object) -> dict[str, object]:
        change = {"path": "root", "key": "require_api_key", "value": value}
        body = {"publication_id": name, "author": "a", "message": "", "base_version": base}
        status, answer = call(daemon, "POST", "/configuration", {**body, "changes": [change]})
        assert status == 200
        return dict(json.loads(answer))

    assert publish(first.operators, "p1", 0, True)["accepted"] is True
    assert publish(second.operators, "p2", 0, False)["accepted"] is False
    assert publish(second.operators, "p3", 0, "maybe")["accepted"] is False
    body = {"model": SERVICE, "prompt": "a lake", "max_tokens": 3}
    for daemon in (first, second):
        wait_until(
            lambda target=daemon: call(target.callers, "POST", "/v1/completions", body)[0] == 401,  # type: ignore[misc]
            "the key is required",
        )
