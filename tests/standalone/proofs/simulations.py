"""Small simulations for proofs: seconds of real time, minutes of virtual time."""

from dataclasses import replace

from troutswitch.standalone.simulation.fleet_simulation import (
    FleetSimulation,
    SimulationOptions,
    SimulationReport,
)
from troutswitch.standalone.simulation.scenarios import SCENARIOS, Workload

QUETZAL = SCENARIOS["quetzal"]


def run_simulation(
    faults: tuple[str, ...], seed: int = 1, minutes: float = 2.0, **workload: object
) -> SimulationReport:
    changed_workload = replace(QUETZAL.workload, **workload)  # type: ignore[arg-type]
    return make_simulation(faults, seed, minutes, changed_workload).run()


def make_simulation(
    faults: tuple[str, ...], seed: int = 1, minutes: float = 2.0, workload: Workload | None = None
) -> FleetSimulation:
    scenario = replace(QUETZAL, workload=workload or QUETZAL.workload)
    return FleetSimulation(SimulationOptions(scenario, seed, minutes * 60.0, faults))
