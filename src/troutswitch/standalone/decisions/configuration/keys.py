"""Keys of the configuration tree with their types, ranges and defaults."""

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
    """Effective configuration values for one zone, service and tenant.

    Attributes:
        routing_policy: Policy that chooses an engine for an online request.
        batch_policy: Policy that divides an engine between batch and online work.
        batch_fixed_share: Share of an engine's slots for batch under `fixed_share`.
        batch_reserve_share: Share of an engine's slots kept free under `stewarded`.
        batch_slots_most: Maximum batch items on one engine under `stewarded`.
        online_concurrency: Maximum online requests in flight on one daemon.
        engine_queue_most: Number of online requests beyond an engine's slots at which the
            engine receives no more.
        attempts_most: Maximum attempts at one online request.
        request_seconds: Maximum duration of an online request.
        identity_window_seconds: Time during which an identical job submission counts as
            a resend.
        once_window_seconds: Time during which the key of a non-repeatable request is
            reserved.
        tenant_requests_per_second: Rate limit of a tenant over the fleet.
        tenant_concurrency: Maximum online requests of a tenant in flight over the fleet.
        tenant_open_items: Maximum items in one submission of a tenant.
        api_key_digest: SHA-256 digest of the tenant's API key, in hexadecimal.
        require_api_key: Whether callers without a known key are refused.
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
    """Returns the reason why a value is invalid for a known key, or None if it is valid."""
    try:
        msgspec.convert(value, _TYPES[key])
    except msgspec.ValidationError as error:
        return str(error)
    return None


def make_policy(values: dict[str, Value]) -> ServingPolicy:
    """Builds the typed policy from valid values; missing keys have their defaults."""
    return msgspec.convert(values, ServingPolicy)
