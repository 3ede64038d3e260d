"""Protocol spoken with the list of live and leaving machines."""
