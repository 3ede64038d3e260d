"""Lists engines of a further version while some daemons are out of step, and callers resume.

The daemons out of step hear each other over disturbed links, or not at all, and the store's links
to them are silent. Callers leave streams after some events and resume them at random daemons.
"""

import random
import signal
import time
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from troutswitch.soak.checks import find_violations
from troutswitch.soak.datagram_links import DatagramFaults
from troutswitch.soak.fleet import Daemon
from troutswitch.soak.load_kinds import LoadKind
from troutswitch.soak.observations import read_journal
from troutswitch.soak.restarted_fleet import RestartedFleet
from troutswitch.soak.resuming_callers import ResumingCallers
from troutswitch.soak.schedule import LinkFault
from troutswitch.soak.version_checks import StreamCounts, count_streams
from troutswitch.soak.violations import Violation

CALLER_GROUPS = 3
BEFORE_SECONDS = 1.5
"""Time before a round in which streams are open."""
CUT_BEFORE_LISTING_SECONDS = (0.0, 0.4)
"""Time from the begin of the faults to the listing, about as long as daemons take to read lists."""
ROUND_SECONDS = (5.0, 7.0)
"""Time for which daemons are out of step: streams begin at a version some seconds after it is
listed."""
AFTER_SECONDS = 2.0
"""Time after a round in which streams are resumed at the daemons that were out of step."""
BAD_DATAGRAMS = DatagramFaults(0.5, 0.3, 3.0)


class Disturbance(StrEnum):
    """How some daemons are out of step, besides that the store is silent for them."""

    SPLIT = "split"
    """They hear each other, and not the rest."""
    UNHEARING = "unhearing"
    """They are heard, and hear each other alone."""
    UNHEARD = "unheard"
    """They hear the rest, which does not hear them."""
    BAD_DATAGRAMS = "bad datagrams"
    """Datagrams on all links are lost, delayed, doubled and reordered."""
    PAUSED = "paused"
    """They stand still, and the store is not silent."""


@dataclass(frozen=True, slots=True)
class OutOfStepResults:
    """What came of the streams of a play; `joined` has those that went on at another version."""

    counts: StreamCounts
    joined: tuple[Violation, ...]


class OutOfStepFleet(RestartedFleet):
    """A fleet in which some daemons are out of step during releases."""

    def __init__(self, folder: Path, seed: int, daemons: int, engines: int) -> None:
        super().__init__(folder, seed, daemons, engines, frozenset({LoadKind.DATAGRAMS}))
        self.play_rng = random.Random(f"out-of-step-{seed}")

    def play_round(self, disturbance: Disturbance, odd_daemons: int) -> None:
        """Has a release while some daemons are out of step; all engines stay in service."""
        self.prepare_release()
        time.sleep(BEFORE_SECONDS)
        odd = self.play_rng.sample(self.daemons, odd_daemons)
        self._disturb(disturbance, odd)
        time.sleep(self.play_rng.uniform(*CUT_BEFORE_LISTING_SECONDS))
        self.list_next()
        time.sleep(self.play_rng.uniform(*ROUND_SECONDS))
        self._heal(odd)
        time.sleep(AFTER_SECONDS)

    def _disturb(self, disturbance: Disturbance, odd: list[Daemon]) -> None:
        assert self.datagrams is not None
        names = [daemon.child.name for daemon in odd]
        others = [d.child.name for d in self.daemons if d not in odd]
        match disturbance:
            case Disturbance.SPLIT:
                self.datagrams.separate(names)
            case Disturbance.UNHEARING:
                self.datagrams.cut_one_way(others, names)
            case Disturbance.UNHEARD:
                self.datagrams.cut_one_way(names, others)
            case Disturbance.BAD_DATAGRAMS:
                self.datagrams.faults = BAD_DATAGRAMS
            case Disturbance.PAUSED:
                for daemon in odd:
                    daemon.child.signal(signal.SIGSTOP)
                return
        for daemon in odd:
            daemon.store_link.set_fault(LinkFault.SILENT)

    def _heal(self, odd: list[Daemon]) -> None:
        assert self.datagrams is not None
        self.datagrams.heal()
        for daemon in odd:
            daemon.store_link.set_fault(None)
            if daemon.child.is_paused:
                daemon.child.signal(signal.SIGCONT)


def play_out_of_step(
    folder: Path,
    seed: int,
    disturbances: list[Disturbance],
    daemons: int = 4,
    odd_daemons: int = 2,
) -> OutOfStepResults:
    """Plays a round for each disturbance, and returns what came of the streams."""
    fleet = OutOfStepFleet(folder, seed, daemons, engines=3)
    groups: list[ResumingCallers] = []
    try:
        fleet.start()
        observations = fleet.observations
        for number in range(CALLER_GROUPS):
            group_seed = CALLER_GROUPS * seed + number
            groups.append(ResumingCallers(group_seed, fleet.direct_endpoints(), observations))
        threads = [thread for group in groups for thread in group.threads]
        for thread in threads:
            thread.start()
        for disturbance in disturbances:
            fleet.play_round(disturbance, odd_daemons)
        for group in groups:
            group.stop_requested.set()
        for thread in threads:
            thread.join()
        for engine in fleet.engines:
            observations.journal_entries += read_journal(engine.journal)
    finally:
        fleet.stop()
    joined = tuple(v for v in find_violations(observations) if v.promise == "ORDER")
    return OutOfStepResults(count_streams(observations.exchanges), joined)
