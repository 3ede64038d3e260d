"""Metrics and log lines show which missing engines stay in use, and how requests end."""

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, engine
from tests.simulation.fleet import SimulatedFleet
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.messages import CallerGone, LogLine


def test_registry_lists_the_missing_engines_that_it_keeps_in_use() -> None:
    registry = EngineRegistry()
    registry.on_list(0.0, [engine("a"), engine("b")])
    assert registry.kept_missing == set()
    registry.on_list_failed(2.0)
    registry.on_list(3.0, [engine("b")])
    assert registry.kept_missing == {"a"}
    registry.on_list(6.0, [engine("b")])
    assert registry.kept_missing == set()


def test_kept_engines_are_logged_once_with_the_age_of_the_failed_reading() -> None:
    fleet = SimulatedFleet(1)
    fleet.run(3.0)
    core = fleet.daemons["daemon-0"].core
    core.engines.on_list_failed(fleet.now + 4.0)
    core.output.take()
    core.membership._apply_list(fleet.now, fleet.now + 5.0, [], "")
    core.membership._apply_list(fleet.now, fleet.now + 5.5, [], "")
    lines = [i for i in core.output.take() if isinstance(i, LogLine)]
    fields = [line.fields for line in lines if line.event == "missing engines kept"]
    assert len(fields) == 1
    assert fields[0]["reading_failed_ms"] == 1000
    assert fields[0]["engines"] == ["server-0", "server-1", "server-2"]


def test_log_lines_of_a_gone_caller_have_the_time_left_and_the_state() -> None:
    harness = ForwardingHarness()
    harness.arrive(0.0, arrival(1, time_left=4.0))
    instructions = harness.requests.on_caller_gone(1.0, CallerGone(1, 0.9))
    lines = {i.event: i.fields for i in instructions if isinstance(i, LogLine)}
    assert set(lines) == {"caller gone", "request given up"}
    assert lines["request given up"]["time_left_ms"] == 3000
    assert (lines["caller gone"]["state"], lines["caller gone"]["close_age_ms"]) == ("sent", 100)
