"""Protocol spoken between daemons."""
