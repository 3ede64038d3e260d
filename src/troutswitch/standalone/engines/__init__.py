"""Protocol spoken with model engines."""
