"""Command `out-of-step`: releases beside daemons that are out of step, and resumed streams."""

import json
import random
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

import click

from troutswitch.soak.fleet import FleetStartError
from troutswitch.soak.out_of_step import Disturbance, play_out_of_step

DEFAULT_ROUNDS = 3


@click.command("out-of-step")
@click.option("--seed", default=1, show_default=True)
@click.option("--rounds", default=DEFAULT_ROUNDS, show_default=True, help="Releases, in series.")
@click.option("--daemons", default=4, show_default=True)
@click.option("--odd", default=2, show_default=True, help="Daemons that are out of step.")
@click.option(
    "--disturbance",
    type=click.Choice([disturbance.name.lower() for disturbance in Disturbance]),
    help="How they are out of step; drawn from the seed for each round if not given.",
)
def out_of_step(seed: int, rounds: int, daemons: int, odd: int, disturbance: str | None) -> None:
    """List further versions beside daemons out of step; exit 1 if a stream was joined."""
    rng = random.Random(seed)
    drawn = [rng.choice(list(Disturbance)) for _ in range(rounds)]
    disturbances = [Disturbance[disturbance.upper()]] * rounds if disturbance else drawn
    folder = Path(tempfile.mkdtemp(prefix="out-of-step-"))
    names = ", ".join(disturbances)
    click.echo(f"seed {seed}, disturbances {names}, logs in {folder}", err=True)
    try:
        results = play_out_of_step(folder, seed, disturbances, daemons, odd)
    except FleetStartError as error:
        raise click.ClickException(f"{error}; logs in {folder}") from error
    click.echo(json.dumps(asdict(results), indent=1))
    if results.joined:
        sys.exit(1)
