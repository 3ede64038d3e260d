"""Submissions whose content takes long to store, while the index or the configuration changes."""

from dataclasses import replace

import pytest

from tests.simulation.fleet import Daemon, SimulatedFleet
from tests.simulation.plain_formats import HOST, PREFIX, PlainFormats
from troutswitch.decisions.jobs.messages import (
    JobAccepted,
    JobAnswer,
    JobEnded,
    JobEndRequested,
    JobRefused,
    JobSubmitted,
    RunItem,
)
from troutswitch.decisions.jobs.records import INDEX, SHARD_TOPIC, JobItem, shard_of
from troutswitch.decisions.jobs.retention import MIN_ORPHAN_AGE_SECONDS
from troutswitch.decisions.storage.messages import AppendRecords, CallFailed, StoreCall
from troutswitch.decisions.tenants.types import Tenant, key_digest
from troutswitch.soak.manifest_checks import unfounded_manifests

SLOW_SECONDS = 1.5
OURS = key_digest("ours")
TOKENS = 100


class SlowStoreFleet(SimulatedFleet):
    """Daemons of which one stores the content of jobs slowly, or its manifests not at once."""

    def __init__(self, max_queued_tokens: int = 0) -> None:
        self.slow_daemon = ""
        self.refused_manifests = 0
        """Number of manifests of the slow daemon that the store refuses from now on."""
        self.runs: list[str] = []
        self.bodies: set[bytes] = set()
        """Bodies of the items that ran."""
        tenants = (Tenant("ours", frozenset({OURS})),)
        super().__init__(1, daemons=3, max_queued_tokens=max_queued_tokens, tenants=tenants)
        self.run(3.0)
        self.slow_daemon = "daemon-0"

    def store_seconds(self, daemon: Daemon, call: StoreCall) -> float:
        is_content = isinstance(call, AppendRecords) and call.partition.topic == SHARD_TOPIC
        if is_content and daemon.name == self.slow_daemon:
            return SLOW_SECONDS
        return super().store_seconds(daemon, call)

    def _call_store(self, daemon: Daemon, call: StoreCall) -> None:
        is_manifest = isinstance(call, AppendRecords) and call.partition == INDEX
        if is_manifest and daemon.name == self.slow_daemon and self.refused_manifests:
            self.refused_manifests -= 1
            self._answer(daemon, call.call, CallFailed("busy", False), SLOW_SECONDS)
            return
        super()._call_store(daemon, call)

    def run_item(self, daemon: Daemon, run: RunItem) -> None:
        self.runs.append(run.item.item_id)
        self.bodies.add(run.item.body)

    def submit(
        self,
        daemon: str,
        job_id: str,
        body: bytes = b"body",
        tokens: int = TOKENS,
        time_left: float = 8.0,
    ) -> list[JobAnswer]:
        """Submits a job of one item at a daemon; returns the list that the answer is added to."""
        items = (JobItem(f"{job_id}-0", f"{PREFIX}0", (), body, tokens),)
        digest = body.hex()
        event = JobSubmitted(
            self.next_token(), job_id, HOST, PREFIX, items, digest, time_left, OURS
        )
        answers: list[JobAnswer] = []
        self.ask(self.daemons[daemon], event, answers.append)
        return answers

    def publish_changed(self, change: str) -> None:
        """Puts a configuration in force without the route, with a lower limit or another key."""
        first = self.formats.configuration("configuration", b"1")
        assert first is not None and isinstance(self.formats, PlainFormats)
        if change == "route removed":
            changed = replace(first, routes=())
        elif change == "limit lowered":
            changed = replace(first, routes=(replace(first.routes[0], max_queued_tokens=50),))
        else:
            changed = replace(first, tenants=(Tenant("ours", frozenset({key_digest("new")})),))
        self.formats.changed[2] = changed
        self.publish(2)

    def end(self, daemon: str, job_id: str) -> list[JobAnswer]:
        event = JobEndRequested(self.next_token(), job_id, 4.0, OURS)
        answers: list[JobAnswer] = []
        self.ask(self.daemons[daemon], event, answers.append)
        return answers


@pytest.mark.parametrize("refused_manifests", [0, 1])
def test_an_ended_job_is_not_opened_by_a_submission_of_it_that_was_being_stored(
    refused_manifests: int,
) -> None:
    """Guards against a second manifest, which undoes the end that was acknowledged."""
    fleet = SlowStoreFleet()
    fleet.refused_manifests = refused_manifests
    late = fleet.submit("daemon-0", "job")
    fleet.run(SLOW_SECONDS + 0.1 if refused_manifests else 0.1)
    first = fleet.submit("daemon-1", "job")
    fleet.run(0.3)
    ended = fleet.end("daemon-2", "job")
    fleet.run(0.3)
    assert (first, ended) == ([JobAccepted()], [JobEnded()])
    fleet.runs.clear()
    fleet.run(2 * SLOW_SECONDS + 2.0)
    assert late == [JobAccepted()]
    assert unfounded_manifests(fleet.store.log(INDEX).records) == []
    assert fleet.runs == []


@pytest.mark.parametrize("refused_manifests", [0, 1])
def test_a_job_that_no_longer_fits_after_its_content_was_stored_is_refused(
    refused_manifests: int,
) -> None:
    """Guards against more queued tokens than the limit allows while the store is slow."""
    fleet = SlowStoreFleet(max_queued_tokens=150)
    fleet.refused_manifests = refused_manifests
    late = fleet.submit("daemon-0", "late")
    fleet.run(SLOW_SECONDS + 0.1 if refused_manifests else 0.1)
    assert_accepted(fleet, "daemon-1", "other")
    fleet.run(2 * SLOW_SECONDS + 1.0)
    assert [type(answer) for answer in late] == [JobRefused]
    assert isinstance(late[0], JobRefused) and late[0].status == 429
    assert unfounded_manifests(fleet.store.log(INDEX).records, 150) == []


@pytest.mark.parametrize(
    ("change", "status"),
    [("route removed", 404), ("limit lowered", 429), ("key revoked", 401)],
)
def test_a_job_is_refused_by_the_configuration_that_came_while_it_was_stored(
    change: str, status: int
) -> None:
    """Guards against a 202 for a job that the configuration in force does not allow."""
    fleet = SlowStoreFleet(max_queued_tokens=150)
    late = fleet.submit("daemon-0", "late")
    fleet.run(0.1)
    fleet.publish_changed(change)
    fleet.run(2 * SLOW_SECONDS + 1.0)
    assert isinstance(late[0], JobRefused) and late[0].status == status
    assert unfounded_manifests(fleet.store.log(INDEX).records) == []
    assert fleet.runs == []


def test_a_job_is_not_accepted_after_its_callers_deadline() -> None:
    fleet = SlowStoreFleet()
    late = fleet.submit("daemon-0", "late", time_left=SLOW_SECONDS + 0.25)
    fleet.run(2 * SLOW_SECONDS)
    assert isinstance(late[0], JobRefused) and late[0].status == 503
    assert not any(record.key == "j:late" for record in fleet.store.log(INDEX).records)


def test_an_accepted_job_keeps_its_content_though_another_of_its_id_stores_other_content() -> None:
    """Guards against items of a refused submission that run, and are listed, for the accepted one.

    The content of the refused one reaches the store between the other's content and manifest.
    """
    fleet = SlowStoreFleet()
    refused = fleet.submit("daemon-0", "job", b"theirs")
    fleet.run(SLOW_SECONDS / 2 - 0.01)
    accepted = fleet.submit("daemon-1", "job", b"ours")
    fleet.run(3.0)
    assert accepted == [JobAccepted()]
    assert isinstance(refused[0], JobRefused) and refused[0].status == 409
    assert fleet.bodies == {b"ours"}


def test_content_that_is_stored_again_is_not_removed_as_that_of_a_refused_job() -> None:
    """Guards against an accepted job without content, which never runs."""
    fleet = SlowStoreFleet(max_queued_tokens=150)
    refused = fleet.submit("daemon-0", "job")
    fleet.run(0.1)
    others = [f"j{n}" for n in range(50) if shard_of(f"j{n}", 4) == shard_of("job", 4)]
    assert_accepted(fleet, "daemon-1", others[0])
    fleet.run(2 * SLOW_SECONDS + 1.0)
    assert isinstance(refused[0], JobRefused) and refused[0].status == 429
    fleet.end("daemon-1", others[0])
    fleet.run(1.0)
    assert_accepted(fleet, "daemon-1", others[1])  # its owner reads the whole shard
    fleet.end("daemon-1", others[1])
    fleet.run(MIN_ORPHAN_AGE_SECONDS - 2.0)
    fleet.refused_manifests = 6
    again = fleet.submit("daemon-0", "job", time_left=30.0)
    fleet.run(25.0)
    assert again == [JobAccepted()]
    assert "job-0" in fleet.runs


def assert_accepted(fleet: SlowStoreFleet, daemon: str, job_id: str) -> None:
    answers = fleet.submit(daemon, job_id)
    fleet.run(0.3)
    assert answers == [JobAccepted()]
