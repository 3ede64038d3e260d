"""Command `soak`: real processes under faults drawn from a seed, promises checked."""

import json
import random
import shutil
import signal
import sys
import tempfile
import threading
from pathlib import Path

import click

from troutswitch.cli.explain import read_story, tell
from troutswitch.cli.log_files import read_files
from troutswitch.soak.fleet import NotStarted
from troutswitch.soak.report import Verdict, summarize, write_report
from troutswitch.soak.run import SoakSize, run_soak

SECONDS_IN_MINUTE = 60.0
LIMIT_SECONDS = 300.0
"""A soak stops by itself this long after its schedule: four bounds of the calm end, and some."""
EXPLAINED_MOST = 10
"""Violations whose story is told; the logs are kept for the others."""


@click.command()
@click.option("--minutes", default=1.0, show_default=True, help="Length of the schedule.")
@click.option("--seconds", type=float, help="Length of the schedule, instead of minutes.")
@click.option("--seed", type=int, help="Drawn and told if not given.")
@click.option("--daemons", default=SoakSize().daemons, show_default=True)
@click.option("--servers", default=SoakSize().engines, show_default=True)
@click.option("--callers", default=SoakSize().callers, show_default=True)
@click.option("--report", type=click.Path(path_type=Path), help="Folder for summary and logs.")
def soak(
    minutes: float,
    seconds: float | None,
    seed: int | None,
    daemons: int,
    servers: int,
    callers: int,
    report: Path | None,
) -> None:
    """Play faults on real processes and check the promises; exit 1 if one is broken."""
    drawn = random.SystemRandom().randrange(1, 1_000_000_000) if seed is None else seed
    length = minutes * SECONDS_IN_MINUTE if seconds is None else seconds
    stop_asked = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda number, frame: stop_asked.set())
    limit = threading.Timer(length + LIMIT_SECONDS, stop_asked.set)
    limit.daemon = True
    limit.start()
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    click.echo(f"soak of {length:.0f} s, seed {drawn}, logs in {folder}", err=True)
    size = SoakSize(daemons, servers, callers)

    def say(line: str) -> None:
        click.echo(line, err=True)

    try:
        verdict = run_soak(drawn, length, folder, size, say, stop_asked)
    except NotStarted as error:
        raise click.ClickException(f"{error}; logs in {folder}") from error
    finish(verdict, folder, report)


def finish(verdict: Verdict, folder: Path, report: Path | None) -> None:
    """Prints the summary, writes the report, keeps the logs of a failure, and exits."""
    stories = explain_violations(verdict, folder)
    if report is not None:
        write_report(verdict, report, stories)
        if not verdict.is_clean:
            shutil.copytree(folder, report / "logs", dirs_exist_ok=True)
    click.echo(json.dumps(summarize(verdict), indent=1))
    if verdict.is_clean:
        shutil.rmtree(folder)
        return
    for subject, story in stories.items():
        click.echo(f"\n{subject}\n{story}", err=True)
    sys.exit(1)


def explain_violations(verdict: Verdict, folder: Path) -> dict[str, str]:
    """Tells the story of the first violations from the daemons' logs."""
    if not verdict.violations:
        return {}
    held = read_files(tuple(str(path) for path in sorted(folder.glob("daemon-*.log"))))
    subjects = [violation.subject for violation in verdict.violations[:EXPLAINED_MOST]]
    return {
        subject: "\n".join(tell(line) for line in read_story(subject, held).lines)
        for subject in subjects
    }
