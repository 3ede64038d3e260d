"""A simulated world of whole daemons on a virtual clock."""
