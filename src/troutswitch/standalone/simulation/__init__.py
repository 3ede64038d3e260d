"""Simulation of a whole fleet of daemons on a virtual clock."""
