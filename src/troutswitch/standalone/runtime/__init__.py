"""Runs the decisions of the standalone daemon: loop, effects, settings, logs and metrics."""
