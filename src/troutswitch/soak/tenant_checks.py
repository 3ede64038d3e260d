"""Checks of the promises about tenants and their API keys."""

from troutswitch.soak.observations import JournalEntry, Observations
from troutswitch.soak.tenants import LIMITED_BURST, LIMITED_RATE, LIMITED_TENANT, tenant_of
from troutswitch.soak.violations import Violation

QUOTA_WINDOW_SECONDS = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20.0
"""`quotaWindowS`, `quotaOvershoot` and `quotaSlack` of the daemons' settings."""

REFUSED_STATUSES = frozenset({401, 503})
"""Allowed answers to an unknown key. 503 comes from a daemon that knows that its configuration is
out of date and asks the caller to retry."""


def runs_have_the_tenant_of_their_key(observations: Observations) -> list[Violation]:
    """UNASKED: an engine receives the name of the tenant that owns the key, and never the key."""
    owners = {exchange.request_id: exchange.request_id for exchange in observations.exchanges}
    owners |= {item: job.job_id for job in observations.jobs for item in job.items}
    found: list[Violation] = []
    for entry in observations.journal_entries:
        if entry.kind == "begun" and entry.request_id in owners:
            found += _check_tenant(entry, tenant_of(owners[entry.request_id]))
    return found


def _check_tenant(entry: JournalEntry, tenant: str) -> list[Violation]:
    found: list[Violation] = []
    if entry.tenant != tenant:
        what = f"ran for {entry.tenant!r}, its key is {tenant}'s"
        found.append(Violation("UNASKED", entry.request_id, what))
    if entry.has_key:
        found.append(Violation("UNASKED", entry.request_id, "an engine received its key"))
    return found


def unknown_keys_do_not_run(observations: Observations) -> list[Violation]:
    """ROUTE: a request with an unknown key never runs and is refused."""
    started = {entry.request_id for entry in observations.journal_entries if entry.kind == "begun"}
    found: list[Violation] = []
    for exchange in observations.unknown_key_exchanges:
        if exchange.request_id in started:
            found.append(Violation("ROUTE", exchange.request_id, "ran with an unknown key"))
        if exchange.status and exchange.status not in REFUSED_STATUSES:
            what = f"answered {exchange.status} to an unknown key"
            found.append(Violation("ROUTE", exchange.request_id, what))
    return found


def tenants_stay_within_their_quota(observations: Observations) -> list[Violation]:
    """QUOTA: in no window more requests are both sent and run than a tenant's quota permits."""
    permitted = LIMITED_RATE * QUOTA_WINDOW_SECONDS + LIMITED_BURST
    permitted = permitted * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
    begin, runs = most_limited_runs(observations)
    if runs <= permitted:
        return []
    what = f"{runs} requests ran in the window from {begin - observations.started_at:.2f} s"
    return [Violation("QUOTA", LIMITED_TENANT, f"{what}, {permitted:.1f} are permitted")]


def most_limited_runs(observations: Observations) -> tuple[float, int]:
    """Returns the begin of the limited tenant's fullest window, and the runs in it."""
    sent_at = {exchange.request_id: exchange.sent_at for exchange in observations.exchanges}
    runs = [
        (sent_at[entry.request_id], entry.written_at)
        for entry in observations.journal_entries
        if entry.kind == "begun" and entry.tenant == LIMITED_TENANT and entry.request_id in sent_at
    ]
    counts = {
        begin: sum(
            sent >= begin and arrived <= begin + QUOTA_WINDOW_SECONDS for sent, arrived in runs
        )
        for begin, _ in runs
    }
    begin = max(counts, key=lambda at: counts[at], default=0.0)
    return begin, counts.get(begin, 0)
