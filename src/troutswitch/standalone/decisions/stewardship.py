"""Stewardship: one daemon, the steward, grants the batch slots of an engine.

The steward of an engine is the first of its zone's serving daemons in rendezvous
order. Grants are short-lived and renewed by repeated requests, so another daemon can
replace a lost steward without a handover. Gateways notify the steward of each online
request that they send. If too few slots remain for online work, the steward reduces
the grants immediately and their holders cancel batch items.
"""

from collections import deque
from dataclasses import dataclass, field

from troutswitch.common import rendezvous_choice, rendezvous_order
from troutswitch.decisions.invariants import ensure
from troutswitch.standalone.constants import (
    GRANT_SECONDS,
    LOAD_LAG_SECONDS,
    NON_PREEMPTIBLE_SHARE,
    ONLINE_WINDOW_SECONDS,
)
from troutswitch.standalone.daemons.messages import BatchSlotRequest, OnlineNotice, SlotGrant
from troutswitch.standalone.decisions.configuration.follower import ConfigurationFollower
from troutswitch.standalone.decisions.effects import Effect, SendDatagram
from troutswitch.standalone.decisions.engines import Engine, EngineRegistry
from troutswitch.standalone.decisions.membership import Membership
from troutswitch.standalone.decisions.sharing import SHARING_POLICIES, EngineUse


@dataclass(slots=True)
class Grant:
    """Slots granted to one daemon.

    Attributes:
        slots: Slots that the daemon may use until `expires_at`.
        non_preemptible: Maximum number of items on these slots that must not be repeated
            and therefore cannot be cancelled.
        wanted: Slots that the daemon requested last, including those in use.
        expires_at: Time at which the grant expires.
    """

    slots: int
    non_preemptible: int
    wanted: int
    expires_at: float


@dataclass(slots=True)
class EngineAllocation:
    """The steward's state for one engine.

    `online_samples` holds (time, online requests) pairs of the last window with
    decreasing counts, so that the first is the peak. `notices` holds (time, requests)
    pairs that the engine's load report, which lags, cannot include yet.
    """

    grants: dict[str, Grant] = field(default_factory=dict)
    notices: deque[tuple[float, int]] = field(default_factory=deque)
    online_samples: deque[tuple[float, int]] = field(default_factory=deque)


class Stewardship:
    """The slot allocations of the engines whose steward is this daemon."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationFollower,
        engines: EngineRegistry,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._engines = engines
        self._allocations: dict[str, EngineAllocation] = {}
        self._stewards: dict[str, tuple[tuple[str, ...], str | None]] = {}
        engines.set_steward_test(self.is_steward)
        engines.add_load_hook(self._on_load)

    def steward_of(self, engine_name: str) -> str | None:
        """Returns the steward of an engine according to this daemon's member table.

        If the engine's zone has no serving daemon, all serving daemons are candidates.
        """
        engine = self._engines.engines.get(engine_name)
        if engine is None:
            return None
        candidates = self._membership.serving_in_zone(engine.zone)
        if not candidates:
            candidates = tuple(self._membership.serving_names())
        cached = self._stewards.get(engine_name)
        if cached is None or cached[0] != candidates:
            cached = (candidates, rendezvous_choice(engine_name, list(candidates)))
            self._stewards[engine_name] = cached
        return cached[1]

    def is_steward(self, engine_name: str) -> bool:
        """Returns whether this daemon is the engine's steward."""
        engine = self._engines.engines.get(engine_name)
        is_other_zone = engine is not None and engine.zone != self._membership.zone
        if engine is not None and is_other_zone and self._membership.serving_in_zone(engine.zone):
            return False
        return self.steward_of(engine_name) == self._membership.name

    # Messages.

    def on_slot_request(self, now: float, message: BatchSlotRequest) -> list[Effect]:
        """Grants slots to a daemon or renews its grant."""
        engine = self._engines.engines.get(message.engine)
        if engine is None or not self.is_steward(message.engine):
            return []
        allocation = self._allocations.setdefault(message.engine, EngineAllocation())
        self._drop_expired(now, allocation)
        wanted = message.running + message.requested
        grant = allocation.grants.setdefault(message.sender, Grant(0, 0, 0, 0.0))
        grant.wanted = wanted
        grant.expires_at = now + GRANT_SECONDS
        self._divide_slots(now, engine, allocation)
        return self._send_grant(engine, message.sender, grant)

    def on_online_notice(self, now: float, message: OnlineNotice) -> list[Effect]:
        """Records online requests sent to an engine and reduces grants if necessary."""
        engine = self._engines.engines.get(message.engine)
        allocation = self._allocations.get(message.engine)
        if engine is None or allocation is None:
            return []
        allocation.notices.append((now, message.count))
        return self._reduce_grants(now, engine, allocation)

    def _on_load(self, now: float, engine_name: str) -> list[Effect]:
        engine = self._engines.engines[engine_name]
        allocation = self._allocations.get(engine_name)
        if allocation is None or not self.is_steward(engine_name):
            self._allocations.pop(engine_name, None)
            return []
        while allocation.notices and allocation.notices[0][0] < engine.polled_at - LOAD_LAG_SECONDS:
            allocation.notices.popleft()
        return self._reduce_grants(now, engine, allocation)

    # Division of slots.

    def _allowed_slots(self, now: float, engine: Engine, allocation: EngineAllocation) -> int:
        if engine.load is None or self._engines.is_leaving(engine):
            return 0
        if not self._engines.is_fresh(now, engine):
            return 0
        policy = self._configuration.policy(engine.service, "", engine.zone)
        use = self._engine_use(now, engine, allocation)
        allowed = SHARING_POLICIES[policy.batch_policy].batch_slots(use, policy)
        ensure(0 <= allowed <= max(use.slots, 0), "more batch slots than the engine has")
        return allowed

    def _engine_use(self, now: float, engine: Engine, allocation: EngineAllocation) -> EngineUse:
        load = engine.load
        ensure(load is not None, "batch slots are computed without a load report")
        assert load is not None
        unreported = sum(count for _, count in allocation.notices)
        online_now = load.running_online + load.waiting_online + unreported
        samples = allocation.online_samples
        while samples and samples[0][0] < now - ONLINE_WINDOW_SECONDS:
            samples.popleft()
        while samples and samples[-1][1] <= online_now:
            samples.pop()
        samples.append((now, online_now))
        return EngineUse(load.slots, online_now, samples[0][1])

    def _divide_slots(self, now: float, engine: Engine, allocation: EngineAllocation) -> None:
        """Divides the allowed slots equally and redistributes the unused part of a share."""
        remaining = self._allowed_slots(now, engine, allocation)
        by_wanted = sorted(allocation.grants.items(), key=lambda pair: (pair[1].wanted, pair[0]))
        for position, (_, grant) in enumerate(by_wanted):
            equal_share = remaining // (len(by_wanted) - position)
            grant.slots = min(grant.wanted, equal_share)
            remaining -= grant.slots
        ensure(remaining >= 0, "more batch slots are granted than allowed")
        self._divide_non_preemptible(engine, allocation)

    def _divide_non_preemptible(self, engine: Engine, allocation: EngineAllocation) -> None:
        """Limits non-preemptible items, so that online work can use the remaining slots."""
        remaining = int(engine.slots * NON_PREEMPTIBLE_SHARE)
        ordered = rendezvous_order(engine.name, list(allocation.grants))
        equal_share = 1 + remaining // max(1, len(ordered))
        for name in ordered:
            grant = allocation.grants[name]
            grant.non_preemptible = min(grant.slots, equal_share, remaining)
            remaining -= grant.non_preemptible

    def _reduce_grants(
        self, now: float, engine: Engine, allocation: EngineAllocation
    ) -> list[Effect]:
        """Divides the slots again and notifies the daemons whose grants became smaller."""
        self._drop_expired(now, allocation)
        before = {name: grant.slots for name, grant in allocation.grants.items()}
        self._divide_slots(now, engine, allocation)
        effects: list[Effect] = []
        for name, grant in allocation.grants.items():
            if grant.slots < before[name]:
                effects.extend(self._send_grant(engine, name, grant))
        return effects

    def _drop_expired(self, now: float, allocation: EngineAllocation) -> None:
        expired = [name for name, grant in allocation.grants.items() if grant.expires_at <= now]
        for name in expired:
            del allocation.grants[name]

    def _send_grant(self, engine: Engine, holder: str, grant: Grant) -> list[Effect]:
        address = self._membership.address_of(holder)
        if address is None:
            return []
        policy = self._configuration.policy(engine.service, "", engine.zone)
        message = SlotGrant(
            self._membership.name,
            engine.name,
            engine.incarnation,
            grant.slots,
            grant.non_preemptible,
            GRANT_SECONDS,
            SHARING_POLICIES[policy.batch_policy].priority,
        )
        return [SendDatagram(address, message)]
