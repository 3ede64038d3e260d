"""Protocol spoken with the store of model weights."""
