"""Assignment of followers to shards, updated incrementally as members join and leave.

The daemons with the highest rendezvous hashes for a shard follow it. A joining member
costs one hash per shard, and a departing member requires a recomputation of only its
own shards. A full recomputation would cost 2,048 x 700 hashes each time.
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
        """Applies the serving daemons; returns immediately if the list object is the same."""
        if names is self._last_names:
            return
        self._last_names = names
        self._followed.clear()
        current = set(names)
        departed = self._names - current
        joined = sorted(current - self._names)
        self._names = current
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
            shards = [
                shard
                for shard, top in enumerate(self._top)
                if any(name == follower for _, follower in top)
            ]
            self._followed[name] = shards
        return shards


def weight_of(shard: int, name: str) -> Weight:
    """Returns a daemon's weight for a shard; the name breaks ties between equal hashes."""
    return stable_hash(f"shard-{shard}", name), name
