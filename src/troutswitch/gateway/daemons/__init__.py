"""Sends and receives the messages of peer daemons."""
