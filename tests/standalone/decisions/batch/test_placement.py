"""Incremental shard placement equals a full computation."""

import hypothesis.strategies as st
from hypothesis import given, settings

from troutswitch.common import rendezvous_order
from troutswitch.standalone.decisions.batch.placement import ShardPlacement

SHARDS = 7
names = st.lists(st.sampled_from([f"d{n}" for n in range(9)]), unique=True).map(sorted)


@settings(max_examples=100, derandomize=True, deadline=None, database=None)
@given(st.lists(names, min_size=1, max_size=6))
def test_incremental_updates_give_the_rendezvous_order(updates: list[list[str]]) -> None:
    placement = ShardPlacement(SHARDS, 2)
    for serving in updates:
        placement.update(serving)
        for shard in range(SHARDS):
            expected = rendezvous_order(f"shard-{shard}", serving)[:2]
            assert placement.followers(shard) == expected
            for name in serving:
                assert (shard in placement.followed_by(name)) == (name in expected)
