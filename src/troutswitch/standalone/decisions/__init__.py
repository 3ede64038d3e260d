"""Decision logic of the standalone daemon: typed events in, typed effects out."""
