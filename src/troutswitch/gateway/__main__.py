"""Starts a gateway daemon: `python3 -m troutswitch.gateway`."""

import sys

from troutswitch.gateway.signals import block_signals
from troutswitch.runtime.standard_streams import open_missing_standard_streams

# Before the slow imports below: until it is blocked, a signal ends the process.
block_signals()
open_missing_standard_streams()

import click  # noqa: E402

from troutswitch.cli.gateway import gateway  # noqa: E402

try:
    gateway.main(standalone_mode=False)
except click.ClickException as error:
    click.echo(f"troutswitch: {' '.join(error.format_message().split())}", err=True)
    sys.exit(2)
