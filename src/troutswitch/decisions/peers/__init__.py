"""Pure decisions about the other daemons of the fleet."""
