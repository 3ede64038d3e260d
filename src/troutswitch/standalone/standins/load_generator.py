"""Load generator: a fixed number of concurrent streams, with the latencies callers see."""

import http.client
import json
import threading
import time
from dataclasses import dataclass, field

from troutswitch.common import Address

TIMEOUT_SECONDS = 60.0
MAX_NOT_RUN_ATTEMPTS = 20
"""Maximum attempts of a request whose refusals report that it was not run."""


@dataclass(frozen=True)
class LoadPlan:
    """Load to send. A request that was refused and not run is retried at the next target."""

    targets: tuple[Address, ...]
    model: str
    streams: int
    tokens: int
    requests: int
    spread_seconds: float
    is_direct: bool = False
    prompt: str = "describe the photograph of the lake at dusk "


@dataclass
class LoadReport:
    """Results from the callers' view; times in seconds."""

    first_token: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    completed: int = 0
    refused: int = 0
    errors: list[str] = field(default_factory=list)
    tokens: int = 0
    seconds: float = 0.0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def summary(self) -> dict[str, object]:
        """Returns the results as one flat object; latencies in milliseconds."""
        return {
            "completed": self.completed,
            "refused": self.refused,
            "errors": len(self.errors),
            "first_error": self.errors[0] if self.errors else "",
            "first_token_p50_ms": quantile(self.first_token, 0.5) * 1000,
            "first_token_p95_ms": quantile(self.first_token, 0.95) * 1000,
            "gap_p50_ms": quantile(self.gaps, 0.5) * 1000,
            "gap_p95_ms": quantile(self.gaps, 0.95) * 1000,
            "tokens_per_second": self.tokens / self.seconds if self.seconds else 0.0,
        }


def quantile(values: list[float], share: float) -> float:
    """Returns the quantile of the values at `share`; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_load(plan: LoadPlan) -> LoadReport:
    """Runs the plan and returns the report."""
    report = LoadReport()
    started = time.monotonic()
    threads = [
        threading.Thread(target=_run_stream, args=(plan, number, report), daemon=True)
        for number in range(plan.streams)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    report.seconds = time.monotonic() - started
    return report


def _run_stream(plan: LoadPlan, number: int, report: LoadReport) -> None:
    time.sleep(plan.spread_seconds * number / max(1, plan.streams))
    for index in range(plan.requests):
        _run_request(plan, f"{number}-{index}", number, report)


def _run_request(plan: LoadPlan, name: str, number: int, report: LoadReport) -> None:
    reason: str | None = None
    for attempt in range(MAX_NOT_RUN_ATTEMPTS):
        target = plan.targets[(number + attempt) % len(plan.targets)]
        reason = _try_request(plan, name, target, report)
        if reason is None:
            return
        if not reason.startswith("not run"):
            break
        time.sleep(0.1)
    with report.lock:
        if reason is None:
            return
        if reason.startswith("not run"):
            report.refused += 1
        else:
            report.errors.append(reason)


def _try_request(plan: LoadPlan, name: str, target: Address, report: LoadReport) -> str | None:
    """Sends a request; returns None if it completed, else the reason of the failure."""
    prompt = f"{plan.prompt * 4}{name}"
    body: dict[str, object] = {"model": plan.model, "prompt": prompt, "max_tokens": plan.tokens}
    body["stream"] = True
    if plan.is_direct:
        body.update(stream_id=name, priority=0)
    connection = http.client.HTTPConnection(target.host, target.port, timeout=TIMEOUT_SECONDS)
    started = time.monotonic()
    try:
        connection.connect()
    except OSError as error:
        return f"not run: {error}"
    try:
        headers = {"Content-Type": "application/json"}
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        response = connection.getresponse()
        if response.status != 200:
            return _refusal_reason(response)
        return _read_stream(response, started, plan.is_direct, report)
    except (OSError, http.client.HTTPException) as error:
        return f"{type(error).__name__}: {error}"
    finally:
        connection.close()


def _refusal_reason(response: http.client.HTTPResponse) -> str:
    text = response.read().decode(errors="replace")
    try:
        error = json.loads(text).get("error", {})
    except ValueError:
        return f"status {response.status}: {text[:200]}"
    prefix = "not run: " if isinstance(error, dict) and error.get("not_run") else ""
    return f"{prefix}status {response.status}: {text[:200]}"


def _read_stream(
    response: http.client.HTTPResponse, started: float, is_direct: bool, report: LoadReport
) -> str | None:
    last = started
    first: float | None = None
    gaps: list[float] = []
    events = 0
    while line := response.readline():
        if not line.startswith(b"data: "):
            continue
        if b'"error":' in line:
            return line.decode()[:200]
        if line.startswith(b"data: [DONE]") or (is_direct and b'"done":true' in line):
            break
        now = time.monotonic()
        if first is None:
            first = now - started
        else:
            gaps.append(now - last)
        last = now
        events += 1
    else:
        return "the stream broke off"
    with report.lock:
        report.completed += 1
        report.tokens += events
        report.gaps.extend(gaps)
        if first is not None:
            report.first_token.append(first)
    return None
