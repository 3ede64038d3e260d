"""Stand-ins for the services that the standalone daemon calls, and a load generator."""
