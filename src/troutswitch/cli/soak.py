"""Command `soak`: runs real processes under seeded random faults and checks the promises."""

import json
import random
import shutil
import signal
import sys
import tempfile
import threading
from pathlib import Path

import click

from troutswitch.cli.explain import format_line, read_timeline
from troutswitch.cli.log_files import read_files
from troutswitch.soak.fleet import FleetStartError
from troutswitch.soak.load_kinds import draw_load, format_load, parse_load
from troutswitch.soak.report import SoakResult, summarize, write_report
from troutswitch.soak.run import SoakSize, run_soak

SECONDS_PER_MINUTE = 60.0
MAX_OVERRUN_SECONDS = 300.0
"""Time after the end of its schedule at which a soak is stopped: longer than the four waits of its
calm end together."""
MAX_EXPLAINED_VIOLATIONS = 10
"""Maximum number of violations whose log lines are printed; the logs cover the others."""


@click.command()
@click.option("--minutes", default=1.0, show_default=True, help="Length of the schedule.")
@click.option("--seconds", type=float, help="Length of the schedule, instead of minutes.")
@click.option("--seed", type=int, help="Random, and printed, if not given.")
@click.option("--daemons", default=SoakSize().daemons, show_default=True)
@click.option("--servers", default=SoakSize().engines, show_default=True)
@click.option("--callers", default=SoakSize().callers, show_default=True)
@click.option("--stall", default=0.0, show_default=True, help="Share of time that daemons stall.")
@click.option("--faults/--no-faults", default=True, show_default=True)
@click.option(
    "--load",
    "load_names",
    help="Kinds of demanding load, separated by commas, or none; drawn from the seed if not given.",
)
@click.option("--report", type=click.Path(path_type=Path), help="Folder for summary and logs.")
def soak(
    minutes: float,
    seconds: float | None,
    seed: int | None,
    daemons: int,
    servers: int,
    callers: int,
    stall: float,
    faults: bool,
    load_names: str | None,
    report: Path | None,
) -> None:
    """Inject faults into real processes and check the promises; exit 1 if one is broken."""
    actual_seed = random.SystemRandom().randrange(1, 1_000_000_000) if seed is None else seed
    length = minutes * SECONDS_PER_MINUTE if seconds is None else seconds
    try:
        load = draw_load(actual_seed) if load_names is None else parse_load(load_names)
    except ValueError as error:
        raise click.UsageError(f"load: {error}") from error
    stop_requested = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda number, frame: stop_requested.set())
    overrun_timer = threading.Timer(length + MAX_OVERRUN_SECONDS, stop_requested.set)
    overrun_timer.daemon = True
    overrun_timer.start()
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    click.echo(
        f"soak of {length:.0f} s, seed {actual_seed}, load {format_load(load)}, logs in {folder}",
        err=True,
    )
    size = SoakSize(daemons, servers, callers, stall_share=stall, has_faults=faults, load=load)

    def print_progress(line: str) -> None:
        click.echo(line, err=True)

    try:
        verdict = run_soak(actual_seed, length, folder, size, print_progress, stop_requested)
    except FleetStartError as error:
        raise click.ClickException(f"{error}; logs in {folder}") from error
    finish(verdict, folder, report)


def finish(verdict: SoakResult, folder: Path, report: Path | None) -> None:
    """Prints the summary and writes the report.

    The logs are deleted after a clean run. After a violation they are kept, and the process exits
    with 1.
    """
    timelines = explain_violations(verdict, folder)
    if report is not None:
        write_report(verdict, report, timelines)
        if not verdict.is_clean:
            shutil.copytree(folder, report / "logs", dirs_exist_ok=True)
    click.echo(json.dumps(summarize(verdict), indent=1))
    if verdict.is_clean:
        shutil.rmtree(folder)
        return
    for subject, timeline in timelines.items():
        click.echo(f"\n{subject}\n{timeline}", err=True)
    sys.exit(1)


def explain_violations(verdict: SoakResult, folder: Path) -> dict[str, str]:
    """Returns the daemons' log lines about the subjects of the first violations, by subject."""
    if not verdict.violations:
        return {}
    logs = read_files(tuple(str(path) for path in sorted(folder.glob("daemon-*.log"))))
    subjects = [violation.subject for violation in verdict.violations[:MAX_EXPLAINED_VIOLATIONS]]
    return {
        subject: "\n".join(format_line(line) for line in read_timeline(subject, logs).lines)
        for subject in subjects
    }
