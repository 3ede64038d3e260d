"""Everything that callers reach: the listener, their requests, and the threads that answer them."""
