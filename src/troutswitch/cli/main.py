"""Entry point: `troutswitch COMMAND`."""

import sys

import click

from troutswitch import __version__
from troutswitch.cli.bound import bound
from troutswitch.cli.ctl import ctl
from troutswitch.cli.demo import demo
from troutswitch.cli.explain import explain
from troutswitch.cli.gateway import gateway
from troutswitch.cli.load import load
from troutswitch.cli.out_of_step import out_of_step
from troutswitch.cli.quota import quota
from troutswitch.cli.restarts import restarts
from troutswitch.cli.simulation import experiment, simulate
from troutswitch.cli.soak import soak
from troutswitch.cli.standin import standin
from troutswitch.standalone.command import daemon, settings


@click.group()
@click.version_option(__version__)
def cli() -> None:
    """Serving system for online and batch language-model inference on one fleet."""


for command in (
    explain,
    bound,
    quota,
    gateway,
    daemon,
    settings,
    ctl,
    demo,
    load,
    standin,
    simulate,
    experiment,
    soak,
    out_of_step,
    restarts,
):
    cli.add_command(command)


def main() -> None:
    """Runs the command line.

    Any `ClickException`, bad usage included, prints one line to standard error and exits with 2.
    """
    try:
        cli.main(standalone_mode=False)
    except click.exceptions.Abort:
        sys.exit(130)
    except click.exceptions.Exit as error:
        sys.exit(error.exit_code)
    except click.ClickException as error:
        message = " ".join(error.format_message().split())
        click.echo(f"troutswitch: {message}", err=True)
        sys.exit(2)
