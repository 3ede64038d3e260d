"""Promises about tenants: whose requests run, for whom, and that no engine sees a key."""

from troutswitch.soak.evidence import Evidence, Run
from troutswitch.soak.tenants import tenant_of
from troutswitch.soak.violations import Violation

REFUSED_STATUSES = frozenset({401, 503})
"""What a caller with an unknown key may be answered: that, or to come back to a daemon that knows
it is behind."""


def only_for_its_tenant(evidence: Evidence) -> list[Violation]:
    """UNASKED: an engine is told the tenant that holds the key, and never the key."""
    owners = {held.request_id: held.request_id for held in evidence.exchanges}
    owners |= {item: job.job_id for job in evidence.jobs for item in job.items}
    found: list[Violation] = []
    for run in evidence.runs:
        if run.kind == "begun" and run.request_id in owners:
            found += _wrong_tenant(run, tenant_of(owners[run.request_id]))
    return found


def _wrong_tenant(run: Run, tenant: str) -> list[Violation]:
    found: list[Violation] = []
    if run.tenant != tenant:
        what = f"ran for {run.tenant!r}, its key is {tenant}'s"
        found.append(Violation("UNASKED", run.request_id, what))
    if run.has_key:
        found.append(Violation("UNASKED", run.request_id, "a server was shown its key"))
    return found


def strangers_do_not_run(evidence: Evidence) -> list[Violation]:
    """ROUTE: a request with a key that nobody holds runs nowhere, and is told so."""
    begun = {run.request_id for run in evidence.runs if run.kind == "begun"}
    found: list[Violation] = []
    for held in evidence.strangers:
        if held.request_id in begun:
            found.append(Violation("ROUTE", held.request_id, "ran with a key of nobody"))
        if held.status and held.status not in REFUSED_STATUSES:
            what = f"answered {held.status} to a key of nobody"
            found.append(Violation("ROUTE", held.request_id, what))
    return found
