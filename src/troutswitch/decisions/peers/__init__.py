"""Pure decisions about the other daemons: which ones are known, and what they report."""
