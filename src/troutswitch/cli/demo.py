"""Command `demo`: runs the standalone product's platform, engines and daemons in one process."""

import json

import click

from troutswitch.standalone.runtime.logging import configure_logging
from troutswitch.standalone.standins.demonstration import Demonstration

DEMO_DAEMONS = 2
DEMO_ENGINES = 3


@click.command()
@click.option("--seconds", default=6.0, show_default=True, help="Duration of the load.")
@click.option("--json", "as_json", is_flag=True)
def demo(seconds: float, as_json: bool) -> None:
    """Send a mixed load through a small fleet and print the results."""
    configure_logging("error", "demo")
    demonstration = Demonstration(DEMO_DAEMONS, DEMO_ENGINES)
    demonstration.start()
    try:
        report = demonstration.run(seconds, None if as_json else _show)
    finally:
        demonstration.stop()
    if as_json:
        click.echo(json.dumps(report.summary()))
        return
    click.echo("")
    for key, value in report.summary().items():
        click.echo(f"  {key:<24} {value}")


def _show(line: str) -> None:
    click.echo(line)
