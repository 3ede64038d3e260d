"""Client of the append-only log service, and the records stored on it."""
