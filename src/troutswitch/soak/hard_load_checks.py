"""Checks of the promises under demanding load: competing tenants, slow callers, small memory."""

from troutswitch.soak.observations import Exchange, Observations, Outcome
from troutswitch.soak.schedule import FAULT_FREE_SECONDS
from troutswitch.soak.tenants import STEADY_PREFIX, SURGE_PREFIX
from troutswitch.soak.violations import Violation

REFUSED_STATUSES = frozenset({429, 503})
MIN_STEADY_REQUESTS = 40
"""Requests below which a share of them says nothing: 2 failures of them are 5 in 100."""
MAX_UNSERVED_SHARE = 0.05
"""Share of the requests of a tenant inside its share that may fail without a fault. The design
page promises 0.95 of what the tenant would get alone."""
MIN_BUSY_SHARE = 0.5
"""Share of all slots that must run requests while one is refused. It is below 1 because one of a
few engines may be draining or starting, and slots are granted before their request runs."""
TRANSIT_SECONDS = 0.25
"""Time before a refusal in which runs count: slots whose requests are on their way to or from an
engine are taken, too, and a busy machine delays datagrams and requests by up to 0.2 s."""
MAX_RUN_SECONDS = 5.0
"""Assumed length of a run whose end is not recorded: the time limit of all routes."""
BYTES_PER_MIB = 1024 * 1024
BYTES_PER_MB = 1_000_000


def callers_inside_their_share_are_served(observations: Observations) -> list[Violation]:
    """SHARE: without a fault, a tenant inside its share is served whatever others send."""
    ended = [
        exchange
        for exchange in observations.exchanges
        if exchange.request_id.startswith(STEADY_PREFIX)
        and exchange.outcome is not Outcome.OPEN
        and _is_undisturbed(observations, exchange)
    ]
    if len(ended) < MIN_STEADY_REQUESTS:
        return []
    unserved = [
        exchange
        for exchange in ended
        if exchange.outcome is not Outcome.COMPLETE or exchange.status != 200
    ]
    if len(unserved) <= MAX_UNSERVED_SHARE * len(ended):
        return []
    what = f"{len(unserved)} of {len(ended)} requests inside the share were not served, first "
    first = unserved[0]
    return [Violation("SHARE", first.request_id, f"{what}{first.outcome} {first.status}")]


def refusals_come_while_engines_are_busy(observations: Observations) -> list[Violation]:
    """IDLE: without a fault, a competing request is refused only while engines are busy.

    An engine's slots are taken by the requests that it runs, by its journal, and by those that were
    sent to it and have not ended, by the daemons' logs.
    """
    if not observations.slots:
        return []
    refused = [
        exchange
        for exchange in observations.exchanges
        if exchange.request_id.startswith(SURGE_PREFIX)
        and exchange.outcome is Outcome.COMPLETE
        and exchange.status in REFUSED_STATUSES
        and _is_undisturbed(observations, exchange)
        and not is_planned_at(observations, exchange)
    ]
    runs = _runs(observations)
    found: list[Violation] = []
    for exchange in refused:
        begin = exchange.sent_at - TRANSIT_SECONDS
        running = max(
            _most_at_once(runs, begin, exchange.ended_at),
            _most_at_once(observations.attempts, exchange.sent_at, exchange.ended_at),
        )
        if running < MIN_BUSY_SHARE * observations.slots:
            what = f"refused by {exchange.status} while at most {running} requests ran"
            found.append(Violation("IDLE", exchange.request_id, what))
    return found


def _most_at_once(runs: list[tuple[float, float]], begin: float, end: float) -> int:
    """Returns the most runs at one time within a span."""
    near = [run for run in runs if run[0] <= end and run[1] >= begin]
    times = [max(begin, run[0]) for run in near]
    return max((sum(run[0] <= at <= run[1] for run in near) for at in times), default=0)


def _is_undisturbed(observations: Observations, exchange: Exchange) -> bool:
    begin = exchange.sent_at - FAULT_FREE_SECONDS
    return observations.is_fault_free(begin, exchange.ended_at)


def is_planned_at(observations: Observations, exchange: Exchange) -> bool:
    """Returns whether a planned operation on the daemon of an exchange overlaps it.

    A daemon that stops or starts refuses requests for that reason.
    """
    return any(
        span.target == exchange.daemon
        and span.begin - FAULT_FREE_SECONDS <= exchange.ended_at
        and span.end + FAULT_FREE_SECONDS >= exchange.sent_at
        for span in observations.actions
    )


def _runs(observations: Observations) -> list[tuple[float, float]]:
    """Returns begin and end of all runs."""
    begun: dict[tuple[str, str], float] = {}
    runs: list[tuple[float, float]] = []
    for entry in observations.journal_entries:
        key = (entry.engine, entry.request_id)
        if entry.kind == "begun":
            begun[key] = entry.written_at
        elif entry.kind in ("ended", "failed") and key in begun:
            runs.append((begun.pop(key), entry.written_at))
    return runs + [(begin, begin + MAX_RUN_SECONDS) for begin in begun.values()]


def memory_stays_under_its_limit(observations: Observations) -> list[Violation]:
    """BOUND: a daemon's resident memory stays under the limit that its settings name."""
    limit = observations.memory_limit_mb
    if not limit:
        return []
    peaks: dict[str, float] = {}
    for sample in observations.samples:
        peak = max(sample.memory_mb, sample.peak_memory_mb) * BYTES_PER_MIB / BYTES_PER_MB
        peaks[sample.process] = max(peak, peaks.get(sample.process, 0.0))
    return [
        Violation("BOUND", process, f"{peak:.0f} MB resident, its limit is {limit:.0f} MB")
        for process, peak in peaks.items()
        if peak > limit
    ]
