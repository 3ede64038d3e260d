"""Command `scale`."""

import click


@click.command()
def scale() -> None:
    """Measure hollow members over real loopback datagrams."""
    raise click.ClickException("not built yet")
