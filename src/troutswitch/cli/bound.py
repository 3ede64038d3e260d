"""Command `bound`: how much more could have been served in time, from daemons' logs.

It owns the output alone; `hindsight/` reads and counts.
"""

import click

from troutswitch.cli.log_files import read_files
from troutswitch.hindsight.bound import WINDOW_SECONDS, Share
from troutswitch.hindsight.bound import bound as work_out
from troutswitch.hindsight.callers import RouteCallers, TryReader, count_callers
from troutswitch.hindsight.day import DayReader


def _row(name: str, share: Share) -> str:
    return f"{name:14s} {share.total:7d} {share.reached:8d} {share.possible:9d} {share.gap:6d}"


CALLERS_HEADING = (
    f"{'route':14s} {'callers':>8s} {'in aim':>7s} {'late':>6s} {'refused once':>13s}"
    f" {'twice':>6s} {'failed':>7s} {'left':>5s} {'not told':>9s} {'unserved, held':>15s}"
)
TRIES_ONLY = "* counts of tries: its callers set out with different times, so that a try that came"
"""Why a route's callers are not counted; `_print_callers` completes the sentence."""


def _callers_row(found: RouteCallers) -> str:
    name = found.route if found.knows_retries else f"{found.route} *"
    callers = found.first_tries if found.knows_retries else found.tries
    once = found.refused_once if found.knows_retries else found.refused
    twice = str(found.refused_again) if found.knows_retries else "-"
    return (
        f"{name:14s} {callers:8d} {found.in_time:7d} {found.late:6d} {once:13d}"
        f" {twice:>6s} {found.failed:7d} {found.left:5d} {found.unknown:9d}"
        f" {found.wasted_seconds:8.1f} s, {found.longest_wasted:.1f} s"
    )


def _print_callers(reader: TryReader, counted: list[RouteCallers]) -> None:
    click.echo("since the first try; unserved tries with seconds held in all, and at most:")
    click.echo(CALLERS_HEADING)
    for found in counted:
        click.echo(_callers_row(found))
    click.echo(
        "tries carry no mark of the caller: one that came back is known by the time it lacks"
    )
    if not all(found.knows_retries for found in counted):
        click.echo(f"{TRIES_ONLY} back is not known")
    click.echo(f"refused before a route was known: {reader.refused_before_route}")


@click.command()
@click.option("--logs", "paths", multiple=True, required=True, help="Log file; may be repeated.")
@click.option("--windows", is_flag=True, help=f"Online requests by {WINDOW_SECONDS:.0f} s, too.")
def bound(paths: tuple[str, ...], windows: bool) -> None:
    """Print what was in time and what could have been, from the logs of all daemons.

    The bound has hindsight and takes all slots as one pool: the gap is the most that better
    decisions could win. docs/POLICY.md names the assumptions.
    """
    logs = read_files(paths)
    reader = DayReader()
    day = reader.read(logs.lines)
    found = work_out(day, reader.free_first())
    click.echo(f"{'':14s} {'asked':>7s} {'in time':>8s} {'possible':>9s} {'gap':>6s}")
    click.echo(_row("online", found.online))
    click.echo(_row("batch items", found.batch))
    if windows:
        for start, share in found.windows:
            click.echo(_row(f"from {start:.0f} s", share))
    tries = TryReader()
    _print_callers(tries, count_callers(tries.read(logs.lines)))
    click.echo(f"asked to come back: {day.deferred}; lines not read: {logs.bad_lines}")
