"""Starts a gateway daemon: `python3 -m troutswitch.gateway`."""

import signal
import sys

# SIGHUP terminates a process that has no handler for it. Ignore it before the slow imports below:
# the settings have not been read yet, so a reload requested now has no work to do.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import click  # noqa: E402

from troutswitch.cli.gateway import gateway  # noqa: E402

try:
    gateway.main(standalone_mode=False)
except click.ClickException as error:
    click.echo(f"troutswitch: {' '.join(error.format_message().split())}", err=True)
    sys.exit(2)
