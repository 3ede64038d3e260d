"""Command `restarts`: kills all daemons beside releases of engines, and checks resumed streams."""

import json
import random
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

import click

from troutswitch.soak.fleet import FleetStartError
from troutswitch.soak.restarted_fleet import Release, play_restarts

DEFAULT_ROUNDS = 5


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--rounds", default=DEFAULT_ROUNDS, show_default=True, help="Kills of all daemons.")
@click.option(
    "--release",
    type=click.Choice([release.name.lower() for release in Release]),
    help="The release beside each kill; drawn from the seed if not given.",
)
def restarts(seed: int, rounds: int, release: str | None) -> None:
    """Kill all daemons beside releases; exit 1 if a stream was joined from two versions."""
    rng = random.Random(seed)
    drawn = [rng.choice(list(Release)) for _ in range(rounds)]
    releases = [Release[release.upper()]] * rounds if release else drawn
    folder = Path(tempfile.mkdtemp(prefix="restarts-"))
    names = ", ".join(releases)
    click.echo(f"seed {seed}, releases {names}, logs in {folder}", err=True)
    try:
        results = play_restarts(folder, seed, releases)
    except FleetStartError as error:
        raise click.ClickException(f"{error}; logs in {folder}") from error
    click.echo(json.dumps(asdict(results), indent=1))
    if results.joined:
        sys.exit(1)
