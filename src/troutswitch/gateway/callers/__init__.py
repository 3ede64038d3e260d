"""Caller-facing side of the gateway: the HTTP listener, request handling and worker threads."""
