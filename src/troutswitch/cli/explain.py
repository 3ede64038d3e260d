"""Command `explain`: what happened to one request, item or job, from the logs of several daemons.

The command matches log events of `decisions` by name. `END_EVENTS` lists those that end a request,
an item or a job.
"""

import re
from dataclasses import dataclass, field

import click

from troutswitch.cli.log_files import read_files
from troutswitch.hindsight.log_lines import Line, LogLines

ID_FIELDS = ("request_id", "job_id", "item_id")
HIDDEN_FIELDS = frozenset({*ID_FIELDS, "event", "level", "timestamp", "daemon"})
EXIT_NOT_FOUND = 1
"""Exit code if no line contains the id."""

END_EVENTS = {
    "request given up": "given up",
    "request refused": "refused",
    "request deferred": "asked to come back",
    "item listed": "listed",
    "item dead-lettered": "dead-lettered",
    "job does not fit": "refused: too many tokens wait",
}
QUEUED, GRANTED, DENIED = "slot request queued", "slot granted after wait", "slot request denied"
DENIED_BY_COORDINATOR = "queued request denied"
"""Events of requests for slots. The last one is the coordinator's line, which has no request id: it
names the daemon and number of the request."""
QUEUE_FIELDS = ("flow", "coordinator", "position", "wait_ms", "waited_ms", "expires_ms", "slots")
"""Fields of the events of queued requests that show why a request waited or was denied."""
DECISION_FIELDS = ("status", "tenant", "decided_by", "retry_after_ms", "configuration_version")
"""Fields of the last end event that show why a request was refused or deferred."""


@dataclass
class Timeline:
    """All lines that contain an id, in time order, and the number of unreadable lines."""

    lines: list[Line] = field(default_factory=list)
    bad_lines: int = 0

    def cause(self) -> str:
        """Returns one line of text that says where and why the request, item or job ended."""
        queue = self._queue()
        return f"{self._end()}; {queue}" if queue else self._end()

    def _queue(self) -> str:
        """Returns why the request waited in a queue or was denied a slot; empty if it did not."""
        facts = [
            f"{line.event}: {', '.join(_named(line, QUEUE_FIELDS))}"
            for line in self.lines
            if line.event in (QUEUED, GRANTED, DENIED)
        ]
        reasons = [
            f"the coordinator's reason: {line.fields.get('reason')}"
            for line in self.lines
            if line.event == DENIED_BY_COORDINATOR
        ]
        return "; ".join([*facts, *reasons])

    def _end(self) -> str:
        """Returns where and why the request, item or job ended."""
        end_lines = [line for line in self.lines if line.event in END_EVENTS]
        if end_lines:
            last = end_lines[-1]
            state = last.fields.get("state", "")
            ending = f"{END_EVENTS[last.event]} {state}".rstrip()
            return f"{ending} at {last.daemon}: {_reason(end_lines)}".rstrip(": ")
        attempts = [line for line in self.lines if line.event == "attempt ended"]
        if attempts:
            last = attempts[-1]
            timings = (
                f"first {last.fields.get('first_ms')} ms, in all {last.fields.get('total_ms')}"
            )
            return f"{last.fields.get('kind')} at {last.daemon}, {timings} ms"
        last = self.lines[-1]
        return f"no end was logged; the last line is {last.event!r} at {last.daemon}"


def _reason(end_lines: list[Line]) -> str:
    """Returns the newest logged reason, followed by the decision fields of the last line.

    The reason may be in an earlier line: a dead-lettered item is listed later, without a reason.
    """
    reasons = [str(line.fields["reason"]) for line in end_lines if line.fields.get("reason")]
    decided = _named(end_lines[-1], DECISION_FIELDS)
    facts = f" ({', '.join(decided)})" if decided else ""
    return f"{reasons[-1] if reasons else ''}{facts}"


def _named(line: Line, names: tuple[str, ...]) -> list[str]:
    """Returns the fields with the given names that a line has, as text."""
    return [f"{name}={line.fields[name]}" for name in names if line.fields.get(name)]


def read_timeline(identifier: str, logs: LogLines) -> Timeline:
    """Selects the lines that contain an id, and the coordinator's lines about the same request."""
    named = [line for line in logs.lines if _mentions(line, identifier)]
    queued = {_slot_request(line, line.daemon) for line in named if line.event == DENIED}
    lines = [
        line
        for line in logs.lines
        if _mentions(line, identifier)
        or (
            line.event == DENIED_BY_COORDINATOR
            and _slot_request(line, str(line.fields.get("peer"))) in queued
        )
    ]
    return Timeline(lines, logs.bad_lines)


def _slot_request(line: Line, daemon: str) -> tuple[str, object, object, object]:
    """Returns what identifies a slot request.

    A daemon that restarts begins with number 1 again, so its time to return is part of the result:
    a denial states the same one on both sides.
    """
    fields = line.fields
    return daemon, fields.get("number"), fields.get("group"), fields.get("retry_after_ms")


def _mentions(line: Line, identifier: str) -> bool:
    return any(line.fields.get(name) == identifier for name in ID_FIELDS)


def format_line(line: Line) -> str:
    """Returns one line of a timeline as text."""
    facts = [f"{k}={v}" for k, v in line.fields.items() if k not in HIDDEN_FIELDS and v != ""]
    clock = re.sub(r"^.*T|Z$", "", line.time)
    return f"{clock}  {line.daemon}  {line.event}  {' '.join(facts)}".rstrip()


@click.command()
@click.argument("identifier")
@click.option("--logs", "paths", multiple=True, required=True, help="Log file; may be repeated.")
def explain(identifier: str, paths: tuple[str, ...]) -> None:
    """Print everything that daemons logged of one request, item or job."""
    timeline = read_timeline(identifier, read_files(paths))
    for line in timeline.lines:
        click.echo(format_line(line))
    if timeline.bad_lines:
        click.echo(f"({timeline.bad_lines} lines could not be read)")
    if not timeline.lines:
        click.echo(f"no line names {identifier}")
        raise click.exceptions.Exit(EXIT_NOT_FOUND)
    click.echo(f"cause: {timeline.cause()}")
