"""Metrics of one daemon, in the Prometheus format."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge

from troutswitch.outcomes import OnlineOutcome
from troutswitch.standalone.decisions.daemon import DaemonCore


class DaemonMetrics:
    """Counters and gauges; gauges read the core's state when scraped."""

    def __init__(self, core: DaemonCore, busy_seconds: Callable[[], float]) -> None:
        self.registry = CollectorRegistry()
        self._outcomes = Counter(
            "troutswitch_online_outcomes",
            "Online requests by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self._gauge(
            "online_in_flight", "Online requests in flight", lambda: len(core.online.requests)
        )
        self._gauge("batch_running", "Batch items in flight", core.dispatcher.running_count)
        self._gauge(
            "batch_yielded",
            "Batch items cancelled for online",
            lambda: core.dispatcher.counts.yielded,
        )
        self._gauge("log_queue_records", "Records not yet on the log", core.writer.queued_records)
        self._gauge("shards_owned", "Shards owned", lambda: len(core.ownership.owners))
        self._gauge(
            "configuration_version",
            "Configuration in force",
            lambda: core.configuration.fold.version,
        )
        self._gauge("members", "Members not known dead", core.membership.live_count)
        self._gauge("loop_busy_seconds", "Processor time of the loop", busy_seconds)

    def _gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        gauge = Gauge(f"troutswitch_{name}", text, registry=self.registry)
        gauge.set_function(read)

    def count_outcome(self, outcome: OnlineOutcome | None) -> None:
        """Counts the end of an online request; None if its caller disconnected."""
        name = "abandoned" if outcome is None else type(outcome).__name__
        self._outcomes.labels(name).inc()
