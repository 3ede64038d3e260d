"""Who coordinates which group: claims in the store, of which the newest holds.

    (none)   -> CLAIMED   a daemon of the group's zone appended a claim at the expected end
    CLAIMED  -> SUSPECT   asks to the coordinator were not answered several times in a row
    SUSPECT  -> CLAIMED   it was heard again, or another daemon's claim was read

The store's condition lets one of several claims succeed, and all daemons read the topic, so
they agree as soon as they have read it. Until then two daemons may both believe: each grants
by the reports that it gets. While the store is away, or nobody answers, daemons place by what
they know themselves.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import cbor2

from troutswitch.common import Address, stable_hash
from troutswitch.daemons.messages import KnownClaim
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.storage.follower import CallNumbers, PartitionFollower
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    EndMoved,
    KeyedRecord,
    Partition,
    StoreCall,
    StoreOutcome,
)

CLAIMS_TOPIC = "coordinators"
WAIT_SECONDS = 3.0
"""Time for which a read waits at the store: an answer that is lost is noticed after it."""
PAUSE_SECONDS = 0.05
"""Least interval between reads."""
CLAIM_SPREAD_SECONDS = 0.3
"""Random part of the time before a daemon claims, so that one claims and the others read."""
FAR_SECONDS = 1.0
"""Time by which daemons of other zones wait longer."""
LOOK_SECONDS = 0.05
"""Interval between looks for groups that need a coordinator."""
CLAIM_SECONDS = 1.0
"""Least interval between claims of one group by one daemon."""
LOST_RACE_SECONDS = 0.1
"""Time after which a claim is made again that another record came before."""
CALL_LOST_SECONDS = 4.0
"""Time after which a claim that the store did not answer is given up."""
SUSPECT_MISSES = 2
"""Asks in a row without an answer after which a coordinator is suspected."""
SUSPECT_SECONDS = 2.0
"""Time after which a suspected coordinator is asked again."""


@dataclass(frozen=True, slots=True)
class Claim:
    """A daemon's claim of a group; of two, that of the higher `offset` in the store holds."""

    group: str
    daemon: str
    address: Address
    offset: int


@dataclass(slots=True)
class _Standing:
    """What is known of one group's coordinator here."""

    misses: int = 0
    suspected_until: float = float("-inf")
    missing_since: float = float("inf")
    claimed_at: float = float("-inf")


class CoordinatorClaims:
    """Follows the claims, and claims groups that have no coordinator."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: Address,
        groups: EngineGroups,
        numbers: CallNumbers,
        rng: random.Random,
        log: Callable[..., None],
    ) -> None:
        self.is_leaving = False
        self.changes = 0
        """Changes of who coordinates what, to tell whether reports go elsewhere."""
        self._name = name
        self._zone = zone
        self._address = address
        self._groups = groups
        self._numbers = numbers
        self._log = log
        self._claims: dict[str, Claim] = {}
        self._standings: dict[str, _Standing] = {}
        self._calls: dict[int, tuple[str, float]] = {}
        self._look_at = float("-inf")
        self._next_claim = float("inf")
        self._follower = PartitionFollower(
            Partition(CLAIMS_TOPIC), numbers, rng, self._take_record, WAIT_SECONDS, PAUSE_SECONDS
        )

    # What is known.

    def claim_of(self, group: str) -> Claim | None:
        """Returns the newest claim of a group that is known."""
        return self._claims.get(group)

    def is_own(self, group: str) -> bool:
        """Returns whether this daemon coordinates a group, as far as it knows."""
        claim = self._claims.get(group)
        return claim is not None and claim.daemon == self._name and not self.is_leaving

    def coordinator(self, now: float, group: str) -> Claim | None:
        """Returns the claim of a group's coordinator, unless it is suspected."""
        claim = self._claims.get(group)
        if claim is None or now < self._standing(group).suspected_until:
            return None
        return claim

    def told(self) -> tuple[KnownClaim, ...]:
        """Returns the claims of the groups that there are, as they are told to peers."""
        held = [self._claims.get(group.name) for group in self._groups.all()]
        return tuple(
            KnownClaim(claim.group, claim.daemon, claim.address, claim.offset)
            for claim in held
            if claim is not None
        )

    def take_claims(self, claims: Iterable[KnownClaim]) -> None:
        """Takes claims that a peer knows, which may be newer than those read here."""
        for told in claims:
            self.take(Claim(told.group, told.daemon, told.address, told.offset))

    def _take_record(self, record: KeyedRecord) -> None:
        try:
            daemon, host, port = cbor2.loads(record.value)
            claim = Claim(record.key, str(daemon), Address(str(host), int(port)), record.offset)
        except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
            self._log("claim malformed", group=record.key, reason=str(error))
            return
        self.take(claim)

    def take(self, claim: Claim) -> None:
        """Takes a claim, unless a newer one of its group is known."""
        held = self._claims.get(claim.group)
        if held is not None and held.offset >= claim.offset:
            return
        self._claims[claim.group] = claim
        self.changes += 1
        self._standings[claim.group] = _Standing()
        self._log(
            "coordinator known", group=claim.group, coordinator=claim.daemon, offset=claim.offset
        )

    def _standing(self, group: str) -> _Standing:
        return self._standings.setdefault(group, _Standing())

    # How the coordinator answers.

    def on_activity(self, group: str, daemon: str) -> None:
        """The coordinator of a group answered."""
        claim = self._claims.get(group)
        if claim is not None and claim.daemon == daemon:
            standing = self._standing(group)
            standing.misses = 0
            standing.suspected_until = float("-inf")
            standing.missing_since = float("inf")

    def on_missed(self, now: float, group: str) -> None:
        """An ask to the coordinator of a group was not answered in time."""
        standing = self._standing(group)
        standing.misses += 1
        standing.missing_since = min(standing.missing_since, now)
        self._plan()
        if standing.misses >= SUSPECT_MISSES and now >= standing.suspected_until:
            standing.suspected_until = now + SUSPECT_SECONDS
            claim = self._claims.get(group)
            coordinator = claim.daemon if claim is not None else ""
            self._log("coordinator suspected", group=group, coordinator=coordinator)

    def on_denied(self, now: float, group: str) -> None:
        """The daemon that was asked says that it does not coordinate the group."""
        standing = self._standing(group)
        standing.misses = SUSPECT_MISSES
        self.on_missed(now, group)

    def on_wanted(self, now: float, group: str) -> None:
        """A place was wanted at a group of which no coordinator is known."""
        standing = self._standing(group)
        if standing.missing_since == float("inf"):
            standing.missing_since = now
            self._plan()

    # Claiming.

    def set_least_interval(self, seconds: float) -> None:
        """Sets the least time between reads, in seconds: a claim wakes the reads of all daemons."""
        self._follower.least_interval = seconds

    def read_again(self, now: float) -> None:
        """Reads who coordinates what, as that may have changed while this daemon stood still."""
        self._follower.read_again(now)

    def next_due(self) -> float:
        """Returns when `on_timer` has something to do."""
        return min(self._follower.next_due(), max(self._look_at, self._next_claim))

    def _claim_due(self, group: Group) -> float:
        """Returns when this daemon claims a group, if nothing changes until then."""
        if self.is_leaving or not self._follower.is_current or self._follower.failures:
            return float("inf")
        standing = self._standing(group.name)
        if self.is_own(group.name) or any(name == group.name for name, _ in self._calls.values()):
            return float("inf")
        is_missing = standing.misses >= SUSPECT_MISSES or group.name not in self._claims
        if not is_missing or standing.missing_since == float("inf"):
            return float("inf")
        return max(
            standing.missing_since + self._patience(group), standing.claimed_at + CLAIM_SECONDS
        )

    def _patience(self, group: Group) -> float:
        """Returns for how long this daemon leaves a claim to others, another time at each."""
        part = (stable_hash(group.name, self._name) % 1000) / 1000
        far = FAR_SECONDS if group.zone not in ("", self._zone) else 0.0
        return part * CLAIM_SPREAD_SECONDS + far

    def on_timer(self, now: float) -> list[StoreCall]:
        """Reads claims, and claims what has had no coordinator for a while."""
        calls: list[StoreCall] = list(self._follower.on_timer(now))
        if now >= self._look_at:
            self._look_at = now + LOOK_SECONDS
            calls += self._look(now)
        return calls

    def _look(self, now: float) -> list[StoreCall]:
        """Claims what is due, and notes when the next claim is."""
        for call, (_, called_at) in list(self._calls.items()):
            if now >= called_at + CALL_LOST_SECONDS:
                del self._calls[call]
        calls: list[StoreCall] = []
        for group in self._groups.all():
            if group.name not in self._claims:
                self.on_wanted(now, group.name)
            if now >= self._claim_due(group):
                calls.append(self._claim(now, group.name))
        self._plan()
        return calls

    def _plan(self) -> None:
        """Works out when the next claim is due; after whatever may change that."""
        due = (self._claim_due(group) for group in self._groups.all())
        self._next_claim = min(due, default=float("inf"))

    def _claim(self, now: float, group: str) -> StoreCall:
        self._standing(group).claimed_at = now
        call = self._numbers.next()
        self._calls[call] = (group, now)
        value = cbor2.dumps([self._name, self._address.host, self._address.port])
        record = KeyedRecord(group, value)
        end = self._follower.next_offset
        return AppendRecords(call, Partition(CLAIMS_TOPIC), (record,), expected_end=end)

    def owns(self, call: int) -> bool:
        """Returns whether an answer belongs here."""
        return call in self._calls or self._follower.owns(call)

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Takes the outcome of a reading or of a claim."""
        if self._follower.owns(call):
            self._follower.on_answer(now, outcome)
            self._plan()
            return
        group, _ = self._calls.pop(call)
        if isinstance(outcome, Appended):
            self.take(Claim(group, self._name, self._address, outcome.offset))
            return
        if isinstance(outcome, EndMoved):
            self._standing(group).claimed_at = now - CLAIM_SECONDS + LOST_RACE_SECONDS
        self._plan()
        self._log("claim not taken", group=group, outcome=str(outcome)[:80])
