"""Pure decisions about opaque requests: routes, servers, placement and attempts."""
