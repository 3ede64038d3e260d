"""Protocol spoken with the append-only log service, and the records kept on it."""
