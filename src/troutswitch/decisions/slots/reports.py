"""Tells coordinators what this daemon has in flight at their engines.

A report goes some milliseconds after a change that the coordinator does not know, and now and
then while anything is held or waits. A daemon that holds nothing and wants nothing tells
nothing, so what is told follows the requests, not the number of daemons.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.daemons.messages import (
    EngineShare,
    HoldingsReport,
    engine_key,
    prefill_units,
)
from troutswitch.decisions.forwarding.engines import Engine, EngineRegistry
from troutswitch.decisions.slots.claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.messages import SendToPeers, WaitingItems

REPORT_SECONDS = 0.01
"""Least interval between reports to one coordinator: changes within it go together."""
NOTICE_SECONDS = 0.2
"""Longest time until a coordinator hears that its words came, well before they lapse."""
REFRESH_SECONDS = 0.5
"""Interval between reports while something is held or waits, in case one was lost, and for a
coordinator that is new."""


@dataclass(frozen=True, slots=True)
class _Told:
    """What a coordinator is told, but for what changes with each report."""

    shares: tuple[EngineShare, ...] = ()
    waiting: WaitingItems = field(default_factory=WaitingItems)
    open_items: int = 0

    @property
    def is_nothing(self) -> bool:
        """Whether there is no need to tell it again."""
        return not self.shares and not self.open_items


@dataclass(slots=True)
class _Coordinator:
    """One coordinator as this daemon reports to it."""

    address: Address
    told: _Told = field(default_factory=_Told)
    sent_at: float = float("-inf")
    incarnation: int = 0
    grant_seen: int = 0
    has_news: bool = False
    holds_unused: bool = False
    """Whether it granted a place that nobody here takes."""


class HoldingsReports:
    """Reports of one daemon to all coordinators."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: Address,
        incarnation: int,
        engines: EngineRegistry,
        groups: EngineGroups,
        claims: CoordinatorClaims,
        waiting: Callable[[], WaitingItems],
        open_items: Callable[[], int],
    ) -> None:
        self._name = name
        self._zone = zone
        self._address = address
        self._incarnation = incarnation
        self._engines = engines
        self._groups = groups
        self._claims = claims
        self._waiting = waiting
        self._open_items = open_items
        self._sequence = 0
        self._coordinators: dict[str, _Coordinator] = {}
        self._seen_state: tuple[tuple[int, int, int], WaitingItems, int] | None = None
        self._wanted: dict[str, _Told] = {}

    # Words of coordinators.

    def take_grant(self, claim: Claim, incarnation: int, grant: int) -> bool:
        """Notes a numbered word; returns whether it is new, so that it may be acted on."""
        held = self._held(claim)
        if held.incarnation != incarnation:
            held.incarnation, held.grant_seen = incarnation, 0
            held.has_news = True  # a new life of the coordinator knows nothing yet
        if grant <= held.grant_seen:
            return False
        held.grant_seen = grant
        held.has_news = True
        return True

    def on_unused_place(self, claim: Claim) -> None:
        """Gives a granted place back with the next report, as its request is gone.

        It stood empty for `NOTICE_SECONDS` more otherwise.
        """
        self._held(claim).holds_unused = True

    def knows_all(self, claim: Claim) -> bool:
        """Returns whether a coordinator was told what this daemon has there now."""
        self._update()
        return self._held(claim).told == self._wanted.get(claim.daemon, _Told())

    def assume_known(self, claim: Claim) -> None:
        """Takes it that the coordinator knows what it has just granted."""
        self._update()
        self._held(claim).told = self._wanted.get(claim.daemon, _Told())

    def _held(self, claim: Claim) -> _Coordinator:
        held = self._coordinators.get(claim.daemon)
        if held is None:
            held = _Coordinator(claim.address)
            self._coordinators[claim.daemon] = held
        held.address = claim.address
        return held

    # What is to be told.

    def _update(self) -> None:
        """Works out anew what each coordinator is to know, if anything changed."""
        changes = (self._engines.changes, self._claims.changes, self._groups.changes)
        waiting, open_items = self._waiting(), self._open_items()
        state = (changes, waiting, open_items)
        if state == self._seen_state:
            return
        self._seen_state = state
        shares: dict[str, list[EngineShare]] = {}
        for engine_id, engine in self._engines.engines.items():
            if engine.online_in_flight or engine.batch_in_flight:
                claim = self._claim_for(engine_id)
                if claim is not None:
                    shares.setdefault(claim.daemon, []).append(_share(engine_id, engine))
        wanted: dict[str, _Told] = {}
        for group in self._groups.all():
            claim = self._claims.claim_of(group.name)
            if claim is not None and claim.daemon != self._name:
                self._held(claim)
                held = tuple(shares.get(claim.daemon, ()))
                wanted[claim.daemon] = _Told(held, waiting, open_items)
        self._wanted = wanted

    def _claim_for(self, engine_id: str) -> Claim | None:
        group = self._groups.of_engine(engine_id)
        return self._claims.claim_of(group.name) if group is not None else None

    # Reports.

    def report(self, now: float, claim: Claim) -> HoldingsReport:
        """Returns a report for a coordinator, which counts as sent now."""
        self._update()
        return self._make(now, self._held(claim), self._wanted.get(claim.daemon, _Told()))

    def _make(self, now: float, held: _Coordinator, told: _Told) -> HoldingsReport:
        held.told = told
        held.sent_at = now
        held.has_news = False
        held.holds_unused = False
        self._sequence += 1
        return HoldingsReport(
            self._name,
            self._zone,
            self._address,
            self._incarnation,
            self._sequence,
            told.shares,
            told.waiting.in_time,
            told.waiting.late,
            told.open_items,
            held.incarnation,
            held.grant_seen,
            self._unusable(now),
        )

    def _unusable(self, now: float) -> tuple[int, ...]:
        return tuple(
            engine_key(name)
            for name, engine in self._engines.engines.items()
            if engine.is_leaving or now < max(engine.ejected_until, engine.full_until)
        )

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        self._update()
        return min((self._due(name) for name in self._wanted), default=float("inf"))

    def _due(self, name: str) -> float:
        held = self._coordinators[name]
        wanted = self._wanted[name]
        if wanted != held.told or held.holds_unused:
            return held.sent_at + REPORT_SECONDS
        if held.has_news:
            return held.sent_at + NOTICE_SECONDS
        return float("inf") if wanted.is_nothing else held.sent_at + REFRESH_SECONDS

    def on_timer(self, now: float) -> list[SendToPeers]:
        """Sends the reports that are due."""
        self._update()
        instructions: list[SendToPeers] = []
        for name in [name for name in self._wanted if now >= self._due(name)]:
            held = self._coordinators[name]
            report = self._make(now, held, self._wanted[name])
            instructions.append(SendToPeers((held.address,), report))
        return instructions


def _share(engine_id: str, engine: Engine) -> EngineShare:
    return EngineShare(
        engine_key(engine_id),
        engine.online_in_flight,
        engine.batch_in_flight,
        prefill_units(engine.prefill_tokens),
    )
