"""Paces that engines report to one daemon reach the coordinator and the other daemons.

The load: engines whose pace swings between 55 and 137 every 0.3 s, each daemon seeing a few of
their answers.
"""

import pytest

from tests.decisions.slots.harness import GROUP, SlotsDaemon, deliver, record
from troutswitch.daemons import datagram
from troutswitch.daemons.messages import (
    MAX_PACES,
    EngineShare,
    GroupDigest,
    HoldingsReport,
    PacedDigest,
    PacedReport,
    PaceReading,
    SlotRequest,
    engine_key,
)
from troutswitch.decisions.forwarding.engine import NO_SIZE
from troutswitch.decisions.forwarding.engine_pace import MAX_AGE_SECONDS
from troutswitch.decisions.forwarding.types import EngineLoad
from troutswitch.decisions.slots.coordinator import DIGEST_SECONDS
from troutswitch.decisions.slots.coordinator_claims import Claim
from troutswitch.decisions.slots.reports import REPORT_SECONDS
from troutswitch.gateway.daemons.peer_socket import MAX_DATAGRAM_BYTES

NOW = 5.0


def fleet(engines: int = 2, *names: str) -> list[SlotsDaemon]:
    """Returns daemons of which the first coordinates all engines."""
    records = [record(f"s{n}") for n in range(engines)]
    daemons = [SlotsDaemon(name, records) for name in names or ("first", "second", "third")]
    daemons[0].coordinate(NOW, *daemons[1:])
    for daemon in daemons:
        daemon.fleet.queueing.on_message(daemons[0].name, 0, queues=True)
        daemon.messages()
    return daemons


def answer(daemon: SlotsDaemon, now: float, name: str, percent: int) -> None:
    daemon.engines.on_load(now, name, EngineLoad(1, 0, 8, percent))


def claim_of(daemon: SlotsDaemon) -> Claim:
    claim = daemon.fleet.claims.claim_of(GROUP)
    assert claim is not None
    return claim


def test_pace_alone_sends_nothing() -> None:
    """A message for each reading would multiply the datagrams of a fleet."""
    _, peer, _ = fleet()
    for step in range(20):
        answer(peer, NOW + step, "s0", 55)
        peer.tick(NOW + step)
    assert peer.messages() == []


def test_next_report_carries_the_pace_with_its_age_and_once() -> None:
    coordinator, peer, _ = fleet()
    answer(peer, NOW, "s0", 55)
    answer(peer, NOW + 0.3, "s0", 137)
    peer.engines.on_sent(NOW + 0.4, "s1", True, NO_SIZE)
    peer.tick(NOW + 0.4)
    (message,) = peer.messages()
    assert isinstance(message, PacedReport)
    assert message.paces == (PaceReading(engine_key("s0"), 137, 100),)
    coordinator.receive(NOW + 0.4, message)
    assert coordinator.engine("s0").pace.read_at == pytest.approx(NOW + 0.3)
    assert coordinator.engine("s0").time_factor(NOW + 0.4) == pytest.approx(1.37)
    assert coordinator.engine("s1").batch_count() == 1
    peer.engines.on_sent(NOW + 0.5, "s1", True, NO_SIZE)
    peer.tick(NOW + 0.5)
    assert [type(message) for message in peer.messages()] == [HoldingsReport]


def test_coordinator_of_an_earlier_version_is_sent_no_paces() -> None:
    """It ignores a report with paces, and would lose the holdings in it."""
    _, peer, _ = fleet()
    peer.fleet.queueing.forget("first")
    answer(peer, NOW, "s0", 55)
    peer.engines.on_sent(NOW, "s1", True, NO_SIZE)
    peer.tick(NOW)
    assert [type(message) for message in peer.messages()] == [HoldingsReport]


def test_pace_reaches_the_other_daemons_with_the_digest() -> None:
    coordinator, peer, third = fleet()
    answer(peer, NOW, "s0", 137)
    for daemon in (peer, third):
        daemon.engines.on_sent(NOW + 0.1, "s1", True, NO_SIZE)
        daemon.tick(NOW + 0.1)
    deliver(NOW + 0.1, coordinator, peer, third)
    now = NOW + 0.1 + DIGEST_SECONDS
    coordinator.tick(now)
    deliver(now, coordinator, peer, third)
    assert third.engine("s0").pace.percent == 137
    assert third.engine("s0").pace.read_at == pytest.approx(NOW, abs=0.001)
    assert third.engines.is_paced("service")


def test_digest_without_paces_is_a_plain_digest() -> None:
    """Deployments without paces send the same datagrams as before."""
    coordinator, peer, _ = fleet()
    peer.engines.on_sent(NOW, "s1", True, NO_SIZE)
    peer.tick(NOW)
    deliver(NOW, coordinator, peer)
    coordinator.tick(NOW + DIGEST_SECONDS)
    assert GroupDigest in [type(message) for message in coordinator.messages()]


def test_lost_report_is_corrected_by_the_next_reading() -> None:
    coordinator, peer, _ = fleet()
    for now, percent in ((NOW, 55), (NOW + 0.3, 137)):
        answer(peer, now, "s0", percent)
        peer.engines.on_sent(now, "s1", True, NO_SIZE)
        peer.tick(now)
        is_lost = now == NOW
        deliver(now, coordinator, peer, keep=lambda message, lost=is_lost: not lost)  # type: ignore[misc]
    assert coordinator.engine("s0").pace.percent == 137


def test_report_that_was_overtaken_is_ignored() -> None:
    """The age in a datagram that arrives late is too low, so its pace would count as new."""
    coordinator, peer, _ = fleet()
    messages = []
    for now, percent in ((NOW, 55), (NOW + 0.3, 137)):
        answer(peer, now, "s0", percent)
        peer.engines.on_sent(now, "s1", True, NO_SIZE)
        peer.tick(now)
        messages += peer.messages()
    coordinator.receive(NOW + 0.4, messages[1])
    coordinator.receive(NOW + 0.5, messages[0])
    assert coordinator.engine("s0").pace.percent == 137


def test_older_reading_of_another_daemon_does_not_replace_a_newer_one() -> None:
    coordinator, peer, third = fleet()
    answer(peer, NOW, "s0", 55)
    answer(third, NOW + 0.3, "s0", 137)
    for daemon in (third, peer):
        daemon.engines.on_sent(NOW + 0.3, "s1", True, NO_SIZE)
        daemon.tick(NOW + 0.3)
        deliver(NOW + 0.3, coordinator, daemon)
    assert coordinator.engine("s0").pace.percent == 137


def test_digest_of_a_former_coordinator_is_ignored() -> None:
    """Two daemons consider themselves the coordinator; the former one has an old pace."""
    former, peer, newer = fleet()
    newer.coordinate(NOW, peer, offset=2)
    digest = GroupDigest(former.name, 1, GROUP, (), 0, 0)
    peer.receive(NOW, PacedDigest(digest, (PaceReading(engine_key("s0"), 300, 0),)))
    assert peer.engine("s0").pace.percent is None


def test_new_coordinator_is_sent_the_readings_since_its_claim() -> None:
    first, peer, third = fleet()
    third.coordinate(NOW, peer, first, offset=2)
    answer(peer, NOW, "s0", 55)
    assert [reading.percent for reading in peer.fleet.reports.new_paces(NOW, claim_of(peer))] == [
        55
    ]
    assert peer.fleet.reports.new_paces(NOW, claim_of(peer)) == ()


def test_slot_requests_keep_their_bytes() -> None:
    _, peer, _ = fleet()
    answer(peer, NOW, "s0", 55)
    peer.request_slot(NOW, 1)
    assert [type(message) for message in peer.messages()] == [SlotRequest]


@pytest.mark.parametrize("percent, age_ms", [(0, 0), (-5, 0), (10_001, 0), (100, -1)])
def test_implausible_pace_of_a_peer_is_ignored(percent: int, age_ms: int) -> None:
    coordinator, _, _ = fleet()
    readings = (PaceReading(engine_key("s0"), percent, age_ms), PaceReading(12345, 100, 0))
    coordinator.engines.on_peer_paces(NOW, readings)
    assert not coordinator.engines.is_paced("service")


def test_engine_that_answers_again_counts_as_newest() -> None:
    """Readings after the first outdated one are dropped, so the order must be that of their age."""
    _, peer, _ = fleet()
    answer(peer, NOW, "s0", 55)
    answer(peer, NOW + 1.0, "s1", 120)
    answer(peer, NOW + MAX_AGE_SECONDS, "s0", 137)
    readings = peer.fleet.reports.new_paces(NOW + MAX_AGE_SECONDS + 1.1, claim_of(peer))
    assert [(reading.engine_key, reading.percent) for reading in readings] == [
        (engine_key("s0"), 137)
    ]


def test_outdated_readings_are_not_sent() -> None:
    _, peer, _ = fleet()
    answer(peer, NOW, "s0", 55)
    assert peer.fleet.reports.new_paces(NOW + MAX_AGE_SECONDS + 0.1, claim_of(peer)) == ()


def test_readings_of_many_engines_fit_in_datagrams_and_the_newest_go_first() -> None:
    engines = MAX_PACES + 10
    _, peer = fleet(engines, "first", "second")
    # Such a fleet has several groups; here one daemon coordinates them all.
    coordinator = SlotsDaemon("first", [record(f"s{n}") for n in range(engines)])
    groups = peer.fleet.groups.all()
    for group in groups:
        coordinator.coordinate(NOW, peer, group=group.name)
    for number in range(engines):
        answer(peer, NOW + number / 1000, f"s{number}", 9_999)
        peer.engines.on_sent(NOW, f"s{number}", True, NO_SIZE)
    claim = peer.fleet.claims.claim_of(groups[0].name)
    assert claim is not None
    peer.tick(NOW + 29.0)
    (message,) = (m for m in peer.messages() if isinstance(m, PacedReport))
    assert len(datagram.encode(message)) <= MAX_DATAGRAM_BYTES
    assert len(message.report.shares) == engines
    assert isinstance(message.report.shares[0], EngineShare)
    assert message.paces[0].engine_key == engine_key(f"s{engines - 1}")
    assert len(message.paces) == MAX_PACES
    rest = peer.fleet.reports.new_paces(NOW + 29.0 + REPORT_SECONDS, claim)
    assert len(rest) == engines - MAX_PACES
