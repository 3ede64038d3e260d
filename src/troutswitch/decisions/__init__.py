"""Pure decision modules: they take typed events, return typed instructions and do no I/O."""
