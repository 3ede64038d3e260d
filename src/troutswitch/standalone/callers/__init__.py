"""Caller-facing HTTP interface: completions, chat and batches."""
