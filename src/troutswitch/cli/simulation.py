"""Commands `simulate` and `experiment`: the standalone product on a virtual clock."""

import sys
from pathlib import Path

import click

from troutswitch.standalone.simulation.experiment import run_experiment, to_json
from troutswitch.standalone.simulation.fleet_simulation import (
    FleetSimulation,
    SimulationOptions,
    parse_faults,
)
from troutswitch.standalone.simulation.report import table, write_report
from troutswitch.standalone.simulation.scenarios import SCENARIOS

SECONDS_PER_MINUTE = 60.0


@click.command()
@click.option("--scenario", type=click.Choice(sorted(SCENARIOS)), default="quetzal")
@click.option("--seed", default=1, show_default=True)
@click.option("--minutes", default=10.0, show_default=True, help="Virtual minutes of load.")
@click.option("--faults", default="all", show_default=True, help="none, all, or names of faults.")
@click.option("--json", "as_json", is_flag=True)
def simulate(scenario: str, seed: int, minutes: float, faults: str, as_json: bool) -> None:
    """Run a simulated fleet on a virtual clock; exit 1 if a promise is broken."""
    try:
        names = parse_faults(faults)
    except ValueError as error:
        raise click.UsageError(f"--faults: {error}") from error
    options = SimulationOptions(SCENARIOS[scenario], seed, minutes * SECONDS_PER_MINUTE, names)
    report = FleetSimulation(options).run()
    if as_json:
        click.echo(report.to_json())
    else:
        for key, value in report.__dict__.items():
            click.echo(f"{key}: {value}")
    sys.exit(1 if report.violations else 0)


@click.command()
@click.option("--scenario", type=click.Choice(sorted(SCENARIOS)), default="quetzal")
@click.option("--seed", default=1, show_default=True)
@click.option("--minutes", default=3.0, show_default=True, help="Virtual minutes of load.")
@click.option("--report", "directory", default=None, help="Write a report with plots here.")
@click.option("--json", "as_json", is_flag=True)
def experiment(
    scenario: str, seed: int, minutes: float, directory: str | None, as_json: bool
) -> None:
    """Compare policies on the same seed: batch throughput and harm to online requests."""
    runs, ideal = run_experiment(SCENARIOS[scenario], seed, minutes * SECONDS_PER_MINUTE)
    if directory is not None:
        title = f"{scenario}, seed {seed}, {minutes:g} virtual minutes"
        for path in write_report(Path(directory), title, runs, ideal):
            click.echo(str(path), err=True)
    if as_json:
        click.echo(to_json(runs, ideal))
        return
    click.echo(table(runs))
