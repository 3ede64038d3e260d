"""Command `load`: sends streams to daemons or engines and measures the callers' latencies."""

import json

import click

from troutswitch.cli.standin import parse_address
from troutswitch.standalone.standins.load_generator import LoadPlan, run_load


@click.command()
@click.option(
    "--target",
    "targets",
    multiple=True,
    default=("127.0.0.1:8000",),
    show_default=True,
    help="Callers' address; may be repeated, streams are spread over them in turn.",
)
@click.option("--model", required=True)
@click.option("--streams", default=50, show_default=True, help="Concurrent streams.")
@click.option("--tokens", default=64, show_default=True, help="Tokens per answer.")
@click.option("--requests", default=1, show_default=True, help="Requests per stream, in turn.")
@click.option("--spread", default=5.0, show_default=True, help="Seconds over which streams start.")
@click.option("--direct", is_flag=True, help="The target is an engine, not a daemon.")
@click.option("--json", "as_json", is_flag=True)
def load(
    targets: tuple[str, ...],
    model: str,
    streams: int,
    tokens: int,
    requests: int,
    spread: float,
    direct: bool,
    as_json: bool,
) -> None:
    """Run a bounded load and print the latencies and outcomes that callers saw."""
    addresses = tuple(parse_address(target) for target in targets)
    plan = LoadPlan(addresses, model, streams, tokens, requests, spread, direct)
    report = run_load(plan)
    if as_json:
        click.echo(json.dumps(report.summary()))
        return
    for key, value in report.summary().items():
        click.echo(f"{key}: {value}")
