"""Command `quota`: how a tenant's quota was used, from daemons' logs.

This module formats the output; `hindsight/quota_use.py` reads the logs.
"""

from collections import Counter

import click

from troutswitch.cli.log_files import read_files
from troutswitch.hindsight.quota_use import QuotaUse, fullest_window, read_quota_use


def _print_window(use: QuotaUse, begin: float, end: float) -> None:
    """Prints the admissions of a span by daemon and way, the largest counts first."""
    counts = use.between(begin, end)
    by_way: Counter[str] = Counter()
    for (_, way), count in counts.items():
        by_way[way] += count
    ways = ", ".join(f"{count} {way}" for way, count in by_way.most_common())
    click.echo(f"{begin:.2f} to {end:.2f} s: {counts.total()} admitted ({ways or 'none'})")
    for (daemon, way), count in counts.most_common():
        click.echo(f"  {daemon:24s} {way:10s} {count:4d}")


def _quantile(values: list[int], share: float) -> int:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


def _print_decisions(use: QuotaUse) -> None:
    """Prints refusals, and how long the decisions took."""
    times = [admission.decision_ms for admission in use.admissions]
    click.echo(f"refused by way: {dict(use.refusals)}")
    click.echo(
        f"decisions of admissions: median {_quantile(times, 0.5)} ms,"
        f" 99 % {_quantile(times, 0.99)} ms, at most {max(times, default=0)} ms"
    )
    click.echo(
        f"decisions that came too late: {len(use.late_ms)}, after at most"
        f" {max(use.late_ms, default=0)} ms"
    )


@click.command()
@click.option("--logs", "paths", multiple=True, required=True, help="Log file; may be repeated.")
@click.option("--tenant", required=True, help="Name of the tenant.")
@click.option("--window", default=5.0, show_default=True, help="Length of a window in seconds.")
@click.option("--at", "begin", type=float, help="Begin of the window, instead of the fullest one.")
def quota(paths: tuple[str, ...], tenant: str, window: float, begin: float | None) -> None:
    """Print which daemon admitted a tenant's requests, by which count, from all daemons' logs.

    Shows one window, by default that with most runs at engines. Times are seconds since the first
    line.
    """
    logs = read_files(paths)
    use = read_quota_use(logs.lines, tenant)
    run_begin, runs = fullest_window(use.runs, window)
    admitted_begin, admitted = fullest_window((a.at for a in use.admissions), window)
    click.echo(f"most runs at engines in {window:g} s: {runs}, from {run_begin:.2f} s")
    click.echo(f"most admissions in {window:g} s: {admitted}, from {admitted_begin:.2f} s")
    shown = run_begin if begin is None else begin
    _print_window(use, shown, shown + window)
    _print_decisions(use)
    click.echo(f"admissions by their number of runs: {dict(sorted(use.runs_by_admission.items()))}")
    for change in use.changes:
        cause = f" ({change.cause})" if change.cause else ""
        click.echo(f"{change.at:9.2f} s {change.daemon:24s} {change.event}: {change.group}{cause}")
    click.echo(f"lines not read: {logs.bad_lines}")
