"""Real daemons before real engines that end under a request: refused by all, also by new lives.

What users saw: one request ended engine after engine, at whichever daemon its caller came again.
The decisions are proved on virtual time (tests/proofs/test_crashes.py); this is the same through
sockets, the store's forms, datagrams, checks of ports and processes that end.
"""

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from troutswitch.decisions.crashes.causes import CONCLUSIVE_CRASHES, CRASHES_TO_REFUSE
from troutswitch.soak.conductor import Conductor
from troutswitch.soak.crashing_requests import EndingCaller, is_refused
from troutswitch.soak.evidence import read_journal
from troutswitch.soak.fleet import Fleet
from troutswitch.soak.schedule import Schedule

PATIENCE_SECONDS = 90.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    held = Fleet(tmp_path, 1, daemons=2, engines=4)
    try:
        held.start()
        yield held
    finally:
        held.stop()


def expect(conductor: Conductor, what: str, condition: Callable[[], bool]) -> None:
    """Waits for a condition while the conductor starts again what has ended."""
    until = time.monotonic() + PATIENCE_SECONDS
    while not condition():
        assert time.monotonic() < until, what
        conductor.tick()
        time.sleep(0.02)


def lives_ended(fleet: Fleet) -> int:
    return sum(
        run.kind == "ended under"
        for engine in fleet.engines
        for run in read_journal(engine.journal)
    )


def expect_refusals(fleet: Fleet, conductor: Conductor) -> None:
    for front in fleet.direct_fronts():
        caller = EndingCaller(0, [front], fleet.evidence)
        expect(
            conductor,
            f"{front.daemon} does not refuse it",
            lambda held=caller: is_refused(held.ask()),  # type: ignore[misc]
        )


def test_all_daemons_refuse_what_ended_three_engines_and_so_do_their_next_lives(
    fleet: Fleet,
) -> None:
    conductor = Conductor(fleet, Schedule(1, 0.0, ()))
    expect_refusals(fleet, conductor)
    ended = lives_ended(fleet)
    assert CRASHES_TO_REFUSE <= ended <= CONCLUSIVE_CRASHES
    incarnations = [daemon.child.incarnation for daemon in fleet.daemons]
    for daemon in fleet.daemons:
        daemon.child.signal(signal.SIGKILL)
    expect(
        conductor,
        "the daemons are not back",
        lambda: all(
            daemon.child.incarnation > incarnation and daemon.is_ready()
            for daemon, incarnation in zip(fleet.daemons, incarnations, strict=True)
        ),
    )
    expect_refusals(fleet, conductor)
    assert lives_ended(fleet) <= CONCLUSIVE_CRASHES
