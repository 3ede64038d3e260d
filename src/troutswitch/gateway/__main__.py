"""Starts a gateway daemon: `python3 -m troutswitch.gateway`."""

import sys

import click

from troutswitch.cli.gateway import gateway

try:
    gateway.main(standalone_mode=False)
except click.ClickException as error:
    click.echo(f"troutswitch: {' '.join(error.format_message().split())}", err=True)
    sys.exit(2)
