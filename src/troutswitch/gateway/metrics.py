"""Counters, gauges and histograms of one gateway daemon, in the Prometheus text format.

Counters and histograms are updated from the core's log lines. Gauges read the core when they are
scraped, on another thread than the loop's. Label values are bounded: routes come from the
configuration, outcomes and steps from enumerations. Times are in seconds.
"""

from collections.abc import Callable
from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from troutswitch.clock import steady_seconds
from troutswitch.decisions.forwarding.engine import FactorSource
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.routes import ConfigurationSource
from troutswitch.decisions.gateway import GatewayCore
from troutswitch.decisions.tenants.quota import Authority, QuotaWay
from troutswitch.gateway.callers.unread_answers import UnreadAnswers
from troutswitch.gateway.engines.connection_pool import ConnectionUse
from troutswitch.gateway.memory.account import MemoryAccount
from troutswitch.gateway.memory.pressure import Kind

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
MISSING_LABEL = "other"
"""Label value if a log line does not have the field."""
NO_FIRST_EVENT_MILLISECONDS = 60_000
"""A time to the first event that is this long or longer denotes an attempt without events."""
QUEUE_OUTCOMES = {
    "slot request queued": "queued",
    "slot granted after wait": "granted",
    "slot request denied": "denied",
    "queue not confirmed": "not confirmed",
}
"""Values of the label `outcome` of queued requests, by log event."""
CONTENT_TYPE = "text/plain; version=0.0.4"


class GatewayMetrics:
    """The metrics of one daemon, as served at the metrics path."""

    def __init__(
        self,
        core: GatewayCore,
        blocking_calls: Callable[[], int] = lambda: 0,
        memory: MemoryAccount | None = None,
        unread_answers: Callable[[], UnreadAnswers] = UnreadAnswers,
    ) -> None:
        self.registry = CollectorRegistry()
        self._attempts = self._counter("attempts", "Attempts at engines, by kind of end", "kind")
        self._unproved = self._counter(
            "unproved_answers",
            "Responses that were not proved to be the engine's whole answer, by defect",
            "defect",
        )
        self._first_event = self._histogram(
            "first_event_seconds", "Time from sending a request to its answer's first event"
        )
        self._close_to_abort = self._histogram(
            "caller_close_to_abort_seconds",
            "Time from a caller's close to the abort of its request at the engine",
        )
        self._given_up = self._counter(
            "requests_given_up",
            "Requests that ended without an engine's answer",
            "outcome",
            "step",
            "route",
        )
        self._refused = self._counter(
            "requests_refused", "Requests refused on arrival, by HTTP status", "status"
        )
        self._quota_decisions = self._counter(
            "quota_decisions",
            "Decisions on requests of tenants with a quota, by count and result",
            "way",
            "result",
        )
        self._quota_seconds = self._histogram(
            "quota_decision_seconds", "Time that a decision on the quota took"
        )
        self._further_attempts = self._counter(
            "further_attempts", "Attempts after the first of a request", "quota_way"
        )
        self._dropped_datagrams = self._counter(
            "peer_datagrams_dropped", "Datagrams between daemons that were unreadable or too long"
        )
        self._unexpected_errors = self._counter(
            "unexpected_errors",
            "Errors that no code expected, by the step that raised them",
            "step",
        )
        self._unreadable_loads = self._counter(
            "load_headers_unreadable", "Load headers of engines that are not three or four numbers"
        )
        self._health_requests = self._counter(
            "health_requests", "Requests to engines' health paths, by result", "result"
        )
        self._connections = self._counter(
            "engine_connections_used",
            "Connections to engines used for requests, by kind of request and whether new",
            "kind",
            "state",
        )
        self._queued = self._counter(
            "queued_slot_requests",
            "Requests for slots in coordinators' queues, by what happened to them",
            "outcome",
        )
        self._queue_wait = self._histogram(
            "slot_queue_wait_seconds", "Time that a queued request waited for its slot"
        )
        self._queue_denials = self._counter(
            "slot_queue_denials", "Requests that this daemon denied as a coordinator", "reason"
        )
        self._batch_slots = self._counter(
            "batch_slots_granted_to_tenants",
            "Slots that this daemon granted to tenants' items as a coordinator",
            "tenants",
        )
        self._item_stops = self._counter(
            "item_stops",
            "Items of paced services stopped for online requests, by the stage of their run",
            "stage",
        )
        self._events = self._counter("decisions", "Log lines of decisions, by event", "event")
        self._memory_bodies = self._counter(
            "memory_refused_bodies", "Bodies of requests refused as the memory account was full"
        )
        self._memory_readers = self._counter(
            "memory_closed_readers",
            "Connections closed as their callers did not read, by reason",
            "reason",
        )
        self._memory_jobs = self._counter(
            "memory_refused_jobs", "Jobs refused as the memory account had no room for their items"
        )
        self._add_memory_gauges(memory or MemoryAccount())
        self._add_unread_gauges(unread_answers)
        self._add_workload_gauges(core)
        self._add_fleet_gauges(core)
        self._add_configuration_gauges(core)
        self._gauge(
            "blocking_calls",
            "Calls to the store, peers and engines' ports that run or wait for a thread",
            blocking_calls,
        )

    def _add_memory_gauges(self, memory: MemoryAccount) -> None:
        held = Gauge(
            "troutswitch_memory_held_bytes",
            "Bytes held for callers, engines and jobs, by kind",
            ("kind",),
            registry=self.registry,
        )
        for kind in Kind:
            held.labels(kind.value).set_function(partial(memory.held, kind))
        self._gauge(
            "memory_limit_bytes",
            "Limit of the bytes held, 0 without one",
            lambda: memory.limits.account_bytes,
        )
        self._gauge(
            "memory_high_water_bytes",
            "Most bytes held at once since the start",
            lambda: memory.high_water,
        )

    def _add_unread_gauges(self, unread_answers: Callable[[], UnreadAnswers]) -> None:
        self._gauge(
            "unread_answers",
            "Connections on which a caller has not received its whole answer",
            lambda: len(unread_answers().answers),
        )
        self._gauge(
            "unread_answer_bytes",
            "Bytes of answers that callers have not received",
            lambda: unread_answers().size,
        )

    def _add_workload_gauges(self, core: GatewayCore) -> None:
        self._gauge(
            "requests_in_flight",
            "Callers' requests in progress",
            lambda: len(core.requests.requests),
        )
        self._gauge(
            "item_runs_in_flight",
            "Batch items that run at engines",
            lambda: len(core.jobs.owner.runs),
        )
        self._gauge(
            "shards_owned",
            "Shards of jobs that this daemon owns",
            lambda: len(core.jobs.ownership.owned()),
        )

    def _add_fleet_gauges(self, core: GatewayCore) -> None:
        engines, suspects = core.engines, core.suspects
        self._gauge("servers_known", "Engines in the registry", lambda: len(engines.engines))
        self._gauge(
            "servers_missing_kept",
            "Engines in use although the newest list lacks them",
            lambda: len(engines.kept_missing),
        )
        self._gauge(
            "server_list_age_seconds", "Age of the newest list of engines", core.engine_list_age
        )
        self._gauge(
            "engine_versions_age_seconds",
            "Age of the knowledge of all software versions of engines",
            core.versions_age,
        )
        self._gauge("peers_known", "Other daemons known", lambda: len(core.peers.peers))
        self._gauge(
            "groups_coordinated",
            "Groups of engines whose slots this daemon counts",
            lambda: len(core.slots.coordinator.coordinated),
        )
        self._add_quota_gauge(core)
        self._add_factor_gauge(core)
        self._gauge(
            "crash_suspects",
            "Requests under which engines crashed, refused or not",
            lambda: suspects.count,
        )
        self._gauge(
            "requests_refused_for_crashes",
            "Requests that are refused as engines crashed under them",
            lambda: len(suspects.refused),
        )

    def _add_quota_gauge(self, core: GatewayCore) -> None:
        groups = Gauge(
            "troutswitch_quota_groups",
            "Groups of tenants whose requests this daemon may count, by its authority",
            ("authority",),
            registry=self.registry,
        )
        for authority in Authority:
            groups.labels(authority.value).set_function(partial(_quota_groups, core, authority))

    def _add_factor_gauge(self, core: GatewayCore) -> None:
        engines = Gauge(
            "troutswitch_engines_by_factor_source",
            "Engines of services with a pace, by the source of their time factor",
            ("source",),
            registry=self.registry,
        )
        for source in FactorSource:
            engines.labels(source.value).set_function(partial(_engines_by_source, core, source))

    def _add_configuration_gauges(self, core: GatewayCore) -> None:
        configuration = core.configuration
        self._gauge(
            "configuration_version",
            "Version of the configuration in force",
            configuration.version,
        )
        self._gauge(
            "configuration_age_seconds",
            "Time since no newer configuration existed, as far as known here",
            lambda: configuration.age(steady_seconds()),
        )
        self._gauge(
            "configuration_read_seconds",
            "Age of the oldest read of the configuration that is in flight, 0 without one",
            lambda: configuration.follower.attempts.read_seconds(steady_seconds()),
        )
        self._gauge(
            "configuration_reads_failed",
            "Reads of the configuration that failed since the last success",
            lambda: configuration.follower.attempts.failures,
        )
        learnt_by = Gauge(
            "troutswitch_configuration_learnt_by",
            "1 for the way by which the configuration in force came",
            ("way",),
            registry=self.registry,
        )
        for way in ConfigurationSource:
            learnt_by.labels(way.value).set_function(partial(_is_learnt_by, core, way))
        self._gauge(
            "engine_entries_unusable",
            "Entries of the newest engine list that name no engine to use",
            lambda: len(core.engines.unusable_entries),
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"troutswitch_{name}", text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"troutswitch_{name}", text, buckets=SECONDS_BUCKETS, registry=self.registry
        )

    def _gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        gauge = Gauge(f"troutswitch_{name}", text, registry=self.registry)
        gauge.set_function(read)

    def count_dropped_datagram(self) -> None:
        """Counts a datagram between daemons that was dropped; called on any thread."""
        self._dropped_datagrams.inc()

    def count_unexpected_error(self, step: str) -> None:
        """Counts an unexpected error; called on any thread. Steps are constants of the code."""
        self._unexpected_errors.labels(step).inc()

    def count_unreadable_load(self) -> None:
        """Counts a load header that could not be read; called on the threads that read answers."""
        self._unreadable_loads.inc()

    def count_connection(self, use: ConnectionUse, is_new: bool) -> None:
        """Counts a use of a connection to an engine; called on the threads that send requests."""
        self._connections.labels(use.value, "new" if is_new else "reused").inc()

    def on_log_line(self, line: LogLine) -> None:
        """Updates the metrics from a log line of the core; called on the loop's thread."""
        self._events.labels(line.event).inc()
        if "defect" in line.fields:
            self._unproved.labels(_label(line, "defect")).inc()
        match line.event:
            case "attempt ended":
                self._on_attempt_ended(line)
            case "item run ended":
                self._attempts.labels(_label(line, "kind")).inc()
            case "caller gone":
                aborted = line.fields.get("close_to_abort_ms")
                if isinstance(aborted, int):
                    self._close_to_abort.observe(aborted / 1000)
            case "engine health answered":
                self._health_requests.labels(_label(line, "result")).inc()
            case "request sent":
                self._on_sent(line)
            case "request refused":
                self._refused.labels(_label(line, "status")).inc()
                self._on_quota_decided(line, "refused")
            case "body refused for memory":
                self._memory_bodies.inc()
            case "reader closed for memory":
                self._memory_readers.labels(_label(line, "reason")).inc()
            case "job refused for memory":
                self._memory_jobs.inc()
            case "request given up":
                labels = (_label(line, name) for name in ("outcome", "step", "route"))
                self._given_up.labels(*labels).inc()
            case "queued request denied":
                self._queue_denials.labels(_label(line, "reason")).inc()
            case "item chosen to stop":
                self._item_stops.labels(_label(line, "stage")).inc()
            case "batch slots granted":
                self._on_batch_slots_granted(line)
            case _ if line.event in QUEUE_OUTCOMES:
                self._on_queue_line(line)

    def _on_queue_line(self, line: LogLine) -> None:
        self._queued.labels(QUEUE_OUTCOMES[line.event]).inc()
        waited = line.fields.get("waited_ms")
        if line.event == "slot granted after wait" and isinstance(waited, int):
            self._queue_wait.observe(waited / 1000)

    def _on_batch_slots_granted(self, line: LogLine) -> None:
        """Counts slots by whether one or several tenants had waiting items."""
        count, waiting = line.fields.get("count"), line.fields.get("tenants_waiting")
        if isinstance(count, int) and isinstance(waiting, int):
            self._batch_slots.labels("several" if waiting > 1 else "one").inc(count)

    def _on_sent(self, line: LogLine) -> None:
        if line.fields.get("attempt") == 1:
            self._on_quota_decided(line, "admitted")
        else:
            self._further_attempts.labels(_label(line, "quota_way")).inc()

    def _on_quota_decided(self, line: LogLine, result: str) -> None:
        """Counts a decision on a tenant with a quota; a request without one counts nothing."""
        way, taken = _label(line, "quota_way"), line.fields.get("quota_ms")
        if way in (MISSING_LABEL, QuotaWay.NONE.value):
            return
        self._quota_decisions.labels(way, result).inc()
        if isinstance(taken, int):
            self._quota_seconds.observe(taken / 1000)

    def _on_attempt_ended(self, line: LogLine) -> None:
        self._attempts.labels(_label(line, "kind")).inc()
        first = line.fields.get("first_ms")
        if isinstance(first, int) and first < NO_FIRST_EVENT_MILLISECONDS:
            self._first_event.observe(first / 1000)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def _is_learnt_by(core: GatewayCore, way: ConfigurationSource) -> float:
    return float(core.routes.source is way)


def _quota_groups(core: GatewayCore, authority: Authority) -> float:
    return float(core.quota.authorities(steady_seconds()).count(authority))


def _engines_by_source(core: GatewayCore, source: FactorSource) -> float:
    return float(core.engines.count_by_source(steady_seconds(), source))


def _label(line: LogLine, field: str) -> str:
    return str(line.fields.get(field, MISSING_LABEL))
