"""Requests under which engines end: who was there, what is known of it, and what is refused."""
