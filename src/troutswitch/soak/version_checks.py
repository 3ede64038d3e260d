"""Checks of streams while engines of several software versions serve.

The signature of an answer names the engine that brought its first event. A run, by the journals of
the engines, that asks for the events after one that its caller already has continues the stream,
whether or not any event of it arrives.
"""

from collections import defaultdict
from dataclasses import dataclass

from troutswitch.soak.observations import Exchange, JournalEntry, Observations, RequestKind
from troutswitch.soak.schedule import FAULT_FREE_SECONDS
from troutswitch.soak.violations import Violation

MIN_RESUMED_STREAMS = 12
"""Number of resumed streams from which the share that goes on is judged."""
MIN_CONTINUED_SHARE = 0.5
"""Bound on the share of resumed streams that go on, as a part of the share of new ones."""


@dataclass(frozen=True, slots=True)
class StreamCounts:
    """New and resumed streams, and how many of each brought an event to their caller."""

    new: int
    begun: int
    resumed: int
    continued: int


def streams_continue_at_their_version(observations: Observations) -> list[Violation]:
    """ORDER: all runs of a stream after its first event are at the version that began it."""
    versions = observations.engine_versions
    runs_by_request: dict[str, list[JournalEntry]] = defaultdict(list)
    for entry in observations.journal_entries:
        if entry.kind == "begun":
            runs_by_request[entry.request_id].append(entry)
    origins = {
        exchange.request_id: versions.get(_signing_engine(exchange), "")
        for exchange in observations.exchanges
        if not exchange.resumed_id and exchange.events_received
    }
    found: list[Violation] = []
    for exchange in observations.exchanges:
        if exchange.kind is not RequestKind.STREAM:
            continue
        origin = origins.get(exchange.resumed_id or exchange.request_id)
        later = [run for run in runs_by_request[exchange.request_id] if run.after > 0]
        found += [
            Violation("ORDER", exchange.request_id, f"began at {origin}, continued at {version}")
            for run in later
            if origin is not None and (version := versions.get(run.engine, "")) != origin
        ]
    return found


def _signing_engine(exchange: Exchange) -> str:
    """Returns the id of the engine that signed an answer."""
    return exchange.stamp.removesuffix(f".{exchange.request_id}")


def most_resumed_streams_continue(observations: Observations) -> list[Violation]:
    """LOST: without faults, resumed streams go on at least half as often as new ones begin."""
    if len(set(observations.engine_versions.values())) < 2:
        return []
    counts = count_streams(
        [
            exchange
            for exchange in observations.exchanges
            if observations.is_fault_free(exchange.sent_at - FAULT_FREE_SECONDS, exchange.ended_at)
        ]
    )
    if counts.resumed < MIN_RESUMED_STREAMS or not counts.new:
        return []
    required = MIN_CONTINUED_SHARE * counts.begun / counts.new
    if counts.continued / counts.resumed >= required:
        return []
    what = f"{counts.continued} of {counts.resumed} went on, {counts.begun} of {counts.new} began"
    return [Violation("LOST", "resumed streams", what)]


def count_streams(exchanges: list[Exchange]) -> StreamCounts:
    """Counts streams by their attempts; a stream went on if any attempt brought an event."""
    streams = [e for e in exchanges if e.kind is RequestKind.STREAM and e.ended_at]
    new = [exchange for exchange in streams if not exchange.resumed_id]
    resumed = {exchange.resumed_id for exchange in streams if exchange.resumed_id}
    continued = {
        exchange.resumed_id
        for exchange in streams
        if exchange.resumed_id and (exchange.events_received or exchange.status == 200)
    }
    begun = sum(exchange.events_received > 0 for exchange in new)
    return StreamCounts(len(new), begun, len(resumed), len(continued))
