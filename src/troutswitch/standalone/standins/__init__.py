"""Stand-ins for what the standalone daemon talks to, and a load generator."""
