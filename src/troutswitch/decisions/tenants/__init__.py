"""Tenants: identification by API key, and quotas over all daemons."""
