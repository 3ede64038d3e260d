"""Protocol and client of inference engines."""
