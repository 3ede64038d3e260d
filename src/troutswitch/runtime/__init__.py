"""Low-level building blocks of the daemons: HTTP, connections, channels and memory."""
