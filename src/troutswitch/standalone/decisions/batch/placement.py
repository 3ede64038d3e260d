"""Which daemons follow which shard, kept up as members come and go.

Rendezvous order: the daemons with the highest hashes for a shard follow it. A member
that joins costs one hash a shard; one that goes costs a recount of its shards alone.
Counting all shards anew at each look would cost 2,048 x 700 hashes.
"""

from troutswitch.common import stable_hash

Weight = tuple[int, str]


class ShardPlacement:
    """The first `count` daemons in rendezvous order for each shard."""

    def __init__(self, shard_count: int, count: int) -> None:
        self._count = count
        self._top: list[list[Weight]] = [[] for _ in range(shard_count)]
        self._names: set[str] = set()
        self._last_names: list[str] | None = None
        self._followed: dict[str, list[int]] = {}

    def update(self, names: list[str]) -> None:
        """Takes in the serving daemons; the same list object means that nothing changed."""
        if names is self._last_names:
            return
        self._last_names = names
        self._followed.clear()
        wanted = set(names)
        departed = self._names - wanted
        joined = sorted(wanted - self._names)
        self._names = wanted
        if departed:
            self._recompute(departed)
        for name in joined:
            self._insert(name)

    def _recompute(self, departed: set[str]) -> None:
        for shard, top in enumerate(self._top):
            if any(name in departed for _, name in top):
                weights = (weight_of(shard, name) for name in self._names)
                self._top[shard] = sorted(weights, reverse=True)[: self._count]

    def _insert(self, name: str) -> None:
        for shard, top in enumerate(self._top):
            weight = weight_of(shard, name)
            qualifies = len(top) < self._count or weight > top[-1]
            if qualifies and weight not in top:
                top.append(weight)
                top.sort(reverse=True)
                del top[self._count :]

    def followers(self, shard: int) -> list[str]:
        """Returns the daemons that follow a shard, preferred owner first."""
        return [name for _, name in self._top[shard]]

    def followed_by(self, name: str) -> list[int]:
        """Returns the shards that a daemon follows."""
        shards = self._followed.get(name)
        if shards is None:
            shards = [n for n, top in enumerate(self._top) if any(name == o for _, o in top)]
            self._followed[name] = shards
        return shards


def weight_of(shard: int, name: str) -> Weight:
    """Returns a daemon's weight for a shard; equal hashes are told apart by name."""
    return stable_hash(f"shard-{shard}", name), name
