"""Jobs in fleets of which some daemons read content as those of an earlier version do."""

import pytest

from tests.simulation.fleet import Daemon, SimulatedFleet
from troutswitch.daemons.messages import Heartbeat
from troutswitch.decisions.gateway_interface import GatewayInstruction
from troutswitch.decisions.jobs.content_copies import ContentCopies
from troutswitch.decisions.jobs.records import MAX_CHUNKS, SHARD_TOPIC
from troutswitch.decisions.slots.messages import SendToPeers


class MixedFleet(SimulatedFleet):
    """Daemons of which the first ones read the chunks of all jobs from number 0 on."""

    def __init__(self, seed: int, earlier: int) -> None:
        self.earlier = {f"daemon-{number}" for number in range(earlier)}
        super().__init__(seed, daemons=4)

    def start_daemon(self, name: str, incarnation: int) -> None:
        super().start_daemon(name, incarnation)
        if name in self.earlier:
            jobs = self.daemons[name].core.jobs
            jobs.replicas.index._number_chunks = lambda job_id: None  # type: ignore[method-assign]
            jobs.intake._has_earlier_daemons = lambda now: True  # it stores content for its kind

    def execute(self, daemon: Daemon, instruction: GatewayInstruction) -> None:
        match instruction:
            case SendToPeers(addresses, Heartbeat() as heartbeat) if daemon.name in self.earlier:
                earlier = without_mark(heartbeat)
                super().execute(daemon, SendToPeers(addresses, earlier))
            case _:
                super().execute(daemon, instruction)

    def copied_chunks(self) -> int:
        """Returns the number of chunks that are stored for daemons of an earlier version."""
        logs = (log for part, log in self.store.logs.items() if part.topic == SHARD_TOPIC)
        keys = [key for log in logs for key in log.newest if key.startswith("b:")]
        return sum(int(key.rpartition(":")[2]) < MAX_CHUNKS for key in keys)


def without_mark(heartbeat: Heartbeat) -> Heartbeat:
    return Heartbeat(
        heartbeat.sender,
        heartbeat.zone,
        heartbeat.address,
        heartbeat.incarnation,
        heartbeat.configuration_version,
        heartbeat.claims,
    )


def jobs_done(earlier: int) -> tuple[MixedFleet, list[str]]:
    """Returns a fleet after twelve jobs, and the jobs that are not done."""
    fleet = MixedFleet(3, earlier)
    fleet.run(5.0)
    for number in range(12):
        fleet.submit_job(f"job-{number}", 3)
    fleet.run(30.0)
    assert all(job.accepted_at < float("inf") for job in fleet.jobs.values())
    return fleet, fleet.unfinished_jobs()


@pytest.mark.parametrize("earlier", [1, 3])
def test_owners_of_an_earlier_version_run_the_jobs_that_others_accept(earlier: int) -> None:
    fleet, unfinished = jobs_done(earlier)
    assert unfinished == []
    assert fleet.violations == []
    assert fleet.copied_chunks()


def test_content_is_stored_once_where_all_daemons_read_it_by_its_digest() -> None:
    fleet, unfinished = jobs_done(earlier=0)
    fleet.run(30.0)
    fleet.submit_job("last", 3)
    fleet.run(10.0)
    assert unfinished == fleet.unfinished_jobs() == []
    assert fleet.copied_chunks() == 0


def test_without_copies_owners_of_an_earlier_version_do_not_run_jobs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ContentCopies, "start", lambda *arguments: None)
    _, unfinished = jobs_done(earlier=1)
    assert unfinished
