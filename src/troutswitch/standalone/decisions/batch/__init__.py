"""Batch jobs: the fold over a shard stream, its owner and the item dispatcher."""
