"""The keys of the configuration tree, with their types, ranges and defaults."""

from typing import Annotated, Any, Literal, get_type_hints

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Seconds = Annotated[float, Meta(gt=0.0, le=2_592_000.0)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Rate = Annotated[float, Meta(ge=0.0, le=1_000_000.0)]

RoutingPolicyName = Literal["prefix_aware", "least_loaded", "round_robin"]
BatchPolicyName = Literal["stewarded", "engine_priority", "fixed_share", "first_come", "none"]


class ServingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Effective values for one zone, service and tenant.

    Attributes:
        routing_policy: how an online request is placed on an engine.
        batch_policy: how batch work shares an engine with online work.
        batch_fixed_share: share of an engine's slots under `fixed_share`.
        batch_reserve_share: share of an engine's slots kept free under `stewarded`.
        batch_slots_most: most batch items on one engine under `stewarded`.
        online_concurrency: online requests in flight on one daemon.
        engine_queue_most: online requests waiting on an engine above which it gets none.
        attempts_most: attempts at one online request.
        request_seconds: longest life of an online request.
        identity_window_seconds: time in which an equal job submission is a resend.
        once_window_seconds: time in which the key of a request not to be repeated is held.
        tenant_requests_per_second: rate limit of a tenant over the fleet.
        tenant_concurrency: online requests of a tenant in flight over the fleet.
        tenant_open_items: items in one submission of a tenant.
        api_key_digest: SHA-256, in hexadecimal, of the tenant's API key.
        require_api_key: whether a caller without a known key is refused.
    """

    routing_policy: RoutingPolicyName = "prefix_aware"
    batch_policy: BatchPolicyName = "stewarded"
    batch_fixed_share: Share = 0.5
    batch_reserve_share: Share = 0.04
    batch_slots_most: Count = 1_000_000
    online_concurrency: Count = 1000
    engine_queue_most: Count = 64
    attempts_most: Annotated[int, Meta(ge=1, le=10)] = 4
    request_seconds: Seconds = 120.0
    identity_window_seconds: Seconds = 86_400.0
    once_window_seconds: Seconds = 86_400.0
    tenant_requests_per_second: Rate = 100_000.0
    tenant_concurrency: Count = 100_000
    tenant_open_items: Count = 300_000
    api_key_digest: str = ""
    require_api_key: bool = False


Value = bool | int | float | str

DEFAULTS: dict[str, Value] = msgspec.structs.asdict(ServingPolicy())
_TYPES: dict[str, Any] = get_type_hints(ServingPolicy, include_extras=True)


def check_value(key: str, value: object) -> str | None:
    """Returns why a value is not allowed for a known key, or None if it is."""
    try:
        msgspec.convert(value, _TYPES[key])
    except msgspec.ValidationError as error:
        return str(error)
    return None


def make_policy(values: dict[str, Value]) -> ServingPolicy:
    """Builds the typed policy from checked values; keys not named take defaults."""
    return msgspec.convert(values, ServingPolicy)
