"""Operator-facing HTTP interface: configuration, jobs and fleet status."""
