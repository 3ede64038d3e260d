"""Stewardship: each engine's batch slots are granted by one daemon.

The steward of an engine is the first of its zone's serving daemons in rendezvous
order. Grants live for a short time and are renewed by asking again, so a steward
that is lost is replaced without any hand-over. Gateways tell the steward of each
online request they send; if that leaves too little room the grants are cut at
once, and their holders cancel batch items.
"""

from collections import deque
from dataclasses import dataclass, field

from troutswitch.common import rendezvous_choice, rendezvous_order
from troutswitch.decisions.invariants import ensure
from troutswitch.standalone.constants import (
    FIRM_SHARE,
    GRANT_SECONDS,
    LOAD_LAG_SECONDS,
    ONLINE_WINDOW_SECONDS,
)
from troutswitch.standalone.daemons.messages import OnlineNotice, SlotAsk, SlotGrant
from troutswitch.standalone.decisions.configuration.follower import ConfigurationFollower
from troutswitch.standalone.decisions.effects import Effect, SendDatagram
from troutswitch.standalone.decisions.engines import Engine, EngineRegistry
from troutswitch.standalone.decisions.membership import Membership
from troutswitch.standalone.decisions.sharing import SHARING_POLICIES, EngineUse


@dataclass(slots=True)
class Grant:
    """Slots granted to one daemon; `wanted` is what it last asked for.

    Of the slots at most `firm` may hold items that cannot be cancelled.
    """

    slots: int
    firm: int
    wanted: int
    expires_at: float


@dataclass(slots=True)
class EngineShare:
    """What the steward keeps for one engine.

    `online_samples` are (time, online requests) over the last window, kept with
    decreasing counts so that the first is the peak. `notices` are (time, requests)
    that the engine's load report, which lags, cannot show yet.
    """

    grants: dict[str, Grant] = field(default_factory=dict)
    notices: deque[tuple[float, int]] = field(default_factory=deque)
    online_samples: deque[tuple[float, int]] = field(default_factory=deque)


class Stewardship:
    """The engines this daemon is steward of."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationFollower,
        engines: EngineRegistry,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._engines = engines
        self._shares: dict[str, EngineShare] = {}
        self._stewards: dict[str, tuple[tuple[str, ...], str | None]] = {}
        engines.set_steward_test(self.is_steward)
        engines.add_load_hook(self._on_load)

    def steward_of(self, engine_name: str) -> str | None:
        """Returns the name of the engine's steward, as far as this daemon knows."""
        engine = self._engines.engines.get(engine_name)
        if engine is None:
            return None
        candidates = self._membership.serving_in_zone(engine.zone)
        if not candidates:
            candidates = tuple(self._membership.serving_names())
        held = self._stewards.get(engine_name)
        if held is None or held[0] != candidates:
            held = (candidates, rendezvous_choice(engine_name, list(candidates)))
            self._stewards[engine_name] = held
        return held[1]

    def is_steward(self, engine_name: str) -> bool:
        """Returns whether this daemon is the engine's steward."""
        engine = self._engines.engines.get(engine_name)
        is_foreign = engine is not None and engine.zone != self._membership.zone
        if engine is not None and is_foreign and self._membership.serving_in_zone(engine.zone):
            return False
        return self.steward_of(engine_name) == self._membership.name

    # Messages.

    def on_ask(self, now: float, message: SlotAsk) -> list[Effect]:
        """Grants slots to a daemon, or renews its grant."""
        engine = self._engines.engines.get(message.engine)
        if engine is None or not self.is_steward(message.engine):
            return []
        share = self._shares.setdefault(message.engine, EngineShare())
        self._drop_expired(now, share)
        wanted = message.held + message.wanted
        grant = share.grants.setdefault(message.sender, Grant(0, 0, 0, 0.0))
        grant.wanted = wanted
        grant.expires_at = now + GRANT_SECONDS
        self._divide(now, engine, share)
        return self._tell(engine, message.sender, grant)

    def on_notice(self, now: float, message: OnlineNotice) -> list[Effect]:
        """Online requests were sent to an engine: cut grants if room is short."""
        engine = self._engines.engines.get(message.engine)
        share = self._shares.get(message.engine)
        if engine is None or share is None:
            return []
        share.notices.append((now, message.count))
        return self._cut(now, engine, share)

    def _on_load(self, now: float, engine_name: str) -> list[Effect]:
        engine = self._engines.engines[engine_name]
        share = self._shares.get(engine_name)
        if share is None or not self.is_steward(engine_name):
            self._shares.pop(engine_name, None)
            return []
        while share.notices and share.notices[0][0] < engine.asked_at - LOAD_LAG_SECONDS:
            share.notices.popleft()
        return self._cut(now, engine, share)

    # Dividing.

    def _allowed(self, now: float, engine: Engine, share: EngineShare) -> int:
        if engine.load is None or self._engines.is_leaving(engine):
            return 0
        if not self._engines.is_fresh(now, engine):
            return 0
        policy = self._configuration.policy(engine.service, "", engine.zone)
        use = self._use(now, engine, share)
        allowed = SHARING_POLICIES[policy.batch_policy].batch_slots(use, policy)
        ensure(0 <= allowed <= max(use.slots, 0), "more batch slots than the engine has")
        return allowed

    def _use(self, now: float, engine: Engine, share: EngineShare) -> EngineUse:
        load = engine.load
        ensure(load is not None, "a share is computed without a load report")
        assert load is not None
        noticed = sum(count for _, count in share.notices)
        online_now = load.running_online + load.waiting_online + noticed
        samples = share.online_samples
        while samples and samples[0][0] < now - ONLINE_WINDOW_SECONDS:
            samples.popleft()
        while samples and samples[-1][1] <= online_now:
            samples.pop()
        samples.append((now, online_now))
        return EngineUse(load.slots, online_now, samples[0][1])

    def _divide(self, now: float, engine: Engine, share: EngineShare) -> None:
        """Divides what is allowed among the askers: equal shares, unused ones passed on."""
        left = self._allowed(now, engine, share)
        askers = sorted(share.grants.items(), key=lambda pair: (pair[1].wanted, pair[0]))
        for position, (_, grant) in enumerate(askers):
            fair = left // (len(askers) - position)
            grant.slots = min(grant.wanted, fair)
            left -= grant.slots
        ensure(left >= 0, "more batch slots are granted than allowed")
        self._divide_firm(engine, share)

    def _divide_firm(self, engine: Engine, share: EngineShare) -> None:
        """Limits the items that cannot be cancelled, so that online can take the rest."""
        left = int(engine.slots * FIRM_SHARE)
        ordered = rendezvous_order(engine.name, list(share.grants))
        each = 1 + left // max(1, len(ordered))
        for name in ordered:
            grant = share.grants[name]
            grant.firm = min(grant.slots, each, left)
            left -= grant.firm

    def _cut(self, now: float, engine: Engine, share: EngineShare) -> list[Effect]:
        """Divides anew and tells the daemons whose grant became smaller."""
        self._drop_expired(now, share)
        before = {name: grant.slots for name, grant in share.grants.items()}
        self._divide(now, engine, share)
        effects: list[Effect] = []
        for name, grant in share.grants.items():
            if grant.slots < before[name]:
                effects.extend(self._tell(engine, name, grant))
        return effects

    def _drop_expired(self, now: float, share: EngineShare) -> None:
        expired = [name for name, grant in share.grants.items() if grant.expires_at <= now]
        for name in expired:
            del share.grants[name]

    def _tell(self, engine: Engine, holder: str, grant: Grant) -> list[Effect]:
        address = self._membership.address_of(holder)
        if address is None:
            return []
        policy = self._configuration.policy(engine.service, "", engine.zone)
        message = SlotGrant(
            self._membership.name,
            engine.name,
            engine.incarnation,
            grant.slots,
            grant.firm,
            GRANT_SECONDS,
            SHARING_POLICIES[policy.batch_policy].priority,
        )
        return [SendDatagram(address, message)]
