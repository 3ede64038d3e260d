"""Messages between standalone daemons."""
