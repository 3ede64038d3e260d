"""Requests under which servers end: who was there, what is known of it, and what is refused."""
