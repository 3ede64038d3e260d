"""Pure decision modules: typed events in, typed effects out, no input or output."""
