"""Configuration tree: keys, inheritance, publication and spread."""
