"""Pure decisions about the batch jobs that the platform's store holds."""
