"""What other daemons hold at engines, as the coordinator of these engines knows it.

A peer's share of an engine is what its newest report tells, and what this daemon granted or
took back since that report was made. Words to a peer carry numbers, and a report carries the
number of the newest word that it includes, so a count is exact but for words and reports that
are lost; a word that no report includes lapses after `WORD_LAPSE_SECONDS`, and a peer that is
silent counts no more after `SILENT_SECONDS`.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from troutswitch.common import Address
from troutswitch.daemons.messages import (
    PREFILL_UNIT_TOKENS,
    EngineShare,
    HoldingsReport,
    engine_key,
)
from troutswitch.decisions.forwarding.engines import Engine, EngineRegistry
from troutswitch.decisions.invariants import ensure

WORD_LAPSE_SECONDS = 0.5
"""Time after which a word counts no more that no report has included: five times the longest
time between a change and the report of it, with room for a lost datagram."""
SILENT_SECONDS = 2.0
"""Silence after which a peer's holdings no longer count: four refreshments of its report."""
FORGET_SECONDS = 60.0
"""Silence after which a peer is forgotten."""
LOOK_SECONDS = 0.1
"""Interval between looks for words that lapsed and peers that fell silent."""
EJECTIONS_TO_AVOID = 2
"""Daemons that must find an engine unusable before no daemon is sent there."""


@dataclass(frozen=True, slots=True)
class Word:
    """A grant (positive counts) or a taking back (negative ones) that a peer was told."""

    number: int
    told_at: float
    share: EngineShare


@dataclass(slots=True)
class Holder:
    """A peer with work at engines that this daemon counts."""

    address: Address
    zone: str
    incarnation: int
    sequence: int
    last_seen_at: float
    reported: dict[int, EngineShare] = field(default_factory=dict)
    words: deque[Word] = field(default_factory=deque)
    last_word: int = 0
    shares: dict[int, EngineShare] = field(default_factory=dict)
    waiting_items: int = 0
    late_items: int = 0
    open_items: int = 0
    unusable: frozenset[int] = frozenset()

    def batch_at(self, key: int) -> int:
        """Returns the batch items that it has at an engine."""
        share = self.shares.get(key)
        return share.batch if share is not None else 0

    @property
    def batch_on_the_way(self) -> int:
        """Places for batch items that it was granted since its report."""
        return sum(grant.share.batch for grant in self.words if grant.share.batch > 0)


class SlotLedger:
    """All holders, and the counts of engines that follow from them."""

    def __init__(self, engines: EngineRegistry, incarnation: int) -> None:
        self.holders: dict[str, Holder] = {}
        self.incarnation = incarnation
        self._engines = engines
        self._looked_at = float("-inf")

    def on_report(self, now: float, report: HoldingsReport) -> bool:
        """Takes a report; returns whether it is news, not one that a newer one overtook."""
        holder = self.holders.get(report.sender)
        if holder is None:
            holder = Holder(report.address, report.zone, report.incarnation, -1, now)
            self.holders[report.sender] = holder
        if holder.incarnation != report.incarnation:
            holder.words.clear()
        elif report.sequence <= holder.sequence:
            return False
        holder.address, holder.zone = report.address, report.zone
        holder.incarnation, holder.sequence = report.incarnation, report.sequence
        holder.last_seen_at = now
        holder.waiting_items = report.waiting_items
        holder.late_items = report.late_items
        holder.open_items = report.open_items
        holder.unusable = frozenset(report.unusable)
        holder.reported = {share.engine_key: share for share in report.shares}
        if report.grant_incarnation == self.incarnation:
            while holder.words and holder.words[0].number <= report.grant_seen:
                holder.words.popleft()
        self._apply(now, holder)
        return True

    def tell(self, now: float, name: str, share: EngineShare) -> int:
        """Notes a word to a peer, which changes its share; returns the word's number."""
        holder = self.holders[name]
        holder.last_word += 1
        holder.words.append(Word(holder.last_word, now, share))
        self._apply(now, holder)
        return holder.last_word

    def _apply(self, now: float, holder: Holder) -> None:
        """Brings the counts of engines in line with what a holder has now."""
        shares = dict(holder.reported)
        for grant in holder.words:
            key = grant.share.engine_key
            shares[key] = _sum(shares.get(key, EngineShare(key, 0, 0, 0)), grant.share)
        if shares == holder.shares:
            return
        for key in holder.shares.keys() | shares.keys():
            nothing = EngineShare(key, 0, 0, 0)
            self._change(now, holder.shares.get(key, nothing), shares.get(key, nothing))
        holder.shares = shares

    def _change(self, now: float, old: EngineShare, new: EngineShare) -> None:
        engine = self._engines.by_key(new.engine_key)
        if engine is None or old == new:
            return
        tokens = (new.prefill_units - old.prefill_units) * PREFILL_UNIT_TOKENS
        engine.change_peers_online(now, new.online - old.online)
        engine.peers_batch = max(0, engine.peers_batch + new.batch - old.batch)
        engine.peers_prefill_tokens = max(0, engine.peers_prefill_tokens + tokens)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return self._looked_at + LOOK_SECONDS if self.holders else float("inf")

    def on_timer(self, now: float) -> None:
        """Lets words lapse, and peers that fell silent count no more."""
        if now < self.next_due():
            return
        self._looked_at = now
        for name, holder in list(self.holders.items()):
            if now - holder.last_seen_at > SILENT_SECONDS:
                self._silence(holder)
            while holder.words and now - holder.words[0].told_at > WORD_LAPSE_SECONDS:
                holder.words.popleft()
            self._apply(now, holder)
            if now - holder.last_seen_at > FORGET_SECONDS:
                del self.holders[name]

    @staticmethod
    def _silence(holder: Holder) -> None:
        holder.reported = {}
        holder.words.clear()
        holder.waiting_items = 0
        holder.late_items = 0
        holder.open_items = 0
        holder.unusable = frozenset()

    def recount(self, now: float, engines: Iterable[Engine]) -> None:
        """Makes the counts of some engines anew from the holders, after the list changed."""
        for engine in engines:
            engine.change_peers_online(now, -engine.peers_online)
            engine.peers_batch = 0
            engine.peers_prefill_tokens = 0
            key = engine_key(engine.record.engine_id)
            for holder in self.holders.values():
                share = holder.shares.get(key)
                if share is not None:
                    self._change(now, EngineShare(key, 0, 0, 0), share)

    def batch_holders(self, key: int) -> list[tuple[str, int]]:
        """Returns the peers that have batch items at an engine, with how many."""
        held = ((name, holder.batch_at(key)) for name, holder in self.holders.items())
        return [(name, count) for name, count in held if count > 0]

    def is_avoided(self, key: int) -> bool:
        """Returns whether several daemons find an engine unusable."""
        found = sum(key in holder.unusable for holder in self.holders.values())
        return found >= EJECTIONS_TO_AVOID

    def open_items(self) -> int:
        """Returns the batch items that peers have to finish."""
        return sum(holder.open_items for holder in self.holders.values())

    def validate(self) -> None:
        """Asserts what must hold between events."""
        for holder in self.holders.values():
            numbers = [grant.number for grant in holder.words]
            ensure(numbers == sorted(set(numbers)), "words to a peer are out of order")
            ensure(not numbers or numbers[-1] <= holder.last_word, "a word has no number")


def _sum(share: EngineShare, change: EngineShare) -> EngineShare:
    return EngineShare(
        share.engine_key,
        max(0, share.online + change.online),
        max(0, share.batch + change.batch),
        max(0, share.prefill_units + change.prefill_units),
    )
