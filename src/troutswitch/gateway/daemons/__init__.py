"""The transport between daemons: datagrams, and state over HTTP."""
