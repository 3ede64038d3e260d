"""Logs show which configuration a daemon and a request used, and why engines were excluded.

Without these lines, incidents cannot be explained afterwards.
"""

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, engine
from tests.worlds.gateway_world import GatewayWorld
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.routes import ConfigurationSource
from troutswitch.decisions.gateway_interface import GatewayInstruction
from troutswitch.outcomes import AttemptOutcome


class LoggingWorld(GatewayWorld):
    """Records the log lines of each daemon."""

    def __init__(self, seed: int) -> None:
        self.lines: dict[str, list[LogLine]] = {}
        super().__init__(seed)

    def carry_out(self, daemon, instruction: GatewayInstruction) -> None:  # type: ignore[no-untyped-def]
        if isinstance(instruction, LogLine):
            self.lines.setdefault(daemon.name, []).append(instruction)
        super().carry_out(daemon, instruction)

    def fields_of(self, daemon: str, event: str) -> list[dict[str, object]]:
        return [line.fields for line in self.lines[daemon] if line.event == event]


def test_source_of_each_configuration_is_logged() -> None:
    world = LoggingWorld(1)
    world.run(3.0)
    world.publish(2)
    world.run(1.0)
    world.daemons["daemon-0"].is_cut_from_store = True
    world.run(2.0)
    world.publish(3)
    world.run(2.0)
    rows = world.fields_of("daemon-0", "configuration in force")
    assert [row["learnt_by"] for row in rows] == ["start", "store", "peer"]
    assert [row["replaced_version"] for row in rows] == [-1, 1, 2]
    assert rows[2]["peer"] in {f"10.0.1.{number}" for number in (2, 3, 4)}
    (failed,) = world.fields_of("daemon-0", "configuration read failed")
    assert (failed["version"], failed["learnt_by"]) == (2, "store")
    world.daemons["daemon-0"].is_cut_from_store = False
    world.run(2.0)
    (again,) = world.fields_of("daemon-0", "configuration read again")
    assert again["version"] == 3
    assert int(str(again["failing_ms"])) > 3000


def test_configuration_age_grows_while_neither_store_nor_peers_answer() -> None:
    world = GatewayWorld(1)
    world.run(3.0)
    core = world.daemons["daemon-0"].core
    assert core.configuration.age(world.now) < 1.0
    world.faults.is_down = True
    world.run(3.0)
    assert core.configuration.age(world.now) > 3.0


def test_peer_without_a_newer_configuration_confirms_the_active_one() -> None:
    world = GatewayWorld(1)
    world.run(3.0)
    core = world.daemons["daemon-0"].core
    world.daemons["daemon-0"].is_cut_from_store = True
    world.run(5.0)
    assert core.configuration.age(world.now) < 2.0


def lines(instructions: list[object], event: str) -> list[dict[str, object]]:
    return [i.fields for i in instructions if isinstance(i, LogLine) and i.event == event]


def test_request_logs_its_admitted_version_and_the_active_version() -> None:
    world = ForwardingHarness(engines=1)
    world.routes.confirm(9.5)
    (row,) = lines(list(world.requests.on_arrived(10.0, arrival(1))), "request sent")
    assert row["admitted_version"] == row["configuration_version"] == 1
    assert row["configuration_age_ms"] == 500
    assert row["learnt_by"] == ConfigurationSource.STORE.value


def test_accepted_job_logs_the_active_version() -> None:
    world = LoggingWorld(1)
    world.run(3.0)
    world.hand_in("job", 2)
    world.run(1.0)
    rows = [row for name in world.lines for row in world.fields_of(name, "job submission ended")]
    assert [row["configuration_version"] for row in rows] == [1]


def test_request_without_a_usable_engine_logs_why_each_engine_was_excluded() -> None:
    world = ForwardingHarness(engines=0)
    world.engines.on_list(0.0, [engine("drains", draining=True), engine("goes"), engine("fails")])
    world.engines.on_list(1.0, [engine("drains", draining=True), engine("fails")])
    world.engines.unusable_entries = {"odd": "no address"}
    (sent,) = [world.arrive(1.0, arrival(1))]
    assert sent.engine_id == "fails"  # type: ignore[union-attr]
    world.engines.on_list(2.0, [engine("drains", draining=True)])
    instructions = world.requests.on_arrived(2.0, arrival(2))
    (row,) = lines(list(instructions), "request given up")
    assert row["engines_left_out"] == {
        "drains": "draining",
        "fails": "not listed",
        "odd": "no address",
    }
    world.end(2.1, sent, AttemptOutcome.CUT)  # type: ignore[arg-type]
