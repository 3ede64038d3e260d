"""Calls to engines: attempts of online requests, runs of batch items, checks of a silent engine."""
