"""Requests and jobs through separate processes, also while a daemon is killed or stopped."""

import json
import os
import signal
from collections.abc import Iterator

import pytest

from tests.standalone.system.fleet import SERVICE, Fleet, call, wait_until
from troutswitch.standalone.standins.engine import token_text


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    new_fleet = Fleet()
    try:
        yield new_fleet.start()
    finally:
        new_fleet.stop()


def test_an_online_request_and_a_batch_job_are_answered(fleet: Fleet) -> None:
    first, second = fleet.daemons.values()
    body = {"model": SERVICE, "prompt": "a lake", "max_tokens": 5}
    status, answer = call(first.callers, "POST", "/v1/completions", body)
    assert status == 200
    expected = "".join(token_text("a lake", position) for position in range(5))
    assert json.loads(answer)["choices"][0]["text"] == expected

    status, job = fleet.submit(first, 20, key="album-7")
    assert status == 200
    status, resent = fleet.submit(second, 20, key="album-7")
    assert (status, resent["id"]) == (200, job["id"])
    status, refused = fleet.submit(second, 21, key="album-7")
    assert status == 409
    assert refused["error"]["not_run"] is True
    fleet.wait_completed(second, job["id"])
    names = fleet.result_names(second, job["id"])
    assert sorted(names) == sorted(f"item-{number}" for number in range(20))


def test_a_killed_owner_loses_and_duplicates_no_results(fleet: Fleet) -> None:
    first, second = fleet.daemons.values()
    status, job = fleet.submit(first, 300)
    assert status == 200
    wait_until(lambda: fleet.job(second, job["id"])["request_counts"]["completed"] > 10, "some")
    os.kill(first.process.pid, signal.SIGKILL)
    fleet.wait_completed(second, job["id"])
    names = fleet.result_names(second, job["id"])
    assert sorted(names) == sorted(f"item-{number}" for number in range(300))


def test_a_planned_stop_exits_with_zero_and_hands_the_job_over(fleet: Fleet) -> None:
    first, second = fleet.daemons.values()
    status, job = fleet.submit(first, 100)
    assert status == 200
    first.signal(signal.SIGTERM)
    assert first.process.wait(timeout=60) == 0
    fleet.wait_completed(second, job["id"])
    assert len(set(fleet.result_names(second, job["id"]))) == 100
