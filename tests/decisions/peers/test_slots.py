"""Slots that online requests ask back from batch items."""

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.forwarding.worlds import server
from troutswitch.common import Address
from troutswitch.daemons.loadreport import LoadReport, ServerShare, server_key
from troutswitch.daemons.slotask import SlotAsk
from troutswitch.decisions.forwarding.messages import RequestArrived, SendRequest
from troutswitch.decisions.forwarding.servers import ServerRegistry
from troutswitch.decisions.forwarding.types import PromptShape
from troutswitch.decisions.jobs.messages import StopItem
from troutswitch.decisions.peers.loads import PeerLoads, ReportReceived, WaitingItems
from troutswitch.decisions.peers.slots import SendSlotAsk, SlotAsked, SlotAsks
from troutswitch.simulation.gatewayworld import Daemon, GatewayWorld
from troutswitch.simulation.plainformats import HOST, PREFIX

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=60)


def loads(name: str, registry: ServerRegistry) -> PeerLoads:
    address = Address("10.0.0.1", 7)
    return PeerLoads(
        name,
        "here",
        address,
        registry,
        lambda: 1,
        WaitingItems,
        lambda: 0,
        random.Random(1),
    )


def hear(peers: PeerLoads, sender: str, batch: int, sequence: int = 1) -> None:
    share = ServerShare(server_key("a"), 0, batch, 0)
    address = Address("10.0.0.9", len(sender))
    report = LoadReport(sender, "here", address, 1, sequence, (share,))
    peers.on_report(0.0, ReportReceived(report))


def registry() -> ServerRegistry:
    held = ServerRegistry()
    held.on_list(0.0, [server("a")])
    return held


def test_only_a_peer_with_batch_items_is_asked_and_once_for_each() -> None:
    servers = registry()
    peers = loads("me", servers)
    hear(peers, "idle", 0)
    hear(peers, "busy-peer", 2)
    asks = SlotAsks("me", peers, random.Random(1))
    first, second, third = (asks.ask(0.0, "a") for _ in range(3))
    assert first == second
    assert first is not None
    assert first.address.port == len("busy-peer")
    assert first.ask == SlotAsk("me", server_key("a"))
    assert third is None
    assert servers.servers["a"].peers_batch == 0
    hear(peers, "busy-peer", 1, sequence=2)
    assert asks.ask(0.0, "a") is not None


@DETERMINISTIC
@given(st.dictionaries(st.sampled_from("abcdefgh"), st.integers(0, 8), min_size=1), st.data())
def test_daemons_that_see_the_same_stop_as_many_items_as_stand_in_the_way(
    batch: dict[str, int], data: st.DataObject
) -> None:
    total = sum(batch.values())
    wanted = data.draw(st.integers(0, total))
    stopped = 0
    for name, mine in batch.items():
        peers = loads(name, registry())
        for other, count in batch.items():
            if other != name:
                hear(peers, other, count)
        stopped += max(0, min(mine, wanted - peers.batch_before("a")))
    assert stopped == wanted


# Whole daemons.


def arrival(token: int) -> RequestArrived:
    return RequestArrived(token, f"online-{token}", HOST, f"{PREFIX}x", 5.0, PromptShape())


def fill(world: GatewayWorld) -> Daemon:
    """Lets batch items fill all servers; returns a daemon that runs some."""
    world.run(3.0)
    for number in range(6):
        world.hand_in(f"job-{number}", 10)
    world.run(1.0)
    return max(world.daemons.values(), key=lambda d: len(d.core.jobs.owner.runs))


def running(daemon: Daemon) -> int:
    return sum(not run.is_stopped for run in daemon.core.jobs.owner.runs.values())


def test_a_peer_that_is_asked_stops_one_item_at_once() -> None:
    world = GatewayWorld(1)
    owner = fill(world)
    before = running(owner)
    run = next(run for run in owner.core.jobs.owner.runs.values() if not run.is_stopped)
    ask = SlotAsk("elsewhere", server_key(run.server_id))
    instructions = owner.core.step(world.now, SlotAsked(ask))
    stopped = [made for made in instructions if isinstance(made, StopItem)]
    assert len(stopped) == 1
    assert running(owner) == before - 1


def test_an_ask_about_a_server_without_items_stops_nothing() -> None:
    world = GatewayWorld(1)
    owner = fill(world)
    before = running(owner)
    for key in (server_key("unknown"), 0):
        owner.core.step(world.now, SlotAsked(SlotAsk("elsewhere", key)))
    assert running(owner) == before


def test_a_request_that_finds_a_server_full_makes_an_item_yield_in_the_same_step() -> None:
    world = GatewayWorld(1)
    owner = fill(world)
    formats = owner.core.routes
    assert formats.configuration is not None
    route = formats.configuration.routes[0]
    online = replace(route, name="online", kind=type(route.kind).STREAM, path_prefix="/online/")
    held = replace(formats.configuration, version=99, routes=(route, online))
    formats.replace(world.now, held)
    yielded = 0
    for token in range(1, 40):
        event = replace(arrival(token), path="/online/x")
        instructions = owner.core.step(world.now, event)
        sent = next((made for made in instructions if isinstance(made, SendRequest)), None)
        if sent is None:
            continue
        target = owner.core.servers.servers[sent.server_id]
        made_room = [i for i in instructions if isinstance(i, StopItem | SendSlotAsk)]
        yielded += len(made_room)
        if target.in_flight(world.now) > target.slots and target.batch() > 0:
            assert made_room
    assert yielded > 0
