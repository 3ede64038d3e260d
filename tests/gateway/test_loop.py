"""The loop reports the error that ends it."""

import queue

import pytest

from tests.simulation.fleet import SimulatedFleet
from troutswitch.decisions.gateway_interface import GatewayEvent
from troutswitch.gateway.loop import GatewayLoop


def test_failure_is_reported_with_the_event_that_was_handled() -> None:
    core = next(iter(SimulatedFleet(1, 1).daemons.values())).core
    failures: list[tuple[BaseException, GatewayEvent]] = []
    loop = GatewayLoop(
        core,
        queue.SimpleQueue(),
        lambda instruction: None,
        lambda error, event: failures.append((error, event)),
    )
    unknown = object()
    loop.post(unknown)  # type: ignore[arg-type]
    with pytest.raises(AssertionError) as raised:
        loop._run()
    assert failures == [(raised.value, unknown)]
