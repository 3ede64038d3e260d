"""Command `bound`: how much more could have been in time, with hindsight."""

import click

from troutswitch.cli.logfiles import read_files
from troutswitch.hindsight.bound import WINDOW_SECONDS, Share
from troutswitch.hindsight.bound import bound as work_out
from troutswitch.hindsight.day import DayReader


def _row(name: str, share: Share) -> str:
    return f"{name:14s} {share.asked:7d} {share.reached:8d} {share.possible:9d} {share.gap:6d}"


@click.command()
@click.option("--logs", "paths", multiple=True, required=True, help="Log file; may be repeated.")
@click.option("--windows", is_flag=True, help=f"Online requests by {WINDOW_SECONDS:.0f} s, too.")
def bound(paths: tuple[str, ...], windows: bool) -> None:
    """Tell what was in time and what could have been, from the logs of all daemons.

    The bound has hindsight and takes all slots as one pool: what lies between is the most
    that better decisions could win. docs/POLICY.md names the assumptions.
    """
    held = read_files(paths)
    reader = DayReader()
    day = reader.read(held.lines)
    found = work_out(day, reader.free_first())
    click.echo(f"{'':14s} {'asked':>7s} {'in time':>8s} {'possible':>9s} {'gap':>6s}")
    click.echo(_row("online", found.online))
    click.echo(_row("batch items", found.batch))
    if windows:
        for start, share in found.windows:
            click.echo(_row(f"from {start:.0f} s", share))
    click.echo(f"asked to come back: {day.deferred}; lines not read: {held.bad_lines}")
