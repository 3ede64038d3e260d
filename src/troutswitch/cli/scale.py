"""Command `scale`: hollow members over real loopback datagrams."""

import json
from pathlib import Path

import click
import msgspec

from troutswitch.standins.hollow import (
    HollowPlan,
    HollowProcess,
    HollowReport,
    merge_reports,
)


@click.command()
@click.option("--members", default=100, show_default=True, help="Members of the whole fleet.")
@click.option("--seconds", default=10.0, show_default=True, help="Time that is measured.")
@click.option("--settle", default=12.0, show_default=True, help="Time for members to meet.")
@click.option("--part", default=0, help="Number of this process, if several share the fleet.")
@click.option("--parts", default=1, show_default=True, help="Processes that share the fleet.")
@click.option("--start-at", default=0.0, help="Common start, in seconds since the epoch.")
@click.option("--merge", multiple=True, help="Merge the reports in these files instead.")
@click.option("--json", "as_json", is_flag=True)
def scale(
    members: int,
    seconds: float,
    settle: float,
    part: int,
    parts: int,
    start_at: float,
    merge: tuple[str, ...],
    as_json: bool,
) -> None:
    """Measure control cost, death detection and configuration spread of one member.

    Members are whole daemon cores without callers, engines or batch work. A part of a
    fleet that is split prints its own totals, for --merge.
    """
    if merge:
        held = [msgspec.json.decode(Path(f).read_bytes(), type=HollowReport) for f in merge]
        _show(merge_reports(held), as_json)
        return
    plan = HollowPlan(members, settle, seconds, part, parts, start_at)
    report = HollowProcess(plan).run()
    if parts > 1:
        click.echo(msgspec.json.encode(report))
        return
    _show(merge_reports([report]), as_json)


def _show(figures: dict[str, float | None], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(figures))
        return
    for key, value in figures.items():
        click.echo(f"{key}: {value}")
