"""What one daemon counts for a tenant, against what users allow in any window."""

import random

import pytest

from troutswitch.decisions.tenants.quota_ledger import (
    MAX_RETRY_AFTER_SECONDS,
    QuotaLedger,
    QuotaLimit,
)
from troutswitch.decisions.tenants.types import QuotaBounds

BOUNDS = QuotaBounds(window=5.0, overshoot=0.1, slack=20.0)
LONG_AGO = -100.0


def ledger() -> QuotaLedger:
    return QuotaLedger(BOUNDS)


def most_in_window(times: list[float], window: float) -> int:
    """Returns the most requests in any window: one that begins with a request."""
    return max(sum(at <= other < at + window for other in times) for at in times)


def allowed(limit: QuotaLimit) -> float:
    """Returns what users allow in a window before a rule is broken."""
    return (limit.rate * BOUNDS.window + limit.burst) * (1 + BOUNDS.overshoot) + BOUNDS.slack


@pytest.mark.parametrize(("rate", "burst"), [(0.2, 0.2), (1.6, 1.6), (65.0, 65.0), (10.0, 0.0)])
@pytest.mark.parametrize("factor", [2.0, 11.0])
def test_a_tenant_far_above_its_limit_stays_inside_every_window(
    rate: float, burst: float, factor: float
) -> None:
    rng = random.Random(1)
    book, limit = ledger(), QuotaLimit(rate, burst, 1)
    now, sent = 0.0, []
    while now < 40.0:
        now += rng.expovariate(rate * factor)
        if book.take(now, "t", limit, 1, LONG_AGO).granted:
            sent.append(now)
    assert most_in_window(sent, BOUNDS.window) <= allowed(limit)
    assert len(sent) >= 0.95 * rate * 40


@pytest.mark.parametrize(("rate", "burst"), [(1.6, 1.6), (65.0, 65.0)])
def test_a_tenant_inside_its_limit_is_never_refused(rate: float, burst: float) -> None:
    """Also in crests: 1.87 times its mean for 2.4 s, where its limit is 1.6 times the mean."""
    rng = random.Random(2)
    book, limit = ledger(), QuotaLimit(rate, burst, 1)
    now, refused, count = 0.0, 0, 0
    while now < 60.0:
        is_crest = now % 5.8 >= 3.4
        now += rng.expovariate(rate / 1.6 * (1.87 if is_crest else 0.383))
        count += 1
        refused += not book.take(now, "t", limit, 1, LONG_AGO).granted
    assert count > 30
    assert refused == 0


def test_a_daemon_that_begins_to_count_allows_the_tolerance_alone() -> None:
    """What went before, at the daemon that counted until now, is not known to it."""
    limit = QuotaLimit(65.0, 65.0, 1)
    before, after = ledger(), ledger()
    spent = sum(before.take(0.0, "t", limit, 1, LONG_AGO).granted for _ in range(500))
    spent += sum(before.take(n / 100, "t", limit, 1, LONG_AGO).granted for n in range(200))
    spent += sum(after.take(2 + n / 100, "t", limit, 1, 2.0).granted for n in range(300))
    assert spent <= allowed(limit)


def test_a_lower_limit_holds_at_once_and_an_older_one_changes_nothing() -> None:
    book = ledger()
    assert book.take(0.0, "t", QuotaLimit(65.0, 65.0, 1), 1, LONG_AGO).granted
    low = QuotaLimit(1.0, 1.0, 2)
    taken = sum(book.take(0.1, "t", low, 1, LONG_AGO).granted for _ in range(200))
    taken += sum(book.take(0.2, "t", QuotaLimit(65.0, 65.0, 1), 1, LONG_AGO).granted for _ in "12")
    assert taken <= low.burst + book.tolerance(low) + 1


def test_callers_above_the_limit_get_times_to_retry_one_after_the_other() -> None:
    book, limit = ledger(), QuotaLimit(2.0, 0.0, 1)
    while book.take(0.0, "t", limit, 1, LONG_AGO).granted:
        pass
    waits = [book.take(0.0, "t", limit, 1, LONG_AGO).wait for _ in range(3)]
    assert waits == sorted(waits)
    assert waits[1] - waits[0] == pytest.approx(0.5)
    many = [book.take(0.0, "t", limit, 1, LONG_AGO).wait for _ in range(500)]
    assert max(many) == MAX_RETRY_AFTER_SECONDS


def test_accounts_of_tenants_that_send_nothing_are_dropped() -> None:
    book = ledger()
    book.take(0.0, "t", QuotaLimit(5.0, 5.0, 1), 1, LONG_AGO)
    assert len(book) == 1
    book.drop_idle(20.0)
    assert len(book) == 0
