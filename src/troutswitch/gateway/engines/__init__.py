"""Calls to engines: attempts of online requests, runs of batch items, connection checks."""
