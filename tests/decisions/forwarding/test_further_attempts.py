"""Further attempts of a request count against its tenant's quota, as engines run them again."""

from dataclasses import replace

import pytest

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, configuration
from troutswitch.decisions.forwarding.messages import CallerGone, FinishRequest, SendRequest
from troutswitch.decisions.forwarding.request import RequestState
from troutswitch.decisions.forwarding.retry import MAX_QUOTA_RETRY_SECONDS
from troutswitch.decisions.tenants.quota import NoQuota, QuotaCompletion, QuotaResult, QuotaWay
from troutswitch.decisions.tenants.types import Tenant, key_digest
from troutswitch.outcomes import AttemptOutcome

KEY = key_digest("key")
ALLOWED = QuotaResult(True, 0.0, "peer", QuotaWay.COUNTED)
REFUSED = QuotaResult(False, 0.2, "peer", QuotaWay.COUNTED)


class ScriptedQuota(NoQuota):
    """Admits new requests, and gives further attempts the next of some results."""

    def __init__(self, *results: QuotaResult | None) -> None:
        self.results = list(results)
        self.withdrawn: list[int] = []

    def take(
        self, now: float, token: int, tenant: Tenant, *, is_further: bool = False
    ) -> QuotaResult | None:
        return self.results.pop(0) if is_further else ALLOWED

    def withdraw(self, token: int) -> None:
        self.withdrawn.append(token)


def harness(quota: ScriptedQuota) -> ForwardingHarness:
    forwarding = ForwardingHarness()
    tenant = Tenant("t", frozenset({KEY}), 1.0, 1.0)
    forwarding.routes.replace(replace(configuration(2), tenants=(tenant,)))
    forwarding.requests.arrivals.quota = quota
    return forwarding


def send(forwarding: ForwardingHarness) -> SendRequest:
    sent = forwarding.arrive(0.0, replace(arrival(1), caller_key=KEY))
    assert isinstance(sent, SendRequest)
    return sent


def test_an_attempt_after_one_that_may_have_run_is_counted() -> None:
    quota = ScriptedQuota(ALLOWED)
    forwarding = harness(quota)
    again = forwarding.end(0.1, send(forwarding), AttemptOutcome.CUT)
    assert isinstance(again, SendRequest)
    assert quota.results == []


@pytest.mark.parametrize("kind", [AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE])
def test_an_attempt_after_one_that_did_not_run_is_not_counted(kind: AttemptOutcome) -> None:
    quota = ScriptedQuota(REFUSED)
    forwarding = harness(quota)
    assert isinstance(forwarding.end(0.1, send(forwarding), kind), SendRequest)
    assert quota.results == [REFUSED]


def test_an_attempt_above_the_quota_waits_and_is_counted_again() -> None:
    quota = ScriptedQuota(REFUSED, ALLOWED)
    forwarding = harness(quota)
    assert forwarding.end(0.1, send(forwarding), AttemptOutcome.CUT) is None
    assert forwarding.requests.on_timer(0.2) == []
    sent = forwarding.only_instruction(forwarding.requests.on_timer(0.1 + MAX_QUOTA_RETRY_SECONDS))
    assert isinstance(sent, SendRequest)


def test_an_attempt_waits_for_a_coordinators_decision() -> None:
    forwarding = harness(ScriptedQuota(None))
    assert forwarding.end(0.1, send(forwarding), AttemptOutcome.CUT) is None
    assert forwarding.requests.requests[1].state is RequestState.COUNTING
    decided = forwarding.requests.on_quota_decided(0.2, QuotaCompletion(1, ALLOWED))
    assert isinstance(forwarding.only_instruction(decided), SendRequest)


def test_a_caller_that_leaves_withdraws_the_pending_decision() -> None:
    quota = ScriptedQuota(None)
    forwarding = harness(quota)
    forwarding.end(0.1, send(forwarding), AttemptOutcome.CUT)
    forwarding.requests.on_caller_gone(0.2, CallerGone(1, 0.2))
    assert quota.withdrawn == [1]
    assert forwarding.requests.on_quota_decided(0.3, QuotaCompletion(1, ALLOWED)) == []


def test_a_request_whose_attempt_stays_above_the_quota_ends_at_its_deadline() -> None:
    forwarding = harness(ScriptedQuota(*[REFUSED] * 100))
    forwarding.end(0.1, send(forwarding), AttemptOutcome.CUT)
    finished: list[FinishRequest] = []
    for tenth in range(2, 60):
        instructions = forwarding.requests.on_timer(tenth / 10)
        finished += [each for each in instructions if isinstance(each, FinishRequest)]
    assert len(finished) == 1
