"""The gateway core passes each event to the part that handles it."""

from dataclasses import replace

import pytest

from tests.simulation.fleet import Daemon, SimulatedFleet
from tests.simulation.plain_formats import SERVICE
from troutswitch.common import Address
from troutswitch.decisions.active_configuration import CONFIGURATION_WAIT_SHARE
from troutswitch.decisions.engine_membership import ENGINE_LIST_SHARE
from troutswitch.decisions.forwarding.fleet_retry_credit import FLEET_RETRY_CREDIT
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.gateway_interface import GatewayEvent, GatewayInstruction
from troutswitch.decisions.gateway_messages import BoundsChanged, IdleConnectionsLimited, TimerFired
from troutswitch.decisions.jobs.messages import ItemBegun
from troutswitch.decisions.limits import USUAL_CREDIT
from troutswitch.decisions.peers.heartbeats import Peer
from troutswitch.decisions.read_intervals import READS_SHARE
from troutswitch.decisions.slots.messages import HealthAnswered, HealthResult

START_SECONDS = 3.0
AFTER_START_SECONDS = 0.3


def waiting_prefill(daemon: Daemon) -> int:
    return sum(engine.prefill_tokens for engine in daemon.core.engines.engines.values())


def test_item_that_has_begun_no_longer_counts_as_waiting_prefill() -> None:
    fleet = SimulatedFleet(1)
    fleet.run(START_SECONDS)
    fleet.submit_job("job", 3, tokens=1000)
    for _ in range(40):
        fleet.run(0.05)
        owner = next((d for d in fleet.daemons.values() if d.core.jobs.owner.runs), None)
        if owner is not None:
            break
    assert owner is not None
    fleet.run(AFTER_START_SECONDS)
    assert owner.core.jobs.owner.runs
    assert all(run.has_first_token for run in owner.core.jobs.owner.runs.values())
    assert waiting_prefill(owner) == 0


def test_unhandled_event_type_is_an_error() -> None:
    fleet = SimulatedFleet(1)
    daemon = next(iter(fleet.daemons.values()))
    with pytest.raises(AssertionError, match="unreachable"):
        daemon.core.step(0.0, object())  # type: ignore[arg-type]


def test_event_of_an_unknown_run_is_ignored() -> None:
    fleet = SimulatedFleet(1)
    fleet.run(START_SECONDS)
    daemon = next(iter(fleet.daemons.values()))
    daemon.core.step(START_SECONDS, ItemBegun(999))
    assert waiting_prefill(daemon) == 0


def test_changed_bounds_apply_immediately() -> None:
    fleet = SimulatedFleet(1)
    core = next(iter(fleet.daemons.values())).core
    core.step(0.0, BoundsChanged(drain_bound=1.0, apply_bound=4.0, job_retention=60.0))
    assert core.membership.reader.interval == ENGINE_LIST_SHARE * 1.0
    assert core.configuration.follower.wait == CONFIGURATION_WAIT_SHARE * 4.0
    assert core.jobs.retention.job_kept == 60.0


def test_reads_slow_down_only_in_a_fleet_that_would_exceed_the_store_s_read_bound() -> None:
    fleet = SimulatedFleet(1)
    core = next(iter(fleet.daemons.values())).core
    core.identity = replace(core.identity, store_reads_per_second=2000.0)
    for peers in (10, 300):
        address = Address("10.0.9.9", 7)
        core.peers.peers = {f"p-{n}": Peer(address, "z", 0.0) for n in range(peers)}
        core.step(0.0, TimerFired())
        read_every = max(core.membership.reader.interval, core.membership.reader.min_interval)
        assert peers / read_every <= READS_SHARE * 2000.0
        assert read_every < core.identity.drain_bound / 2
    assert core.membership.reader.min_interval > core.membership.reader.interval
    assert core.jobs.replicas.index_follower.min_interval == core.membership.reader.min_interval


def test_size_of_the_fleet_limits_idle_connections_and_retries_of_a_paced_service() -> None:
    fleet = SimulatedFleet(1)
    fleet.run(START_SECONDS)
    core = next(iter(fleet.daemons.values())).core
    assert core.requests.retry_credit.limits(SERVICE) == USUAL_CREDIT
    core.peers.peers = {f"p-{n}": Peer(Address("10.0.9.9", 7), "z", 0.0) for n in range(64)}
    name = min(core.engines.engines)
    instructions = core.step(START_SECONDS, HealthAnswered(name, HealthResult.PACE, 120))
    assert core.requests.retry_credit.limits(SERVICE).start == FLEET_RETRY_CREDIT / 65
    (limited,) = [i for i in instructions if isinstance(i, IdleConnectionsLimited)]
    assert {engine_id for engine_id, _ in limited.limits} == set(core.engines.engines)
    lines = [i for i in instructions if isinstance(i, LogLine)]
    (line,) = [i for i in lines if i.event == "idle connections limited"]
    assert line.fields["daemons"] == 65
    assert line.fields["engines"] == len(core.engines.engines)


def test_health_answer_updates_the_engine_and_is_logged() -> None:
    fleet = SimulatedFleet(1)
    fleet.run(START_SECONDS)
    core = next(iter(fleet.daemons.values())).core
    name = min(core.engines.engines)
    instructions = core.step(START_SECONDS, HealthAnswered(name, HealthResult.PACE, 120))
    assert core.engines.engines[name].pace.percent == 120
    (line,) = [i for i in instructions if isinstance(i, LogLine)]
    assert (line.event, line.fields["result"]) == ("engine health answered", "pace")


def record_sent_items(daemon: Daemon, sent: list[LogLine]) -> None:
    """Adds the lines about items that a daemon sends from now on to `sent`."""
    step = daemon.core.step

    def recording_step(now: float, event: GatewayEvent) -> list[GatewayInstruction]:
        instructions = step(now, event)
        sent.extend(i for i in instructions if isinstance(i, LogLine) and i.event == "item sent")
        return instructions

    daemon.core.step = recording_step  # type: ignore[method-assign]


def test_items_of_paced_services_are_logged_with_the_factor_and_its_source() -> None:
    fleet = SimulatedFleet(1)
    fleet.run(START_SECONDS)
    sent: list[LogLine] = []
    for daemon in fleet.daemons.values():
        record_sent_items(daemon, sent)
    fleet.submit_job("unpaced", 1, tokens=100)
    fleet.run(3.0)
    assert sent
    assert "factor_source" not in sent[0].fields
    sent.clear()
    for daemon in fleet.daemons.values():
        for name in sorted(daemon.core.engines.engines):
            fleet.step(daemon, HealthAnswered(name, HealthResult.PACE, 120))
    fleet.run(1.0)
    fleet.submit_job("paced", 1, tokens=100)
    fleet.run(3.0)
    assert sent[0].fields["factor_source"] == "average"
    assert sent[0].fields["time_factor"] == 1.2
    assert sent[0].fields["relative_factor"] == 1.0
