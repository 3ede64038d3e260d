"""Pure decisions about opaque online requests: routes, engines, placement and attempts."""
