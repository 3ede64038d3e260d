"""Pure decisions about opaque requests: routes, engines, placement and attempts."""
