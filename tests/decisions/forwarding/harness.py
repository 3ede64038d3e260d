"""Builders of routes, engines and requests, and a harness for tests of forwarding decisions."""

import random
from collections.abc import Sequence

from troutswitch.common import Address
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.forwarding.messages import (
    FinishRequest,
    RequestArrived,
    RequestAttemptEnded,
    SendRequest,
)
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.decisions.forwarding.routes import RouteTable
from troutswitch.decisions.forwarding.types import (
    Backend,
    EngineRecord,
    FleetConfiguration,
    PromptShape,
    RequestLimits,
    Route,
    RouteKind,
    Service,
)
from troutswitch.outcomes import AttemptOutcome

HOST = "host.example"


def route(
    name: str = "r",
    prefix: str = "/a/",
    kind: RouteKind = RouteKind.STREAM,
    attempts: int = 2,
    resumable: bool = True,
    time_limit: float = 5.0,
    **fields: object,
) -> Route:
    return Route(
        name,
        HOST,
        prefix,
        kind,
        (Backend("s", 1.0),),
        time_limit,
        0.2,
        attempts,
        is_resumable=resumable,
        **fields,  # type: ignore[arg-type]
    )


def configuration(version: int = 1, *routes: Route) -> FleetConfiguration:
    configured_routes = routes or (route(),)
    return FleetConfiguration(
        version, configured_routes, {"s": Service("s", 100, 8, 0)}, RequestLimits()
    )


def engine(name: str, draining: bool = False, service: str = "s", slots: int = 8) -> EngineRecord:
    return EngineRecord(name, service, Address("127.0.0.1", 1), "z", slots, draining)


def arrival(token: int, path: str = "/a/x", time_left: float = 4.0) -> RequestArrived:
    return RequestArrived(token, f"id-{token}", HOST, path, time_left, PromptShape())


class ForwardingHarness:
    """The routes, engines and requests of one daemon, with helpers to feed events."""

    def __init__(self, *routes: Route, engines: int = 3) -> None:
        self.routes = RouteTable()
        self.routes.replace(configuration(1, *routes))
        self.engines = EngineRegistry()
        self.engines.on_list(0.0, [engine(f"s{n}") for n in range(engines)])
        self.requests = ForwardedRequests(
            "z", self.routes, self.engines, random.Random(1), "prefix_aware", "defer_late"
        )

    def arrive(self, now: float, event: RequestArrived) -> SendRequest | FinishRequest:
        return self.only_instruction(self.requests.on_arrived(now, event))

    def end(
        self, now: float, sent: SendRequest, kind: AttemptOutcome, **fields: object
    ) -> SendRequest | FinishRequest | None:
        event = RequestAttemptEnded(sent.token, sent.attempt, kind, **fields)  # type: ignore[arg-type]
        instructions = self.requests.on_attempt_ended(now, event)
        self.requests.validate()
        found = [i for i in instructions if isinstance(i, SendRequest | FinishRequest)]
        return found[0] if found else None

    @staticmethod
    def only_instruction(instructions: Sequence[object]) -> SendRequest | FinishRequest:
        found = [i for i in instructions if isinstance(i, SendRequest | FinishRequest)]
        assert len(found) == 1
        return found[0]
