"""Stand-ins for the platform and the model engines, for tests and demonstrations."""
