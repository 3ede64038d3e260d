"""Reports of a soak: a JSON summary, and an HTML timeline of actions and violations."""

import html
import json
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from troutswitch.soak.observations import Observations, Outcome
from troutswitch.soak.schedule import FaultSchedule
from troutswitch.soak.version_checks import count_streams
from troutswitch.soak.violations import Violation

ROW_PIXELS = 16
SECOND_PIXELS = 24
LABEL_PIXELS = 320


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of a soak."""

    schedule: FaultSchedule
    seconds: float
    was_interrupted: bool
    violations: tuple[Violation, ...]
    observations: Observations

    @property
    def is_clean(self) -> bool:
        """Whether the soak ran to its end and no promise was broken."""
        return not self.violations and not self.was_interrupted


def summarize(result: SoakResult) -> dict[str, Any]:
    """Returns the contents of `summary.json`."""
    observations = result.observations
    outcomes = Counter(str(exchange.outcome) for exchange in observations.exchanges)
    statuses = Counter(e.status for e in observations.exchanges if e.outcome is Outcome.COMPLETE)
    samples = observations.samples
    streams = count_streams(observations.exchanges)
    return {
        "seed": result.schedule.seed,
        "seconds": round(result.seconds, 1),
        "interrupted": result.was_interrupted,
        "strikes": len(observations.actions),
        "strikes_planned": sum(span.scheduled.is_planned for span in observations.actions),
        "requests": len(observations.exchanges),
        "outcomes": dict(outcomes),
        "statuses": {str(status): count for status, count in sorted(statuses.items())},
        "streams_resumed": streams.resumed,
        "streams_continued": streams.continued,
        "jobs": len(observations.jobs),
        "jobs_accepted": sum(job.accepted_at > 0 for job in observations.jobs),
        "process_ends": len(observations.exits),
        "odd_records": dict(sorted(Counter(o.kind for o in observations.odd_records).items())),
        "memory_mb_most": round(max((s.memory_mb for s in samples), default=0.0)),
        "descriptors_most": max((s.descriptors for s in samples), default=0),
        "log_bytes_most": max((s.log_bytes for s in samples), default=0),
        "violations": [asdict(violation) for violation in result.violations],
    }


def write_report(result: SoakResult, folder: Path, explanations: dict[str, str]) -> None:
    """Writes `summary.json` and `timeline.html`; `explanations` has log lines by subject."""
    folder.mkdir(parents=True, exist_ok=True)
    summary = summarize(result)
    (folder / "summary.json").write_text(json.dumps(summary, indent=1) + "\n")
    (folder / "timeline.html").write_text(_timeline(result, explanations))


def _timeline(result: SoakResult, explanations: dict[str, str]) -> str:
    started_at = result.observations.started_at
    rows = [
        _bar(
            number,
            span.begin - started_at,
            span.end - span.begin,
            span.target,
            span.scheduled.describe(),
        )
        for number, span in enumerate(result.observations.actions)
    ]
    width = LABEL_PIXELS + int(result.seconds * SECOND_PIXELS)
    height = ROW_PIXELS * (len(rows) + 1)
    found = "".join(_violation(violation, explanations) for violation in result.violations)
    return (
        "<!doctype html><meta charset=utf-8>"
        f"<title>soak, seed {result.schedule.seed}</title>"
        f"<h1>Soak, seed {result.schedule.seed}</h1>"
        f"<p>{len(result.violations)} violations</p><ul>{found}</ul>"
        f'<svg width="{width}" height="{height}" font-family="sans-serif" font-size="11">'
        f"{''.join(rows)}</svg>\n"
    )


def _bar(number: int, begin: float, seconds: float, target: str, what: str) -> str:
    top = number * ROW_PIXELS
    left = LABEL_PIXELS + begin * SECOND_PIXELS
    label = html.escape(f"{begin:.1f} s {target}: {what}")
    return (
        f'<text x="0" y="{top + 12}">{label}</text><rect x="{left:.0f}" y="{top + 2}" '
        f'width="{max(2.0, seconds * SECOND_PIXELS):.0f}" height="{ROW_PIXELS - 4}" fill="#47a"/>'
    )


def _violation(violation: Violation, explanations: dict[str, str]) -> str:
    text = html.escape(f"{violation.promise} {violation.subject}: {violation.what}")
    explanation = html.escape(explanations.get(violation.subject, ""))
    return f"<li>{text}<pre>{explanation}</pre></li>"
