"""Logs show which configuration a daemon and a request used, and why engines were excluded.

Without these lines, incidents cannot be explained afterwards.
"""

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, engine
from tests.simulation.fleet import SimulatedFleet
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.routes import ConfigurationSource
from troutswitch.decisions.gateway_interface import GatewayInstruction
from troutswitch.outcomes import AttemptOutcome


class LoggingFleet(SimulatedFleet):
    """Records the log lines of each daemon."""

    def __init__(self, seed: int) -> None:
        self.lines: dict[str, list[LogLine]] = {}
        super().__init__(seed)

    def execute(self, daemon, instruction: GatewayInstruction) -> None:  # type: ignore[no-untyped-def]
        if isinstance(instruction, LogLine):
            self.lines.setdefault(daemon.name, []).append(instruction)
        super().execute(daemon, instruction)

    def fields_of(self, daemon: str, event: str) -> list[dict[str, object]]:
        return [line.fields for line in self.lines[daemon] if line.event == event]


def test_source_of_each_configuration_is_logged() -> None:
    fleet = LoggingFleet(1)
    fleet.run(3.0)
    fleet.publish(2)
    fleet.run(1.0)
    fleet.daemons["daemon-0"].is_partitioned_from_store = True
    fleet.run(2.0)
    fleet.publish(3)
    fleet.run(2.0)
    rows = fleet.fields_of("daemon-0", "configuration in force")
    assert [row["learnt_by"] for row in rows] == ["start", "store", "peer"]
    assert [row["replaced_version"] for row in rows] == [-1, 1, 2]
    assert rows[2]["peer"] in {f"10.0.1.{number}" for number in (2, 3, 4)}
    (failed,) = fleet.fields_of("daemon-0", "configuration read failed")
    assert (failed["version"], failed["learnt_by"]) == (2, "store")
    fleet.daemons["daemon-0"].is_partitioned_from_store = False
    fleet.run(2.0)
    (again,) = fleet.fields_of("daemon-0", "configuration read again")
    assert again["version"] == 3
    assert int(str(again["failing_ms"])) > 3000


def test_configuration_age_grows_while_neither_store_nor_peers_answer() -> None:
    fleet = SimulatedFleet(1)
    fleet.run(3.0)
    core = fleet.daemons["daemon-0"].core
    assert core.configuration.age(fleet.now) < 1.0
    fleet.faults.is_down = True
    fleet.run(3.0)
    assert core.configuration.age(fleet.now) > 3.0


def test_peer_without_a_newer_configuration_confirms_the_active_one() -> None:
    fleet = SimulatedFleet(1)
    fleet.run(3.0)
    core = fleet.daemons["daemon-0"].core
    fleet.daemons["daemon-0"].is_partitioned_from_store = True
    fleet.run(5.0)
    assert core.configuration.age(fleet.now) < 2.0


def lines(instructions: list[object], event: str) -> list[dict[str, object]]:
    return [i.fields for i in instructions if isinstance(i, LogLine) and i.event == event]


def test_request_logs_its_admitted_version_and_the_active_version() -> None:
    fleet = ForwardingHarness(engines=1)
    fleet.routes.confirm(9.5)
    (row,) = lines(list(fleet.requests.on_arrived(10.0, arrival(1))), "request sent")
    assert row["admitted_version"] == row["configuration_version"] == 1
    assert row["configuration_age_ms"] == 500
    assert row["learnt_by"] == ConfigurationSource.STORE.value


def test_accepted_job_logs_the_active_version() -> None:
    fleet = LoggingFleet(1)
    fleet.run(3.0)
    fleet.submit_job("job", 2)
    fleet.run(1.0)
    rows = [row for name in fleet.lines for row in fleet.fields_of(name, "job submission ended")]
    assert [row["configuration_version"] for row in rows] == [1]


def test_request_without_a_usable_engine_logs_why_each_engine_was_excluded() -> None:
    fleet = ForwardingHarness(engines=0)
    fleet.engines.on_list(0.0, [engine("drains", draining=True), engine("goes"), engine("fails")])
    fleet.engines.on_list(1.0, [engine("drains", draining=True), engine("fails")])
    fleet.engines.unusable_entries = {"odd": "no address"}
    (sent,) = [fleet.arrive(1.0, arrival(1))]
    assert sent.engine_id == "fails"  # type: ignore[union-attr]
    fleet.engines.on_list(2.0, [engine("drains", draining=True)])
    instructions = fleet.requests.on_arrived(2.0, arrival(2))
    (row,) = lines(list(instructions), "request given up")
    assert row["engines_left_out"] == {
        "drains": "draining",
        "fails": "not listed",
        "odd": "no address",
    }
    fleet.end(2.1, sent, AttemptOutcome.CUT)  # type: ignore[arg-type]
