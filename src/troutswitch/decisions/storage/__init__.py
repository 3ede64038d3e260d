"""Pure decisions about reading the platform's store, and its typed calls."""
