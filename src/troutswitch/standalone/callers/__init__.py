"""HTTP interface for callers: completions, chat and batches."""
