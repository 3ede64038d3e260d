"""Runtime of the standalone daemon: loop, effects, settings, logs and metrics."""
