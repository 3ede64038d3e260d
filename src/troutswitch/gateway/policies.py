"""Parses `TROUTSWITCH_POLICIES`: comma-separated `name=value` pairs that select policies.

This module defines the names; the modules of the policies register the possible values.
"""

from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from troutswitch.decisions.forwarding.admission import ADMISSION_POLICIES
from troutswitch.decisions.forwarding.engine_cost import SPEED_POLICIES
from troutswitch.decisions.forwarding.placement import POLICIES as PLACEMENT_POLICIES
from troutswitch.decisions.jobs.batch_capacity import BATCH_CAPACITY_POLICIES
from troutswitch.decisions.jobs.order import ITEM_ORDERS
from troutswitch.decisions.policies import (
    QUOTA_POLICIES,
    SLOT_ASSIGNMENT_POLICIES,
    BatchPolicies,
    Policies,
)
from troutswitch.gateway.settings import GatewaySettingsError

POLICIES_VARIABLE = "TROUTSWITCH_POLICIES"
"""Environment variable that selects policies other than the defaults."""

DEFAULTS = Policies()


class _Names(msgspec.Struct, forbid_unknown_fields=True):
    places: str = DEFAULTS.slot_assignment
    placement: str = DEFAULTS.placement
    admission: str = DEFAULTS.admission
    items: str = DEFAULTS.batch.item_order
    room: str = DEFAULTS.batch.capacity
    quota: str = DEFAULTS.quota
    speed: str = DEFAULTS.speed


@dataclass(frozen=True, slots=True)
class _Choice:
    field: str
    value: str
    known: Collection[str]

    def check(self) -> None:
        if self.value not in self.known:
            expected = ", ".join(sorted(self.known))
            text = f"{POLICIES_VARIABLE}: {self.field}: expected one of {expected}"
            raise GatewaySettingsError(f"{text}; got {self.value!r}")


def read_policies(text: str) -> Policies:
    """Parses a selection of policies; policies that it does not name keep their defaults.

    Raises:
        GatewaySettingsError: a pair is malformed, or a name or value is unknown.
    """
    pairs = dict(_pair(part.strip()) for part in text.split(",") if part.strip())
    try:
        names = msgspec.convert(pairs, _Names)
    except msgspec.ValidationError as error:
        raise GatewaySettingsError(f"{POLICIES_VARIABLE}: {error}") from error
    for choice in (
        _Choice("places", names.places, SLOT_ASSIGNMENT_POLICIES),
        _Choice("placement", names.placement, PLACEMENT_POLICIES),
        _Choice("admission", names.admission, ADMISSION_POLICIES),
        _Choice("items", names.items, ITEM_ORDERS),
        _Choice("room", names.room, BATCH_CAPACITY_POLICIES),
        _Choice("quota", names.quota, QUOTA_POLICIES),
        _Choice("speed", names.speed, SPEED_POLICIES),
    ):
        choice.check()
    batch = BatchPolicies(names.items, names.room)
    return Policies(names.places, names.placement, names.admission, batch, names.quota, names.speed)


def _pair(part: str) -> tuple[str, str]:
    name, separator, value = part.partition("=")
    if not separator:
        raise GatewaySettingsError(f"{POLICIES_VARIABLE}: expected name=value, got {part!r}")
    return name.strip(), value.strip()
