"""Divides a daemon's waiting items by the services whose engines can run them, for coordinators.

There are no rows if each item can start at every listed service: slots of any of them are then of
use. At most `MAX_SERVICE_ROWS` services have a row of their own, those with the most items. One
further row has the most items of any service without a row.
"""

from collections import Counter
from collections.abc import Iterable, Set

from troutswitch.daemons.messages import MAX_SERVICE_ROWS, OTHER_SERVICES, ServiceItems
from troutswitch.decisions.slots.messages import WaitingItems
from troutswitch.decisions.streams.versions import service_key

Rows = tuple[ServiceItems, ...]


def rows_by_service(
    in_time: Iterable[Set[str]],
    late: Iterable[Set[str]],
    listed: Set[str],
    available: int,
) -> Rows:
    """Returns the rows for items, of each of which the services are given that can run it.

    Args:
        in_time: the services of items that can meet their job's objective.
        late: the services of items that will miss it.
        listed: the services that have engines.
        available: the number of runs that this daemon can start; no row has a greater number.
    """
    in_time, late = list(in_time), list(late)
    if all(services >= listed for services in (*in_time, *late)):
        return ()
    in_time_counts = Counter(service for services in in_time for service in services)
    late_counts = Counter(service for services in late for service in services)
    counts = in_time_counts + late_counts
    most_first = sorted(counts, key=lambda service: (-counts[service], service))
    named, others = most_first[:MAX_SERVICE_ROWS], most_first[MAX_SERVICE_ROWS:]
    rows = [
        ServiceItems(
            service_key(service),
            min(available, in_time_counts[service]),
            min(available, late_counts[service]),
        )
        for service in sorted(named)
    ]
    others_in_time = max((in_time_counts[service] for service in others), default=0)
    others_late = max((late_counts[service] for service in others), default=0)
    rows.append(
        ServiceItems(OTHER_SERVICES, min(available, others_in_time), min(available, others_late))
    )
    return tuple(rows)


def items_at(rows: Rows, service: str) -> ServiceItems:
    """Returns the row that counts for a service, of rows that are not empty."""
    key = service_key(service)
    own = next((row for row in rows if row.service == key), None)
    others = (row for row in rows if row.service == OTHER_SERVICES)
    return own or next(others, ServiceItems(OTHER_SERVICES, 0, 0))


def rows_without_started(rows: Rows, service: str, count: int) -> Rows:
    """Returns the rows less items that started at a service; those in time count as first."""
    if not rows or not count:
        return rows
    row = items_at(rows, service)
    left = WaitingItems(row.in_time, row.late).without(count)
    return tuple(
        ServiceItems(other.service, left.in_time, left.late) if other is row else other
        for other in rows
    )
