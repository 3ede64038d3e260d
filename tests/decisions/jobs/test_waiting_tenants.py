"""Waiting items of a daemon by tenant."""

from troutswitch.daemons.messages import (
    MAX_TENANT_NAME_BYTES,
    MAX_TENANT_ROWS,
    OTHER_TENANTS,
    TenantItems,
)
from troutswitch.decisions.jobs.waiting_tenants import is_in_row, rows_by_tenant, without_started


def test_items_without_a_named_tenant_have_no_rows() -> None:
    assert rows_by_tenant(["", ""], [""], 64) == ()
    assert rows_by_tenant(["", "a"], [""], 64) == (TenantItems("", 1, 1), TenantItems("a", 1, 0))


def test_no_row_counts_more_items_than_the_daemon_can_run() -> None:
    """The load: 400 items of one tenant in time and 40 late ones of another, with 64 runs."""
    rows = rows_by_tenant(["large"] * 400, ["small"] * 40, 64)
    assert rows == (TenantItems("large", 64, 0), TenantItems("small", 0, 40))
    assert rows_by_tenant(["large"] * 400, [], 0) == ()


def test_rows_are_bounded_and_keep_the_tenants_with_most_items() -> None:
    """Guards against a datagram that grows with the number and the names of tenants."""
    names = [f"t{n:02}" for n in range(40)]
    long_name = "x" * (MAX_TENANT_NAME_BYTES + 1)
    rows = rows_by_tenant([*names, "t39", long_name, long_name], [], 64)
    assert len(rows) == MAX_TENANT_ROWS + 1
    assert rows[-1] == TenantItems(OTHER_TENANTS, 40 - MAX_TENANT_ROWS + 2, 0)
    assert TenantItems("t39", 2, 0) in rows
    assert is_in_row(long_name, OTHER_TENANTS, rows)
    assert not is_in_row("t39", OTHER_TENANTS, rows)


def test_names_that_can_not_be_sent_count_with_the_others() -> None:
    """Guards against a name that makes the encoding of each report fail."""
    rows = rows_by_tenant(["\ud800", OTHER_TENANTS, "a"], [], 64)
    assert rows == (TenantItems("a", 1, 0), TenantItems(OTHER_TENANTS, 2, 0))


def test_started_items_are_subtracted_from_their_row() -> None:
    """Guards against slots that are granted again to items that have just started."""
    rows = (TenantItems("a", 1, 2), TenantItems("b", 1, 0), TenantItems(OTHER_TENANTS, 3, 0))
    assert without_started(rows, ["a", "a", "b", "c"]) == (
        TenantItems("a", 0, 1),
        TenantItems(OTHER_TENANTS, 2, 0),
    )
