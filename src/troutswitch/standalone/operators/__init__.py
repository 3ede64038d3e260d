"""HTTP interface for operators: configuration, jobs and fleet status."""
