"""Commands `simulate` and `experiment`."""

import click


@click.command()
def simulate() -> None:
    """Run a simulated fleet on a virtual clock."""
    raise click.ClickException("not built yet")


@click.command()
def experiment() -> None:
    """Compare policies on the same seeds."""
    raise click.ClickException("not built yet")
