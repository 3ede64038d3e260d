"""Pure decisions about what is kept in the platform's store."""
