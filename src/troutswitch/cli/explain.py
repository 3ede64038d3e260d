"""Command `explain`: what happened to one request, item or job, from the logs of several daemons.

It relies on the log events of the decisions by name: `ENDINGS` lists those that end a request, an
item or a job.
"""

import re
from dataclasses import dataclass, field

import click

from troutswitch.cli.log_files import read_files
from troutswitch.hindsight.log_lines import Line, LogLines

ID_FIELDS = ("request_id", "job_id", "item_id")
HIDDEN_FIELDS = frozenset({*ID_FIELDS, "event", "level", "timestamp", "daemon"})
EXIT_NOT_FOUND = 1
"""Exit code if no line names the id."""

ENDINGS = {
    "request given up": "given up",
    "request refused": "refused",
    "request deferred": "asked to come back",
    "item listed": "listed",
    "item dead-lettered": "dead-lettered",
    "job does not fit": "refused: too many tokens wait",
}
DECIDED_BY = ("status", "tenant", "decided_by", "retry_after_ms", "configuration_version")
"""Fields of the last line that show what decided on a request."""


@dataclass
class Story:
    """All lines that name an id, in order, and how many lines could not be read."""

    lines: list[Line] = field(default_factory=list)
    bad_lines: int = 0

    def cause(self) -> str:
        """Returns, as one line of text, where it ended and why."""
        ends = [line for line in self.lines if line.event in ENDINGS]
        if ends:
            last = ends[-1]
            state = last.fields.get("state", "")
            ending = f"{ENDINGS[last.event]} {state}".rstrip()
            return f"{ending} at {last.daemon}: {_reason(ends)}".rstrip(": ")
        attempts = [line for line in self.lines if line.event == "attempt ended"]
        if attempts:
            last = attempts[-1]
            waits = f"first {last.fields.get('first_ms')} ms, in all {last.fields.get('total_ms')}"
            return f"{last.fields.get('kind')} at {last.daemon}, {waits} ms"
        last = self.lines[-1]
        return f"no end was logged; the last line is {last.event!r} at {last.daemon}"


def _reason(ends: list[Line]) -> str:
    """Returns why it ended.

    The reason may stand in an earlier line: a dead-lettered item is listed later, without one.
    """
    reasons = [str(line.fields["reason"]) for line in ends if line.fields.get("reason")]
    decided = [
        f"{name}={ends[-1].fields[name]}" for name in DECIDED_BY if ends[-1].fields.get(name)
    ]
    facts = f" ({', '.join(decided)})" if decided else ""
    return f"{reasons[-1] if reasons else ''}{facts}"


def read_story(identifier: str, logs: LogLines) -> Story:
    """Picks the lines that name an id."""
    named = [line for line in logs.lines if _names(line, identifier)]
    return Story(named, logs.bad_lines)


def _names(line: Line, identifier: str) -> bool:
    return any(line.fields.get(name) == identifier for name in ID_FIELDS)


def format_line(line: Line) -> str:
    """Returns one line of a story as text."""
    facts = [f"{k}={v}" for k, v in line.fields.items() if k not in HIDDEN_FIELDS and v != ""]
    clock = re.sub(r"^.*T|Z$", "", line.time)
    return f"{clock}  {line.daemon}  {line.event}  {' '.join(facts)}".rstrip()


@click.command()
@click.argument("identifier")
@click.option("--logs", "paths", multiple=True, required=True, help="Log file; may be repeated.")
def explain(identifier: str, paths: tuple[str, ...]) -> None:
    """Print all that happened to one request, item or job, from daemons' logs."""
    story = read_story(identifier, read_files(paths))
    for line in story.lines:
        click.echo(format_line(line))
    if story.bad_lines:
        click.echo(f"({story.bad_lines} lines could not be read)")
    if not story.lines:
        click.echo(f"no line names {identifier}")
        raise click.exceptions.Exit(EXIT_NOT_FOUND)
    click.echo(f"cause: {story.cause()}")
