"""Configuration tree: keys, inheritance, publication and distribution."""
