"""Counters and histograms of one gateway daemon, in the Prometheus text format.

Label values are bounded: routes come from the configuration, outcomes and steps from
enumerations. Times are seconds.
"""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.gateway import GatewayCore

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
OTHER = "other"
CONTENT_TYPE = "text/plain; version=0.0.4"


class GatewayMetrics:
    """Figures told at the metrics address; log lines feed those of requests."""

    def __init__(self, core: GatewayCore) -> None:
        self.registry = CollectorRegistry()
        self._attempts = Counter(
            "troutswitch_attempts",
            "Attempts at engines by how they ended",
            ["kind"],
            registry=self.registry,
        )
        self._first = Histogram(
            "troutswitch_first_event_seconds",
            "Time from sending to the first event of an answer",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._close_to_abort = Histogram(
            "troutswitch_caller_close_to_abort_seconds",
            "Time from a caller's close to the end of its work at an engine",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._ends = Counter(
            "troutswitch_requests_given_up",
            "Requests given up by outcome, step and route",
            ["outcome", "step", "route"],
            registry=self.registry,
        )
        self._refusals = Counter(
            "troutswitch_requests_refused",
            "Requests refused on their arrival by status",
            ["status"],
            registry=self.registry,
        )
        self._events = Counter(
            "troutswitch_decisions", "Decisions logged", ["event"], registry=self.registry
        )
        self._gauge("requests_in_flight", "Requests", lambda: len(core.requests.requests))
        self._gauge("item_runs_in_flight", "Runs of items", lambda: len(core.jobs.owner.runs))
        self._gauge("shards_owned", "Shards owned", lambda: len(core.jobs.ownership.owned()))
        self._gauge("servers_known", "Engines known", lambda: len(core.engines.engines))
        self._gauge(
            "servers_missing_kept",
            "Engines in use although the last list lacks them",
            lambda: len(core.engines.kept_missing),
        )
        self._gauge("server_list_age_seconds", "Age of the list of engines", core.engine_list_age)
        self._gauge("peers_known", "Peers known", lambda: len(core.peers.peers))
        self._gauge(
            "groups_coordinated",
            "Groups of engines whose slots this daemon counts",
            lambda: len(core.slots.coordinator.coordinated),
        )
        self._gauge(
            "crash_suspects", "Requests under which engines ended", lambda: core.suspects.count
        )
        self._gauge(
            "requests_refused_for_crashes",
            "Requests that are refused as engines ended under them",
            lambda: len(core.suspects.refused),
        )
        self._gauge("configuration_version", "Version in force", lambda: core.routes.version)

    def _gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        gauge = Gauge(f"troutswitch_{name}", text, registry=self.registry)
        gauge.set_function(read)

    def on_line(self, line: LogLine) -> None:
        """Counts what a log line tells."""
        self._events.labels(line.event).inc()
        fields = line.fields
        if line.event in ("attempt ended", "item run ended"):
            self._attempts.labels(str(fields.get("kind", OTHER))).inc()
        first = fields.get("first_ms")
        if line.event == "attempt ended" and isinstance(first, int) and first < 60_000:
            self._first.observe(first / 1000)
        aborted = fields.get("close_to_abort_ms")
        if line.event == "caller gone" and isinstance(aborted, int):
            self._close_to_abort.observe(aborted / 1000)
        if line.event == "request refused":
            self._refusals.labels(str(fields.get("status", OTHER))).inc()
        if line.event == "request given up":
            labels = (str(fields.get(name, OTHER)) for name in ("outcome", "step", "route"))
            self._ends.labels(*labels).inc()

    def text(self) -> bytes:
        """Returns all figures as text."""
        return generate_latest(self.registry)
