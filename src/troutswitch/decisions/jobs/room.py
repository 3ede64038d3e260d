"""How much of a server batch items may take, so that online requests find room.

Servers know no priorities and admit in the order of arrival, so room for online must be
kept free before it is needed. An item gives its slot back only by being stopped.
"""

from dataclasses import dataclass

from troutswitch.decisions.forwarding.servers import Server


@dataclass(frozen=True, slots=True)
class BatchRoomPolicy:
    """Shares of a server's slots and memory.

    `batch_share` bounds batch items alone, `total_share` all requests beyond which no
    item is added, `yield_share` all requests beyond which an item is stopped, and
    `memory_share` the tokens of this daemon's own requests.
    """

    batch_share: float = 0.6
    total_share: float = 0.8
    yield_share: float = 1.0
    memory_share: float = 0.85


def has_room(
    now: float, server: Server, tokens: int, cache_tokens: int, policy: BatchRoomPolicy
) -> bool:
    """Returns whether one more item of some tokens may be sent to the server."""
    if server.batch() + 1 > max(1.0, server.slots * policy.batch_share):
        return False
    if server.in_flight(now) + 1 > max(1.0, server.slots * policy.total_share):
        return False
    if cache_tokens <= 0:
        return True
    return server.tokens_in_flight + tokens <= cache_tokens * policy.memory_share


def must_yield(now: float, server: Server, policy: BatchRoomPolicy) -> bool:
    """Returns whether online requests wait at the server while items hold its slots."""
    return server.in_flight(now) > server.slots * policy.yield_share and server.online() > 0
