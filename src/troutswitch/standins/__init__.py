"""Stand-ins for the platform and model engines, for tests and demonstrations."""
