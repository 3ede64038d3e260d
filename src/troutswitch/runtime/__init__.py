"""The real loop, its executors, settings, logging and metrics."""
