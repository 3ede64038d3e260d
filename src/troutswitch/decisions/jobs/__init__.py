"""Pure decisions about batch jobs that are kept in the platform's store."""
