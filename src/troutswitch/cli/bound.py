"""Command `bound`: how much more could have been served in time, from daemons' logs.

This module formats the output; `hindsight/` reads the logs and counts.
"""

import click

from troutswitch.cli.log_files import read_files
from troutswitch.hindsight.bound import WINDOW_SECONDS, ServedCounts, compute_bound
from troutswitch.hindsight.callers import RouteCallers, TryReader, count_callers
from troutswitch.hindsight.workload import WorkloadReader


def _row(name: str, counts: ServedCounts) -> str:
    return f"{name:14s} {counts.total:7d} {counts.served:8d} {counts.possible:9d} {counts.gap:6d}"


CALLERS_HEADING = (
    f"{'route':14s} {'callers':>8s} {'in aim':>7s} {'late':>6s} {'refused once':>13s}"
    f" {'twice':>6s} {'failed':>7s} {'left':>5s} {'not told':>9s} {'unserved, held':>15s}"
)
TRIES_ONLY_NOTE = (
    "* counts of tries: its callers set out with different times, so that a try that came"
)
"""Explains why a route's callers are not counted; `_print_callers` completes the sentence."""


def _callers_row(counts: RouteCallers) -> str:
    name = counts.route if counts.recognises_retries else f"{counts.route} *"
    callers = counts.first_tries if counts.recognises_retries else counts.tries
    once = counts.refused_once if counts.recognises_retries else counts.refused
    twice = str(counts.refused_again) if counts.recognises_retries else "-"
    return (
        f"{name:14s} {callers:8d} {counts.in_time:7d} {counts.late:6d} {once:13d}"
        f" {twice:>6s} {counts.failed:7d} {counts.disconnected:5d} {counts.unknown:9d}"
        f" {counts.wasted_seconds:8.1f} s, {counts.max_wasted_seconds:.1f} s"
    )


def _print_callers(reader: TryReader, counted: list[RouteCallers]) -> None:
    click.echo("since the first try; unserved tries with seconds held in all, and at most:")
    click.echo(CALLERS_HEADING)
    for counts in counted:
        click.echo(_callers_row(counts))
    click.echo(
        "tries carry no mark of the caller: one that came back is known by the time it lacks"
    )
    if not all(counts.recognises_retries for counts in counted):
        click.echo(f"{TRIES_ONLY_NOTE} back is not known")
    click.echo(f"refused before a route was known: {reader.refused_before_route}")


@click.command()
@click.option("--logs", "paths", multiple=True, required=True, help="Log file; may be repeated.")
@click.option("--windows", is_flag=True, help=f"Online requests by {WINDOW_SECONDS:.0f} s, too.")
def bound(paths: tuple[str, ...], windows: bool) -> None:
    """Print what was served in time and what could have been, from the logs of all daemons.

    The bound uses hindsight and treats all slots as one pool: the gap is the maximum that better
    decisions could gain. docs/POLICY.md lists the assumptions.
    """
    logs = read_files(paths)
    reader = WorkloadReader()
    workload = reader.read(logs.lines)
    result = compute_bound(workload, reader.unqueued_first_event())
    click.echo(f"{'':14s} {'asked':>7s} {'in time':>8s} {'possible':>9s} {'gap':>6s}")
    click.echo(_row("online", result.online))
    click.echo(_row("batch items", result.batch))
    if windows:
        for start, counts in result.windows:
            click.echo(_row(f"from {start:.0f} s", counts))
    tries = TryReader()
    _print_callers(tries, count_callers(tries.read(logs.lines)))
    click.echo(f"asked to come back: {workload.deferred}; lines not read: {logs.bad_lines}")
