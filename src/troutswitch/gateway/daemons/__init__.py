"""Transport between daemons: messages over UDP, and state transfer over HTTP."""
