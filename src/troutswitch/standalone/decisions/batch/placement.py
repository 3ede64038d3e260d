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
        self._seen: list[str] | None = None
        self._followed: dict[str, list[int]] = {}

    def update(self, names: list[str]) -> None:
        """Takes in the serving daemons; the same list object means that nothing changed."""
        if names is self._seen:
            return
        self._seen = names
        self._followed.clear()
        wanted = set(names)
        gone = self._names - wanted
        come = sorted(wanted - self._names)
        self._names = wanted
        if gone:
            self._recount(gone)
        for name in come:
            self._insert(name)

    def _recount(self, gone: set[str]) -> None:
        for shard, top in enumerate(self._top):
            if any(name in gone for _, name in top):
                weights = (weight_of(shard, name) for name in self._names)
                self._top[shard] = sorted(weights, reverse=True)[: self._count]

    def _insert(self, name: str) -> None:
        for shard, top in enumerate(self._top):
            weight = weight_of(shard, name)
            has_room = len(top) < self._count or weight > top[-1]
            if has_room and weight not in top:
                top.append(weight)
                top.sort(reverse=True)
                del top[self._count :]

    def followers(self, shard: int) -> list[str]:
        """Returns the daemons that follow a shard, preferred owner first."""
        return [name for _, name in self._top[shard]]

    def followed_by(self, name: str) -> list[int]:
        """Returns the shards that a daemon follows."""
        held = self._followed.get(name)
        if held is None:
            held = [n for n, top in enumerate(self._top) if any(name == o for _, o in top)]
            self._followed[name] = held
        return held


def weight_of(shard: int, name: str) -> Weight:
    """Returns a daemon's weight for a shard; equal hashes are told apart by name."""
    return stable_hash(f"shard-{shard}", name), name
