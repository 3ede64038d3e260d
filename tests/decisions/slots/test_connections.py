"""Requests prefer engines to which their daemon has an idle connection, if these are no worse."""

import heapq
import random

import pytest

from tests.decisions.slots.harness import SERVICE, SlotsDaemon, deliver, incarnation_of, record
from troutswitch.daemons.messages import QueuedSlotRequest, engine_key
from troutswitch.decisions.forwarding.placer import Assignment, PlacementRequest
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.slots import slot_choice
from troutswitch.decisions.slots.local_placement import MAX_CONNECTED_KEYS

NOW = 5.0
KEPT_SECONDS = 4.0


class CalmLoad:
    """Requests at random times at daemons that are served by one coordinator."""

    def __init__(self, daemons: int, engines: int) -> None:
        records = [record(f"s{n}") for n in range(engines)]
        self.daemons = [SlotsDaemon(chr(ord("a") + n), records) for n in range(daemons)]
        self.daemons[0].coordinate(NOW, *self.daemons[1:])
        self.factors = {r.engine_id: 0.55 if n % 4 == 0 else 1.2 for n, r in enumerate(records)}
        self.pool: dict[tuple[str, str], list[float]] = {}
        """Ends of the reuse of the idle connections, by daemon and engine."""
        self.new = self.sent = 0

    def play(self, rate: float, slot_seconds: float, seconds: float) -> float:
        """Returns the share of requests that open a connection, after `KEPT_SECONDS`."""
        rng, token, now, tick_at = random.Random(1), 0, NOW, NOW
        ends: list[tuple[float, int, SlotsDaemon]] = []
        while now < NOW + seconds:
            now += rng.expovariate(rate)
            while ends and ends[0][0] <= now:
                self._end(*heapq.heappop(ends))
            if now >= tick_at:
                tick_at = now + 0.1
                self._tick(now)
            token += 1
            daemon = rng.choice(self.daemons)
            daemon.queue_slot(now, token)
            deliver(now, *self.daemons)
            engine_id = daemon.online[token]
            self._connect(now, daemon, engine_id, counted=now > NOW + KEPT_SECONDS)
            heapq.heappush(ends, (now + slot_seconds * self.factors[engine_id], token, daemon))
        return self.new / self.sent

    def _connect(self, now: float, daemon: SlotsDaemon, engine_id: str, *, counted: bool) -> None:
        idle = self.pool.setdefault((daemon.name, engine_id), [])
        is_new = not idle or idle.pop() <= now
        self.sent += counted
        self.new += counted and is_new

    def _end(self, now: float, token: int, daemon: SlotsDaemon) -> None:
        engine_id = daemon.online[token]
        daemon.end_request(now, token)
        daemon.engines.idle_connections.on_kept(now, engine_id, KEPT_SECONDS)
        self.pool[daemon.name, engine_id].append(now + KEPT_SECONDS)

    def _tick(self, now: float) -> None:
        for daemon in self.daemons:
            for engine_id, engine in daemon.engines.engines.items():
                daemon.engines.on_pace(engine, round(100 * self.factors[engine_id]), now)
            daemon.tick(now)
        deliver(now, *self.daemons)


@pytest.mark.parametrize("rate", [26.0, 68.0])
def test_few_requests_of_a_calm_load_open_a_connection(
    rate: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A zone of the second deployment, at the trough and at the mean of its online load."""
    after = CalmLoad(22, 15).play(rate, 0.4, 20.0)
    monkeypatch.setattr(slot_choice, "CONNECTION_COST", 0.0)
    before = CalmLoad(22, 15).play(rate, 0.4, 20.0)
    assert before > 0.3
    assert after <= 0.1, (before, after)


def pair() -> tuple[SlotsDaemon, SlotsDaemon]:
    """Returns a coordinator of 12 engines with paces, and a peer."""
    records = [record(f"s{n}") for n in range(12)]
    daemons = SlotsDaemon("c", records), SlotsDaemon("p", records)
    daemons[0].coordinate(NOW, daemons[1])
    for daemon in daemons:
        daemon.make_paced(NOW)
    daemons[1].fleet.queueing.on_message("c", incarnation_of("c"), queues=True)
    deliver(NOW, *daemons)
    return daemons


def connect(daemon: SlotsDaemon, *engine_ids: str) -> None:
    for engine_id in engine_ids:
        daemon.engines.idle_connections.on_kept(NOW, engine_id, KEPT_SECONDS)


def test_request_names_the_engines_with_the_newest_idle_connections() -> None:
    _, peer = pair()
    connect(peer, *(f"s{n}" for n in range(12)))
    peer.queue_slot(NOW, 1)
    (message,) = [m for m in peer.messages() if isinstance(m, QueuedSlotRequest)]
    newest = [engine_key(f"s{n}") for n in range(12 - MAX_CONNECTED_KEYS, 12)]
    assert message.connected == tuple(sorted(newest))


@pytest.mark.parametrize("asking", [0, 1], ids=["coordinator", "peer"])
def test_request_goes_to_the_engine_with_a_connection(asking: int) -> None:
    daemons = pair()
    connect(daemons[asking], "s7")
    daemons[asking].queue_slot(NOW, 1)
    deliver(NOW, *daemons)
    assert daemons[asking].online == {1: "s7"}


def test_connection_does_not_outweigh_two_requests() -> None:
    daemons = pair()
    daemons[0].engine("s7").change_peers_online(NOW, 2)
    connect(daemons[0], "s7")
    daemons[0].queue_slot(NOW, 1)
    assert daemons[0].online[1] != "s7"


def test_connection_does_not_outweigh_another_zone() -> None:
    near, far = record("near", "z"), record("far", "y")
    daemon = SlotsDaemon("c", [near, far])
    daemon.coordinate(NOW)
    daemon.make_paced(NOW)
    connect(daemon, "far")
    daemon.queue_slot(NOW, 1)
    assert daemon.online == {1: "near"}


def test_local_decision_prefers_the_engine_with_a_connection() -> None:
    daemon = SlotsDaemon("p", [record("s0"), record("s1")])
    daemon.make_paced(NOW)
    connect(daemon, "s1")
    for token in range(8):
        daemon.online.clear()
        request = PlacementRequest(token, SERVICE, PromptShape(), 1.0, None)
        placement = daemon.fleet.requests._local.fall_back(NOW, request)
        assert isinstance(placement, Assignment)
        assert placement.engine.record.engine_id == "s1"
