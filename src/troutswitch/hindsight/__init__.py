"""Evaluations of daemons' logs: what callers saw, and what decisions could have reached at best."""
