"""Account of the memory that a daemon holds for callers, engines and jobs, and its limit."""
