"""Finds places for this daemon's online requests by asking coordinators.

(wish)  -> ASKED      the coordinator of a group was asked, the own zone's first
ASKED   -> ASKED      it has no place soon: the next group is asked
ASKED   -> placed     a place was granted, or the best group takes the request to its queue
ASKED   -> deferred   the wait is too long in every group
ASKED   -> fallback   no answer within `ANSWER_SECONDS`: placed by what is known here
"""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from troutswitch.daemons.messages import (
    NO_ENGINE,
    HoldingsReport,
    SlotReply,
    SlotRequest,
    engine_key,
    prefill_units,
)
from troutswitch.decisions.forwarding.engines import Engine, EngineRegistry
from troutswitch.decisions.forwarding.messages import LogLine
from troutswitch.decisions.forwarding.placement import HomePolicy, PlacementPolicy, TwoChoices
from troutswitch.decisions.forwarding.placer import (
    AssignedBy,
    Assignment,
    NoEngine,
    NoSlotInTime,
    Placement,
    PlacementRequest,
)
from troutswitch.decisions.forwarding.wait_estimate import Estimate
from troutswitch.decisions.slots.claims import Claim, CoordinatorClaims
from troutswitch.decisions.slots.coordinator import PlaceRequest, SlotCoordinator
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.slots.messages import SendToPeers, StartItems

ANSWER_SECONDS = 0.03
"""Time for an answer: a tenth of an objective of 300 ms; an answer takes one to four
milliseconds between zones, and more where a daemon's processor is busy."""
GROUPS_ASKED_MOST = 3
"""Groups that are asked for one request before it joins the shortest queue."""
NEAR_WAIT_SECONDS = 0.02
"""Wait for a slot for which no other group is asked: about what asking costs."""
NO_BOUND = -1
"""Stands for a request that takes any wait, in an ask."""

Instruction = SendToPeers | StartItems | LogLine


@dataclass(slots=True)
class _Search:
    """The search for one request's place."""

    wish: PlacementRequest
    groups: list[Group]
    number: int = 0
    asked: Group | None = None
    requested_at: float = 0.0
    is_last: bool = False
    best: Estimate | None = None
    best_group: Group | None = None


@dataclass(frozen=True, slots=True)
class PlacementFound:
    """The end of a search."""

    token: int
    placing: Placement


class SlotRequests:
    """Searches in progress; implements `Placer`."""

    def __init__(
        self,
        zone: str,
        engines: EngineRegistry,
        groups: EngineGroups,
        claims: CoordinatorClaims,
        coordinator: SlotCoordinator,
        homes: HomePolicy,
        report: Callable[[float, Claim], HoldingsReport],
        candidates: Callable[[float, int], list[Engine]],
        emit: Callable[[Instruction], None],
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._engines = engines
        self._groups = groups
        self._claims = claims
        self._coordinator = coordinator
        self._homes = homes
        self._report = report
        self._candidates = candidates
        self._emit = emit
        self._rng = rng
        self._fallback: PlacementPolicy = TwoChoices()
        self._searches: dict[int, _Search] = {}
        self._by_number: dict[int, int] = {}
        self._numbers = itertools.count(1)

    # Placer.

    def place(
        self, now: float, wish: PlacementRequest, candidates: list[Engine]
    ) -> Placement | None:
        """Begins a search; one that this daemon can end itself ends at once."""
        home = self._homes.home(candidates, wish.prompt)
        if home is not None:
            return Assignment(home, AssignedBy.HOME, home.in_flight(now) >= home.slots)
        search = _Search(wish, self._groups_in_order(wish.service))
        return self._go_on(now, search)

    def withdraw(self, now: float, token: int) -> None:
        """Forgets a search; a place that is granted to it is given back (`is_awaited`)."""
        search = self._searches.pop(token, None)
        if search is not None:
            self._by_number.pop(search.number, None)

    def _groups_in_order(self, service: str) -> list[Group]:
        groups = self._groups.of_service(service)
        self._rng.shuffle(groups)
        groups.sort(key=lambda group: group.zone not in ("", self._zone))
        return groups[:GROUPS_ASKED_MOST]

    # Searching.

    def _go_on(self, now: float, search: _Search) -> Placement | None:
        """Asks the next group, or ends the search."""
        while search.groups:
            search.asked = search.groups.pop(0)
            placing, is_sent = self._ask(now, search, search.asked)
            if placing is not None or is_sent:
                return placing
        return self._end(now, search)

    def _ask(self, now: float, search: _Search, group: Group) -> tuple[Placement | None, bool]:
        """Asks a group's coordinator; returns the end of the search, and if an answer is due."""
        if self._coordinator.coordinates(group.name):
            return self._decide_here(now, search, group), False
        claim = self._claims.coordinator(now, group.name)
        if claim is None:
            self._claims.on_wanted(now, group.name)
            return None, False
        search.number = next(self._numbers)
        search.requested_at = now
        self._searches[search.wish.token] = search
        self._by_number[search.number] = search.wish.token
        self._emit(SendToPeers((claim.address,), self._message(now, search, group, claim)))
        return None, True

    def _message(self, now: float, search: _Search, group: Group, claim: Claim) -> SlotRequest:
        wait = self._wait_taken(search)
        return SlotRequest(
            self._report(now, claim),
            search.number,
            group.name,
            prefill_units(search.wish.prompt.prompt_tokens),
            NO_BOUND if wait == float("inf") else round(wait * 1000),
            tuple(sorted(self._avoided(now, search, group))),
        )

    def _wait_taken(self, search: _Search) -> float:
        """Returns the wait that is taken now: little while another group may have a slot."""
        if search.is_last or (not search.groups and search.best is None):
            return search.wish.longest_wait
        return min(NEAR_WAIT_SECONDS, search.wish.longest_wait)

    def _avoided(self, now: float, search: _Search, group: Group) -> frozenset[int]:
        allowed = {s.record.engine_id for s in self._candidates(now, search.wish.token)}
        held = self._coordinator.engines_of(group.name)
        return frozenset(
            engine_key(s.record.engine_id) for s in held if s.record.engine_id not in allowed
        )

    def _decide_here(self, now: float, search: _Search, group: Group) -> Placement | None:
        request = PlaceRequest(
            group,
            self._zone,
            prefill_units(search.wish.prompt.prompt_tokens),
            self._wait_taken(search),
            self._avoided(now, search, group),
        )
        decision = self._coordinator.decide(now, request)
        if decision.engine is None:
            self._note_wait(search, group, decision.estimate)
            return None
        for made in self._coordinator.make_room_for_own(now, decision.engine):
            self._emit(made)
        return Assignment(decision.engine, AssignedBy.COORDINATOR, decision.estimate.wait > 0)

    @staticmethod
    def _note_wait(search: _Search, group: Group, estimate: Estimate) -> None:
        if estimate.slots == 0:
            return  # the group has no engine for the request
        if search.best is None or estimate.wait < search.best.wait:
            search.best, search.best_group = estimate, group

    def _end(self, now: float, search: _Search) -> Placement | None:
        """No group has a place soon: joins the shortest queue, or is deferred."""
        best, group = search.best, search.best_group
        if best is None or group is None or search.is_last:
            return self._fall_back(now, search)
        if best.wait > search.wish.longest_wait:
            return NoSlotInTime(best)
        search.is_last = True
        placing, is_sent = self._ask(now, search, group)
        search.asked = group
        if placing is None and not is_sent:
            return self._fall_back(now, search)
        return placing

    def _fall_back(self, now: float, search: _Search) -> Placement:
        """Places by what is known here."""
        candidates = self._candidates(now, search.wish.token)
        if not candidates:
            candidates = self._engines.usable(now, search.wish.service)
        if not candidates:
            return NoEngine()
        prompt = search.wish.prompt
        engine = self._fallback.choose(now, candidates, prompt, self._zone, self._rng)
        return Assignment(engine, AssignedBy.FALLBACK, engine.in_flight(now) >= engine.slots)

    # Answers.

    def is_awaited(self, answer: SlotReply) -> bool:
        """Returns whether a search still waits for an answer."""
        return answer.number in self._by_number

    def on_answer(self, now: float, answer: SlotReply) -> PlacementFound | None:
        """Takes a coordinator's answer; returns the search's end if it ends."""
        token = self._by_number.pop(answer.number, None)
        search = self._searches.get(token) if token is not None else None
        if search is None or search.number != answer.number or search.asked is None:
            return None
        if not answer.is_coordinator:
            self._claims.on_denied(now, answer.group)
            return self._finish(now, search, self._go_on(now, search))
        self._claims.on_activity(answer.group, answer.sender)
        if answer.engine_key == NO_ENGINE:
            held = answer.wait_ms / 1000
            estimate = Estimate(held, answer.queued, answer.slots, 0.0)
            self._note_wait(search, search.asked, estimate)
            return self._finish(now, search, self._go_on(now, search))
        engine = self._engines.by_key(answer.engine_key)
        allowed = self._candidates(now, search.wish.token)
        if engine is None or engine not in allowed:
            return self._finish(now, search, self._fall_back(now, search))
        place = Assignment(engine, AssignedBy.COORDINATOR, answer.wait_ms > 0)
        return self._finish(now, search, place)

    def _finish(
        self, now: float, search: _Search, placing: Placement | None
    ) -> PlacementFound | None:
        if placing is None:
            return None
        self.withdraw(now, search.wish.token)
        return PlacementFound(search.wish.token, placing)

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        asked = (search.requested_at for search in self._searches.values())
        return min(asked, default=float("inf")) + ANSWER_SECONDS

    def on_timer(self, now: float) -> list[PlacementFound]:
        """Places by what is known here where no answer came."""
        ended: list[PlacementFound] = []
        late = [s for s in self._searches.values() if now >= s.requested_at + ANSWER_SECONDS]
        for search in late:
            if search.asked is not None:
                self._claims.on_missed(now, search.asked.name)
                line = {"group": search.asked.name, "waited_ms": round(ANSWER_SECONDS * 1000)}
                self._emit(LogLine("place not answered", line))
            self._by_number.pop(search.number, None)
            placing = self._fall_back(now, search)
            self.withdraw(now, search.wish.token)
            ended.append(PlacementFound(search.wish.token, placing))
        return ended
