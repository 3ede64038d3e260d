"""Tenants: whose key a caller shows, and how much each tenant may send over all daemons."""
