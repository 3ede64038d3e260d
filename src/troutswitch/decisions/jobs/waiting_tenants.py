"""Divides a daemon's waiting items by tenant, for the coordinators of paced services.

There are no rows if no item belongs to a named tenant: the items then count as one tenant's. At
most `MAX_TENANT_ROWS` tenants have a row of their own, those with the most items; the items of all
others, and of those whose names are long or not printable, count in one further row.
"""

from collections import Counter
from collections.abc import Iterable

from troutswitch.daemons.messages import (
    MAX_TENANT_NAME_BYTES,
    MAX_TENANT_ROWS,
    OTHER_TENANTS,
    TenantItems,
)

Rows = tuple[TenantItems, ...]


def rows_by_tenant(in_time: Iterable[str], late: Iterable[str], available: int) -> Rows:
    """Returns the rows for the tenants of items, one name for each item.

    Args:
        in_time: the tenants of items that can meet their job's objective.
        late: the tenants of items that will miss it.
        available: the number of runs that this daemon can start; no row has a greater number.
    """
    on_time_counts, late_counts = Counter(in_time), Counter(late)
    counts = on_time_counts + late_counts
    if not any(counts) or not available:
        return ()
    most_first = sorted(counts, key=lambda tenant: (-counts[tenant], tenant))
    named = [name for name in most_first if _may_be_named(name)][:MAX_TENANT_ROWS]
    others = counts.keys() - set(named)
    rows = [
        TenantItems(name, min(available, on_time_counts[name]), min(available, late_counts[name]))
        for name in sorted(named)
    ]
    if others:
        others_in_time = sum(on_time_counts[name] for name in others)
        others_late = sum(late_counts[name] for name in others)
        rows.append(
            TenantItems(OTHER_TENANTS, min(available, others_in_time), min(available, others_late))
        )
    return tuple(rows)


def _may_be_named(tenant: str) -> bool:
    """Returns whether a message can name a tenant; lone surrogates, for one, can't be encoded."""
    return tenant.isprintable() and len(tenant.encode()) <= MAX_TENANT_NAME_BYTES


def is_in_row(tenant: str, row: str, rows: Rows) -> bool:
    """Returns whether items of a tenant count in the row with a name."""
    if row != OTHER_TENANTS:
        return tenant == row
    return all(tenant != other.tenant for other in rows)


def without_started(rows: Rows, started: Iterable[str]) -> Rows:
    """Returns the rows less started items, given their tenants; those in time count as first."""
    counts = Counter(started)
    if not rows or not counts:
        return rows
    remaining: list[TenantItems] = []
    for row in rows:
        count = sum(n for tenant, n in counts.items() if is_in_row(tenant, row.tenant, rows))
        in_time = max(0, row.in_time - count)
        late = max(0, row.late - max(0, count - row.in_time))
        if in_time or late:
            remaining.append(TenantItems(row.tenant, in_time, late))
    return tuple(remaining)
