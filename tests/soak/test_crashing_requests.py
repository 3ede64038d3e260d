"""All daemons refuse a request that crashed several engines, also after a restart.

Guards against a request that crashes one engine after another because its caller retries at other
daemons. tests/proofs/test_crashes.py proves the decisions on virtual time; this test runs real
processes, with sockets, store records, datagrams, port checks and process exits.
"""

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from troutswitch.decisions.crashes.causes import CONCLUSIVE_CRASHES, CRASHES_TO_REFUSE
from troutswitch.soak.crashing_requests import CrashingRequestCaller, is_refused
from troutswitch.soak.fault_injector import FaultInjector
from troutswitch.soak.fleet import Fleet
from troutswitch.soak.observations import read_journal
from troutswitch.soak.schedule import FaultSchedule

TIMEOUT_SECONDS = 90.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    running_fleet = Fleet(tmp_path, 1, daemons=2, engines=4)
    try:
        running_fleet.start()
        yield running_fleet
    finally:
        running_fleet.stop()


def wait_for(fault_injector: FaultInjector, what: str, condition: Callable[[], bool]) -> None:
    """Waits for a condition while the fault injector restarts processes that exited."""
    until = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < until, what
        fault_injector.tick()
        time.sleep(0.02)


def crash_count(fleet: Fleet) -> int:
    return sum(
        entry.kind == "ended under"
        for engine in fleet.engines
        for entry in read_journal(engine.journal)
    )


def expect_refusals(fleet: Fleet, fault_injector: FaultInjector) -> None:
    for endpoint in fleet.direct_endpoints():
        caller = CrashingRequestCaller(0, [endpoint], fleet.observations)
        wait_for(
            fault_injector,
            f"{endpoint.daemon} does not refuse it",
            lambda caller=caller: is_refused(caller.send()),  # type: ignore[misc]
        )


def test_all_daemons_refuse_a_request_that_crashed_three_engines_also_after_a_restart(
    fleet: Fleet,
) -> None:
    fault_injector = FaultInjector(fleet, FaultSchedule(1, 0.0, ()))
    expect_refusals(fleet, fault_injector)
    crashes = crash_count(fleet)
    assert CRASHES_TO_REFUSE <= crashes <= CONCLUSIVE_CRASHES
    incarnations = [daemon.child.incarnation for daemon in fleet.daemons]
    for daemon in fleet.daemons:
        daemon.child.signal(signal.SIGKILL)
    wait_for(
        fault_injector,
        "the daemons did not restart",
        lambda: all(
            daemon.child.incarnation > incarnation and daemon.is_ready()
            for daemon, incarnation in zip(fleet.daemons, incarnations, strict=True)
        ),
    )
    expect_refusals(fleet, fault_injector)
    assert crash_count(fleet) <= CONCLUSIVE_CRASHES
