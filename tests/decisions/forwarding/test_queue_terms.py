"""On which terms requests wait in a coordinator's queue, and what its denial means to callers."""

import random
from dataclasses import replace

import pytest

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, route
from troutswitch.decisions.forwarding.admission import MAX_QUEUE_SHARE
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.messages import (
    FinishRequest,
    LogLine,
    RequestArrived,
    SendRequest,
)
from troutswitch.decisions.forwarding.placer import (
    AssignedBy,
    Assignment,
    NoSlotInTime,
    Placement,
    PlacementRequest,
    QueueTerms,
)
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.forwarding.types import Route
from troutswitch.decisions.forwarding.wait_estimate import WaitEstimate
from troutswitch.decisions.tenants.types import Tenant, key_digest
from troutswitch.outcomes import AttemptOutcome, NotRun

KEY = key_digest("key")
TIME_LEFT = 5.0
DENIED = NoSlotInTime(WaitEstimate(1.2, 30, 16, 0.0), retry_after=0.7)


class RecordingPlacer:
    """Records the requests to place, and gives the next of some placements."""

    def __init__(self, placements: list[Placement | None]) -> None:
        self.requests: list[PlacementRequest] = []
        self._placements = placements

    def place(
        self, now: float, request: PlacementRequest, candidates: list[Engine]
    ) -> Placement | None:
        self.requests.append(request)
        if self._placements:
            return self._placements.pop(0)
        return Assignment(candidates[0], AssignedBy.COORDINATOR, False)

    def withdraw(self, now: float, token: int) -> None:
        return

    @property
    def terms(self) -> QueueTerms:
        """The terms of the newest request."""
        found = self.requests[-1].queue_terms
        assert found is not None
        return found


def harness_with(
    placements: list[Placement | None],
    policy: str = "hold_late",
    on_route: Route | None = None,
    *tenants: Tenant,
) -> tuple[ForwardingHarness, RecordingPlacer]:
    harness = ForwardingHarness(on_route or route())
    if tenants:
        current = harness.routes.configuration
        assert current is not None
        harness.routes.replace(replace(current, version=2, tenants=tenants))
    harness.requests = ForwardedRequests(
        "z", harness.routes, harness.engines, random.Random(1), "prefix_aware", policy
    )
    placer = RecordingPlacer(placements)
    harness.requests.placer = placer
    times = harness.requests.times
    times.on_completed("s", 0.06, 0.4, was_queued=False)
    return harness, placer


def new(token: int = 1, time_left: float = TIME_LEFT, key: str = "") -> RequestArrived:
    return replace(arrival(token, time_left=time_left), caller_key=key)


def test_a_tenants_priority_goes_before_that_of_the_route() -> None:
    """Both were decoded but used nowhere."""
    tenants = (
        Tenant("first", frozenset({KEY}), priority=0),
        Tenant("second", frozenset({key_digest("other")})),
    )
    on_route = replace(route(), priority=4)
    harness, placer = harness_with([], "hold_late", on_route, *tenants)
    harness.arrive(0.0, new(1, key=KEY))
    assert (placer.terms.share, placer.terms.priority) == ("first", 0)
    harness.arrive(0.0, new(2, key=key_digest("other")))
    assert (placer.terms.share, placer.terms.priority) == ("second", 4)


def test_callers_without_a_tenant_compete_as_their_route() -> None:
    harness, placer = harness_with([])
    harness.arrive(0.0, new())
    assert placer.terms.share == route().name


def test_the_objective_counts_from_the_first_try_to_the_first_event() -> None:
    """A slot just before the objective is too late: the first event takes 60 ms from there. Such
    requests went before others that could still meet theirs."""
    harness, placer = harness_with([], "hold_late", replace(route(), objective=0.3))
    harness.arrive(1.0, new(1))
    assert placer.terms.objective_at == pytest.approx(1.0 + 0.3 - 0.06)
    assert not placer.terms.is_returned
    harness.arrive(3.0, new(2, time_left=TIME_LEFT - 2.0))
    assert placer.terms.objective_at == float("-inf")
    assert placer.terms.is_returned


def test_a_slot_is_of_no_use_after_the_longest_delay_or_too_late_to_end() -> None:
    harness, placer = harness_with([])
    harness.arrive(1.0, new(1))
    assert placer.terms.expires_at == pytest.approx(1.0 + TIME_LEFT * MAX_QUEUE_SHARE)
    harness.arrive(1.0, new(2, time_left=0.5))
    assert placer.terms.expires_at == pytest.approx(1.0 + 0.5 - 0.4)


@pytest.mark.parametrize("policy", ["admit_all", "defer_late"])
def test_other_admission_policies_do_not_queue(policy: str) -> None:
    harness, placer = harness_with([], policy)
    harness.arrive(0.0, new())
    assert placer.requests[0].queue_terms is None


def test_a_denied_request_is_refused_with_the_coordinators_time() -> None:
    harness, _ = harness_with([DENIED])
    instructions = harness.requests.on_arrived(0.0, new())
    (finish,) = [i for i in instructions if isinstance(i, FinishRequest)]
    assert isinstance(finish.outcome, NotRun)
    assert (finish.outcome.status, finish.outcome.retry_after) == (503, 0.7)
    (line,) = [i for i in instructions if isinstance(i, LogLine)]
    assert line.event == "request deferred"
    assert line.fields["reason"] == "no slot before it expires"
    assert not harness.requests.requests


def test_a_request_that_was_sent_is_sent_again_instead_of_refused() -> None:
    """A refusal says that the request has not run, which would not be true."""
    harness, placer = harness_with([])
    sent = harness.arrive(0.0, new())
    assert isinstance(sent, SendRequest)
    placer._placements.append(DENIED)
    again = harness.end(0.1, sent, AttemptOutcome.REFUSED)
    assert isinstance(again, SendRequest)
    assert [r.queue_terms is None for r in placer.requests] == [False, False, True]
    assert placer.requests[1].queue_terms is not None
    assert placer.requests[1].queue_terms.is_returned


def test_a_resumed_stream_is_not_refused() -> None:
    """Its engine ran it before the stream was cut."""
    harness, placer = harness_with([DENIED])
    instructions = harness.requests.on_arrived(0.0, replace(new(), resume_after="7"))
    assert [type(i) for i in instructions if not isinstance(i, LogLine)] == [SendRequest]
    assert placer.requests[0].queue_terms is not None
    assert placer.requests[1].queue_terms is None
