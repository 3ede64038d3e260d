"""Small worlds for proofs: seconds of real time, minutes of virtual time."""

from dataclasses import replace

from troutswitch.standalone.simulation.scenarios import SCENARIOS, Workload
from troutswitch.standalone.simulation.world import SimulatedWorld, WorldOptions, WorldReport

QUETZAL = SCENARIOS["quetzal"]


def run_world(
    faults: tuple[str, ...], seed: int = 1, minutes: float = 2.0, **workload: object
) -> WorldReport:
    shape = replace(QUETZAL.workload, **workload)  # type: ignore[arg-type]
    return make_world(faults, seed, minutes, shape).run()


def make_world(
    faults: tuple[str, ...], seed: int = 1, minutes: float = 2.0, workload: Workload | None = None
) -> SimulatedWorld:
    scenario = replace(QUETZAL, workload=workload or QUETZAL.workload)
    return SimulatedWorld(WorldOptions(scenario, seed, minutes * 60.0, faults))
