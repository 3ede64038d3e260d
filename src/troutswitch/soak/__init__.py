"""Fault soak: runs daemons and stand-ins as processes, injects faults and checks the promises."""
