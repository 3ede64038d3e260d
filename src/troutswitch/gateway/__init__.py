"""One daemon on the users' platform: listeners, relays, executors and their loop."""
