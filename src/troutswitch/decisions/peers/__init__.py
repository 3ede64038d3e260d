"""Pure decisions about the other daemons: who they are, and what is learnt from them."""
