"""Command `explain`: the story of one request or job from the logs of several daemons."""

import re
from dataclasses import dataclass, field

import click

from troutswitch.cli.log_files import read_files
from troutswitch.hindsight.log_lines import Line, LogLines

ID_FIELDS = ("request_id", "job_id", "item_id")
HIDDEN_FIELDS = frozenset({*ID_FIELDS, "event", "level", "timestamp", "daemon"})
NO_STORY = 1
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
"""Fields that tell what decided on a request, in the last line of its story."""


@dataclass
class Story:
    """All lines that name an id, in order, and how many lines could not be read."""

    lines: list[Line] = field(default_factory=list)
    bad_lines: int = 0

    def cause(self) -> str:
        """Returns, in one line, where it ended and why."""
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
        return f"no end was logged; the last word is {last.event!r} at {last.daemon}"


def _reason(ends: list[Line]) -> str:
    """Returns why it ended: an item that was given up is listed later, which tells no reason."""
    told = [str(line.fields["reason"]) for line in ends if line.fields.get("reason")]
    decided = [
        f"{name}={ends[-1].fields[name]}" for name in DECIDED_BY if ends[-1].fields.get(name)
    ]
    facts = f" ({', '.join(decided)})" if decided else ""
    return f"{told[-1] if told else ''}{facts}"


def read_story(identifier: str, held: LogLines) -> Story:
    """Picks the lines that name an id."""
    named = [line for line in held.lines if _names(line, identifier)]
    return Story(named, held.bad_lines)


def _names(line: Line, identifier: str) -> bool:
    return any(line.fields.get(name) == identifier for name in ID_FIELDS)


def tell(line: Line) -> str:
    """Writes one line of a story."""
    facts = [f"{k}={v}" for k, v in line.fields.items() if k not in HIDDEN_FIELDS and v != ""]
    clock = re.sub(r"^.*T|Z$", "", line.time)
    return f"{clock}  {line.daemon}  {line.event}  {' '.join(facts)}".rstrip()


@click.command()
@click.argument("identifier")
@click.option("--logs", "paths", multiple=True, required=True, help="Log file; may be repeated.")
def explain(identifier: str, paths: tuple[str, ...]) -> None:
    """Tell the story of one request, item or job from daemons' logs."""
    story = read_story(identifier, read_files(paths))
    for line in story.lines:
        click.echo(tell(line))
    if story.bad_lines:
        click.echo(f"({story.bad_lines} lines could not be read)")
    if not story.lines:
        click.echo(f"no line names {identifier}")
        raise click.exceptions.Exit(NO_STORY)
    click.echo(f"cause: {story.cause()}")
