"""Pure decisions about reading the platform's store, and the typed calls to it."""
