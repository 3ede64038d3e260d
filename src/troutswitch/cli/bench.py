"""Command `bench`: processor time, log size and memory of the batch fold."""

import json

import click

from troutswitch.standalone.simulation.batch_bench import run_batch_bench


@click.command()
@click.option("--json", "as_json", is_flag=True)
def bench(as_json: bool) -> None:
    """Measure submission, recovery, log size and memory of batch jobs."""
    report = run_batch_bench()
    if as_json:
        click.echo(json.dumps(report))
        return
    for name, rows in report.items():
        click.echo(name)
        for row in rows:
            click.echo("  " + "  ".join(f"{key} {value:.6g}" for key, value in row.items()))
