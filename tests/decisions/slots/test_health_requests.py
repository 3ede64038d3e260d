"""Which engines a coordinator asks for their pace, and when.

The load: a fleet whose engines are used several times a second, except for one that is avoided
since it reported 300 in a slow episode. One request costs 0.0033 of a day's value.
"""

import pytest

from tests.decisions.slots.harness import GROUP, SlotsDaemon, record
from troutswitch.daemons.messages import KnownClaim
from troutswitch.decisions.forwarding.engine import NO_SIZE, SAMPLE_SECONDS
from troutswitch.decisions.forwarding.types import EngineLoad
from troutswitch.decisions.slots.health_requests import (
    GROUP_INTERVAL_SECONDS,
    IDLE_SECONDS,
    IN_USE_SECONDS,
)
from troutswitch.decisions.slots.messages import HealthAnswered, HealthResult, RequestHealth

NOW = 5.0
PATH = "/health"
DAY_SECONDS = 41


class Fleet:
    """A coordinator whose engine `s0` is busy, and whose others are idle."""

    def __init__(self, engines: int = 2, path: str = PATH) -> None:
        self.records = [record(f"s{n}") for n in range(engines)]
        self.daemon = self.make_daemon("first", path)
        self.daemon.coordinate(NOW, self.daemon)
        for name in self.daemon.engines.engines:
            self.daemon.engines.on_load(NOW, name, EngineLoad(0, 0, 8, 300))
        self.asked: list[tuple[float, RequestHealth]] = []
        self.now = NOW
        self.is_used = True

    def make_daemon(self, name: str, path: str = PATH) -> SlotsDaemon:
        return SlotsDaemon(name, self.records, health_path=path)

    def play(
        self, seconds: float, percent: int | None = 55, result: HealthResult = HealthResult.PACE
    ) -> None:
        """Plays some seconds; health requests are answered in the next step, None: not at all."""
        for _ in range(round(seconds / SAMPLE_SECONDS)):
            self.now += SAMPLE_SECONDS
            daemon = self.daemon
            if self.is_used:
                daemon.engines.on_sent(self.now, "s0", False, NO_SIZE)
            daemon.engines.on_timer(self.now)
            daemon.tick(self.now)
            if self.is_used:
                daemon.engines.on_load(self.now, "s0", EngineLoad(0, 0, 8, 100))
                daemon.engines.on_ended(self.now, "s0", False, NO_SIZE, begun=True, failed=False)
            requests, daemon.health_requests = daemon.health_requests, []
            for request in requests:
                self.asked.append((self.now, request))
                if percent is not None:
                    answer = HealthAnswered(request.engine_id, result, percent)
                    daemon.fleet.health.on_answered(self.now, answer)


def test_engine_that_is_avoided_is_asked_and_used_again() -> None:
    fleet = Fleet()
    fleet.play(IDLE_SECONDS - 0.5)
    assert fleet.asked == []
    fleet.play(2.0)
    ((at, request),) = fleet.asked
    engine = fleet.daemon.engine("s1")
    assert request == RequestHealth("s1", engine.record.address, PATH)
    assert engine.pace.read_at == pytest.approx(at)
    assert engine.pace.percent == 55


def test_cost_of_a_day_is_bounded_however_many_engines_are_idle() -> None:
    """Ten idle engines that are each asked every 10 s would cost 0.13 of the day's value."""
    fleet = Fleet(engines=11)
    fleet.play(DAY_SECONDS)
    assert 1 <= len(fleet.asked) <= 1 + DAY_SECONDS // GROUP_INTERVAL_SECONDS
    assert len({request.engine_id for _, request in fleet.asked}) == len(fleet.asked)


def test_one_request_is_in_flight_for_a_group() -> None:
    fleet = Fleet(engines=4)
    fleet.play(5 * GROUP_INTERVAL_SECONDS, percent=None)
    assert len(fleet.asked) == 1


def test_engine_with_requests_is_never_asked() -> None:
    """It tells its pace with its answers; a request of another daemon is also one."""
    fleet = Fleet()
    fleet.daemon.engine("s1").change_peers_online(NOW, 1)
    fleet.play(3 * IDLE_SECONDS)
    assert fleet.asked == []


def test_engine_that_was_just_sent_a_request_is_not_asked() -> None:
    """It answers the request anyway; `busy_at` is only updated with the next sample."""
    fleet = Fleet()
    fleet.play(IDLE_SECONDS - 0.5)
    daemon = fleet.daemon
    daemon.engines.on_sent(fleet.now, "s0", False, NO_SIZE)
    now = fleet.now + 1.5
    daemon.engines.on_timer(now)
    daemon.engines.on_sent(now, "s1", False, NO_SIZE)
    assert daemon.fleet.health.on_timer(now) == []
    daemon.engines.on_ended(now, "s1", False, NO_SIZE, begun=False, failed=False)
    asked = daemon.fleet.health.on_timer(now + 1.0)
    assert [request.engine_id for request in asked] == ["s1"]


def test_no_engine_is_asked_while_no_caller_needs_the_group() -> None:
    """At the end of the traffic all engines are idle, and their paces are worth nothing."""
    fleet = Fleet()
    fleet.play(IDLE_SECONDS - IN_USE_SECONDS - 1.0)
    fleet.is_used = False
    fleet.play(3 * GROUP_INTERVAL_SECONDS)
    assert fleet.asked == []


def test_new_engine_is_not_asked_before_it_could_be_used() -> None:
    fleet = Fleet()
    fleet.play(IDLE_SECONDS / 2)
    fleet.daemon.engines.on_list(fleet.now, [record("s0"), record("s1"), record("s2")])
    fleet.play(IDLE_SECONDS - 1.0)
    assert [request.engine_id for _, request in fleet.asked] == ["s1"]


def test_services_without_a_path_or_without_a_pace_are_not_asked() -> None:
    fleet = Fleet(path="")
    fleet.play(3 * IDLE_SECONDS)
    assert fleet.asked == []
    unpaced = fleet.make_daemon("second")
    unpaced.coordinate(NOW, unpaced)
    unpaced.tick(NOW + 100.0)
    assert unpaced.health_requests == []
    assert unpaced.fleet.health.next_due() == float("inf")


def test_daemon_that_does_not_coordinate_does_not_ask() -> None:
    fleet = Fleet()
    claim = KnownClaim(GROUP, "other", fleet.daemon.address, 9)
    fleet.daemon.fleet.claims.add_claims((claim,))
    fleet.play(3 * IDLE_SECONDS)
    assert fleet.asked == []


def test_next_coordinator_asks_when_one_ended_while_it_asked() -> None:
    fleet = Fleet()
    fleet.play(IDLE_SECONDS + 2.0, percent=None)
    assert len(fleet.asked) == 1
    successor = fleet.make_daemon("second")
    successor.coordinate(fleet.now, successor, offset=2)
    for name in successor.engines.engines:
        successor.engines.on_load(fleet.now, name, EngineLoad(0, 0, 8, 300))
    fleet.daemon = successor
    fleet.play(IDLE_SECONDS - 1.0)
    assert len(fleet.asked) == 1, "a new coordinator does not know of earlier requests"
    fleet.play(2.0)
    assert [request.engine_id for _, request in fleet.asked] == ["s1", "s1"]


def test_daemon_that_becomes_the_coordinator_waits_before_it_asks() -> None:
    """The former coordinator may have asked the same engine just before."""
    fleet = Fleet()
    own, others = fleet.daemon.address, fleet.daemon.fleet.claims
    others.add_claims((KnownClaim(GROUP, "other", own, 9),))
    fleet.play(2 * IDLE_SECONDS)
    others.add_claims((KnownClaim(GROUP, fleet.daemon.name, own, 10),))
    fleet.play(IDLE_SECONDS - 1.0)
    assert fleet.asked == []
    fleet.play(3.0)
    assert [request.engine_id for _, request in fleet.asked] == ["s1"]


def test_former_coordinator_uses_the_answer_that_came_late() -> None:
    fleet = Fleet()
    fleet.play(IDLE_SECONDS + 2.0, percent=None)
    claim = KnownClaim(GROUP, "other", fleet.daemon.address, 9)
    fleet.daemon.fleet.claims.add_claims((claim,))
    fleet.daemon.tick(fleet.now)
    line = fleet.daemon.fleet.health.on_answered(
        fleet.now, HealthAnswered("s1", HealthResult.PACE, 55)
    )
    assert fleet.daemon.engine("s1").pace.percent == 55
    assert line.fields["result"] == "pace"


@pytest.mark.parametrize("result", [HealthResult.OTHER_ENGINE, HealthResult.FAILED])
def test_answer_of_another_engine_and_failure_change_nothing(result: HealthResult) -> None:
    fleet = Fleet()
    fleet.play(IDLE_SECONDS + 2.0, percent=55, result=result)
    assert len(fleet.asked) == 1
    assert fleet.daemon.engine("s1").pace.percent == 300
    fleet.play(GROUP_INTERVAL_SECONDS)
    assert len(fleet.asked) == 2, "the failure must not end the requests"


def test_answer_of_a_removed_engine_is_ignored() -> None:
    fleet = Fleet()
    line = fleet.daemon.fleet.health.on_answered(NOW, HealthAnswered("gone", HealthResult.PACE, 55))
    assert line.event == "engine health answered"
