"""Command `soak`: runs real processes under faults drawn from a seed, and checks the promises."""

import json
import random
import shutil
import signal
import sys
import tempfile
import threading
from pathlib import Path

import click

from troutswitch.cli.explain import format_line, read_story
from troutswitch.cli.log_files import read_files
from troutswitch.soak.fleet import FleetStartError
from troutswitch.soak.report import SoakResult, summarize, write_report
from troutswitch.soak.run import SoakSize, run_soak

SECONDS_IN_MINUTE = 60.0
LIMIT_SECONDS = 300.0
"""Time after the end of its schedule at which a soak stops by itself: longer than the four waits of
its calm end together."""
EXPLAINED_MOST = 10
"""Violations that are explained; the logs are kept for the others."""


@click.command()
@click.option("--minutes", default=1.0, show_default=True, help="Length of the schedule.")
@click.option("--seconds", type=float, help="Length of the schedule, instead of minutes.")
@click.option("--seed", type=int, help="Drawn and printed if not given.")
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
    stop_requested = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda number, frame: stop_requested.set())
    limit = threading.Timer(length + LIMIT_SECONDS, stop_requested.set)
    limit.daemon = True
    limit.start()
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    click.echo(f"soak of {length:.0f} s, seed {drawn}, logs in {folder}", err=True)
    size = SoakSize(daemons, servers, callers)

    def print_progress(line: str) -> None:
        click.echo(line, err=True)

    try:
        verdict = run_soak(drawn, length, folder, size, print_progress, stop_requested)
    except FleetStartError as error:
        raise click.ClickException(f"{error}; logs in {folder}") from error
    finish(verdict, folder, report)


def finish(verdict: SoakResult, folder: Path, report: Path | None) -> None:
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


def explain_violations(verdict: SoakResult, folder: Path) -> dict[str, str]:
    """Returns, for the first violations, what the daemons logged of their subjects."""
    if not verdict.violations:
        return {}
    logs = read_files(tuple(str(path) for path in sorted(folder.glob("daemon-*.log"))))
    subjects = [violation.subject for violation in verdict.violations[:EXPLAINED_MOST]]
    return {
        subject: "\n".join(format_line(line) for line in read_story(subject, logs).lines)
        for subject in subjects
    }
