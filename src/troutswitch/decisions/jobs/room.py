"""How much of a server batch items may take, so that online requests find room.

Servers know no priorities and admit in the order of arrival, so room for online must be
kept free before it is needed. An item gives its slot back only by being stopped.
"""

import random
from dataclasses import dataclass

from troutswitch.decisions.forwarding.servers import Server


@dataclass(frozen=True, slots=True)
class BatchShares:
    """Shares of a server's slots: of batch items alone, and of all requests together."""

    batch: float
    total: float


@dataclass(frozen=True, slots=True)
class BatchRoomPolicy:
    """Shares of a server's slots and memory that batch items may take.

    A job whose time is less than `pressing_age` of its objective gone is `relaxed`, and
    one past its objective is again, as haste no longer helps it; between, it is
    `pressing`. Beyond `yield_share` of all requests an item is stopped; `memory_share`
    bounds the tokens of this daemon's own requests.
    """

    relaxed: BatchShares = BatchShares(0.85, 0.85)
    pressing: BatchShares = BatchShares(0.92, 0.92)
    pressing_age: float = 0.35
    yield_share: float = 0.95
    memory_share: float = 0.85

    def is_pressing(self, age: float, objective: float) -> bool:
        """Returns whether a job of some age must hurry. Times are seconds."""
        return self.pressing_age * objective <= age <= objective


def has_memory(server: Server, tokens: int, cache_tokens: int, policy: BatchRoomPolicy) -> bool:
    """Returns whether an item of some tokens fits the server's memory, as far as known."""
    if cache_tokens <= 0:
        return True
    return server.tokens_in_flight + tokens <= cache_tokens * policy.memory_share


def free_slots(now: float, server: Server, shares: BatchShares) -> int:
    """Returns how many more items the server may take from all daemons together."""
    for_batch = max(1, int(server.slots * shares.batch)) - server.batch()
    for_all = max(1, int(server.slots * shares.total)) - server.in_flight(now)
    return max(0, min(for_batch, for_all))


def surplus(now: float, server: Server, policy: BatchRoomPolicy) -> int:
    """Returns how many items all daemons together should stop for online requests."""
    if server.online() == 0:
        return 0
    over = server.in_flight(now) - int(server.slots * policy.yield_share)
    return max(0, min(over, server.batch()))


def own_part(count: int, part: float, rng: random.Random) -> int:
    """Returns this daemon's part of a count, rounded at random so that parts add up.

    Daemons hear of each other's steps late. If each took all the room it sees, all
    would start, and then all would stop.
    """
    exact = count * part
    whole = int(exact)
    return whole + (rng.random() < exact - whole)
