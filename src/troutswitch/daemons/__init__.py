"""The protocol between daemons: messages, datagrams and the state sent to peers."""
