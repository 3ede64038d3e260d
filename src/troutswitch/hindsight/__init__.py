"""Evaluation of daemons' logs: what callers got, and an upper bound on what was possible."""
