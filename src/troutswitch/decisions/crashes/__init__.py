"""Pure decisions about engine crashes: which requests cause them and are therefore refused."""
