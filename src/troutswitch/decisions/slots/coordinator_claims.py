"""Decides which daemon coordinates a group: claims in the store, of which the newest is in force.

    (none)   -> CLAIMED   a daemon of the group's zone appended a claim at the expected end
    CLAIMED  -> SUSPECT   requests to the coordinator got no reply (`coordinator_health.py`)
    SUSPECT  -> CLAIMED   the coordinator sent a message, or another daemon's claim was read
    CLAIMED  -> CLAIMED   another daemon claimed an exclusive group whose coordinator said that the
                          store has not confirmed it for some seconds

Inputs: the claims, read from the store's topic or received with peers' heartbeats, up to some
hundred milliseconds old; the health of coordinators as this daemon sees it.

Claims of exclusive groups (quota groups) also name the process that claims, and its predecessors:
the holders of earlier claims that may still act. A claimant that knows that they have stopped
claims the group again without predecessors. `tenants/coordination.py` relies on this.

Rule: a daemon claims a group that has no coordinator, or whose coordinator is missing, after a
delay. The delay is a part of `CLAIM_SPREAD_SECONDS` that a hash of the group's and the daemon's
name determines, plus `OTHER_ZONE_SECONDS` if the group is in another zone. The claim is appended on
condition that the topic has no newer record. A daemon claims nothing while it drains, while it
cannot read the topic, or while its own claim of the group is in flight. It claims one group at most
once in `CLAIM_INTERVAL_SECONDS`. The groups that it claims at the same time are in one call.

A group whose coordinator says that it is unconfirmed is claimed after the same delay, by a daemon
whose reads of the topic have succeeded for `READS_SETTLED_SECONDS`.

Why: the store's condition lets one of several concurrent claims succeed. All daemons read the
topic, so they agree once they have read it. The delay lets one daemon claim and the others read its
claim. Until then two daemons may both act as coordinator; each grants slots by the reports that it
receives. Peers send requests to the coordinator whose claim they know, and start batch items only
with its grants. While the store is unavailable, or no coordinator replies, daemons choose engines
from their local view (`local_placement.py`).

It owns the claims that this daemon knows, and its own claims in flight. docs/SLOTS.md, "When the
other side is silent", lists the cases; `tests/proofs/test_slots.py` simulates a silent coordinator,
a dead one, and two at the same time.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import cbor2
import msgspec

from troutswitch.cbor_values import MalformedCbor, decode_cbor
from troutswitch.common import Address, Ipv4Host, Port, stable_hash
from troutswitch.daemons.identity import DaemonIdentity
from troutswitch.daemons.messages import ClaimHolder, KnownClaim
from troutswitch.decisions.slots.coordinator_health import NEVER, CoordinatorHealth
from troutswitch.decisions.slots.groups import EngineGroups, Group
from troutswitch.decisions.storage.follower import PartitionFollower
from troutswitch.decisions.storage.messages import (
    Appended,
    AppendRecords,
    EndMoved,
    KeyedRecord,
    Partition,
    StoreCall,
    StoreOutcome,
)
from troutswitch.decisions.storage.read_attempts import CallNumbers
from troutswitch.decoding import raises_only

CLAIMS_TOPIC = "coordinators"
READ_WAIT_SECONDS = 3.0
"""Time for which the store holds a read open for a new claim. A lost answer is noticed after it."""
READ_INTERVAL_SECONDS = 0.05
"""Minimum interval between reads."""
CLAIM_SPREAD_SECONDS = 0.3
"""Maximum of the part of the claim delay that differs between daemons."""
OTHER_ZONE_SECONDS = 1.0
"""Additional claim delay of daemons in other zones."""
CHECK_SECONDS = 0.05
"""Interval between checks for groups that need a coordinator."""
CLAIM_INTERVAL_SECONDS = 1.0
"""Minimum interval between claims of one group by one daemon."""
CONFLICT_RETRY_SECONDS = 0.1
"""Time after which a claim is retried if another record was appended before it."""
EXCLUSIVE_READ_WAIT_SECONDS = 1.0
"""The same wait for a daemon that holds an exclusive group: it must know soon that no newer claim
exists."""
MAX_PREDECESSORS = 8
"""Maximum number of predecessors in a claim, which then fits into a datagram."""
UNKNOWN_PREDECESSOR = ClaimHolder("", Address("", 0))
"""Stands for the predecessors beyond the maximum; it never confirms that it stopped."""
READS_SETTLED_SECONDS = 4.0
"""Time for which a daemon's reads must have succeeded before it succeeds an unconfirmed
coordinator. After an outage of the whole store, the coordinator's own reads succeed again within
it: the longest timeout of a read and the longest pause after a failure, 3 s and 1 s."""
CALL_TIMEOUT_SECONDS = 4.0
"""Time after which an unanswered claim is abandoned."""
MAX_CLAIMS_PER_CALL = 64
"""Maximum number of groups that are claimed with one call, and between two checks. Of several calls
at the same end one succeeds, so a call for each group would repeat most of them."""
MAX_GROUP_BYTES = 255
"""Longest name of a group that is claimed: the store holds no longer key."""


@dataclass(frozen=True, slots=True)
class Claim:
    """A daemon's claim of a group. The claim with the highest `offset` is in force."""

    group: str
    daemon: str
    address: Address
    offset: int
    incarnation: int = 0
    predecessors: tuple[ClaimHolder, ...] = ()


@dataclass(frozen=True, slots=True)
class _OwnClaim:
    """A claim of this daemon that the store has not answered yet, as one record of a call."""

    group: str
    sent_at: float
    incarnation: int
    predecessors: tuple[ClaimHolder, ...]


class CoordinatorClaims:
    """Tracks claims, and claims groups that have no coordinator."""

    def __init__(
        self,
        identity: DaemonIdentity,
        groups: EngineGroups,
        numbers: CallNumbers,
        rng: random.Random,
        log: Callable[..., None],
        exclusive_groups: tuple[Group, ...] = (),
    ) -> None:
        self.is_draining = False
        """Whether this daemon is draining; it then coordinates and claims no group."""
        self.changes = 0
        """Number of changes of coordinators; reports are computed again when it changes."""
        self._identity = identity
        self._groups = groups
        self._exclusive = {group.name: group for group in exclusive_groups}
        self._settled: set[str] = set()
        """Own exclusive groups whose predecessors are known to have stopped."""
        self._numbers = numbers
        self._log = log
        self._claims: dict[str, Claim] = {}
        self._health = CoordinatorHealth()
        self._own_claims: dict[int, tuple[_OwnClaim, ...]] = {}
        """Own claims in flight, by the number of the call to the store."""
        self._claiming: set[str] = set()
        """The groups of these claims."""
        self._claimed_at: dict[str, float] = {}
        self._check_at = float("-inf")
        self._next_claim = NEVER
        self._is_next_claim_known = True
        self._reading_since = NEVER
        """Since when reads of the topic have succeeded; infinite while they fail."""
        self._follower = PartitionFollower(
            Partition(CLAIMS_TOPIC),
            numbers,
            rng,
            self._on_record,
            READ_WAIT_SECONDS,
            READ_INTERVAL_SECONDS,
        )

    # Known claims.

    def claim_of(self, group: str) -> Claim | None:
        """Returns the newest known claim of a group."""
        return self._claims.get(group)

    def is_own(self, group: str) -> bool:
        """Returns whether this daemon coordinates a group, by the newest known claim.

        An exclusive group must have been claimed by this process.
        """
        claim = self._claims.get(group)
        if claim is None or claim.daemon != self._identity.name or self.is_draining:
            return False
        return group not in self._exclusive or claim.incarnation == self._identity.incarnation

    @property
    def proven_at(self) -> float:
        """A time at which the store had no newer claim than those known here."""
        return self._follower.current_at

    def settle(self, group: str) -> None:
        """Claims an exclusive group again without predecessors, as they have stopped."""
        self._settled.add(group)
        self._schedule_next_claim()

    def _all_groups(self) -> list[Group]:
        return [*self._groups.all(), *self._exclusive.values()]

    def coordinator(self, now: float, group: str) -> Claim | None:
        """Returns the claim of a group's coordinator, or None if it is unknown or suspected."""
        claim = self._claims.get(group)
        if claim is None or self._health.is_suspected(now, group):
            return None
        return claim

    def known_claims(self) -> tuple[KnownClaim, ...]:
        """Returns the known claims of present groups, as they are sent to peers."""
        known = [self._claims.get(group.name) for group in self._all_groups()]
        return tuple(known_claim(claim) for claim in known if claim is not None)

    def add_claims(self, claims: Iterable[KnownClaim]) -> None:
        """Adds claims received from a peer, which may be newer than those read from the store."""
        for known in claims:
            self.add_claim(claim_from(known))

    def _on_record(self, record: KeyedRecord) -> None:
        try:
            claim = decode_claim(record)
        except MalformedCbor as error:
            self._log("claim malformed", group=record.key, reason=str(error))
            return
        self.add_claim(claim)

    def add_claim(self, claim: Claim) -> None:
        """Adds a claim, unless a newer one of its group is known."""
        known = self._claims.get(claim.group)
        if known is not None and known.offset >= claim.offset:
            return
        self._claims[claim.group] = claim
        self.changes += 1
        self._health.on_new_coordinator(claim.group)
        self._claimed_at.pop(claim.group, None)
        self._log(
            "coordinator known", group=claim.group, coordinator=claim.daemon, offset=claim.offset
        )

    # Health of coordinators.

    def on_activity(self, group: str, daemon: str) -> None:
        """Handles a message that a daemon sent as the coordinator of a group."""
        claim = self._claims.get(group)
        if claim is not None and claim.daemon == daemon:
            self._health.on_activity(group)

    def on_unconfirmed(self, now: float, group: str, daemon: str) -> None:
        """Handles a message whose sender coordinates a group and has long not read the store."""
        claim = self._claims.get(group)
        if claim is None or claim.daemon != daemon:
            return
        self._health.on_unconfirmed(now, group)
        self._schedule_next_claim()

    def on_reply_timeout(self, now: float, group: str) -> None:
        """Handles a request to the coordinator of a group that got no reply in time."""
        self._on_missing_coordinator(group, self._health.on_reply_timeout(now, group))

    def on_not_coordinator(self, now: float, group: str) -> None:
        """Handles a reply in which a daemon denies that it coordinates the group."""
        self._on_missing_coordinator(group, self._health.on_not_coordinator(now, group))

    def _on_missing_coordinator(self, group: str, is_new: bool) -> None:
        self._schedule_next_claim()
        if is_new:
            claim = self._claims.get(group)
            coordinator = claim.daemon if claim is not None else ""
            self._log("coordinator suspected", group=group, coordinator=coordinator)

    def on_coordinator_needed(self, now: float, group: str) -> None:
        """Handles the need for a coordinator in a group without a known usable one."""
        if self._health.on_coordinator_needed(now, group):
            self._schedule_next_claim()

    # Claiming.

    def _claim_due(self, group: Group) -> float:
        """Returns when this daemon claims a group if nothing changes until then."""
        if not self._may_claim(group.name):
            return NEVER
        has_coordinator = group.name in self._claims and not self._health.is_missing(group.name)
        if has_coordinator:
            needed_since = self._succession_since(group.name)
        else:
            needed_since = self._health.missing_since(group.name)
        if needed_since == NEVER:
            return NEVER
        claimed_at = self._claimed_at.get(group.name, float("-inf"))
        return max(needed_since + self._claim_delay(group), claimed_at + CLAIM_INTERVAL_SECONDS)

    def _succession_since(self, group: str) -> float:
        """Returns since when a group needs a successor for its unconfirmed coordinator."""
        unconfirmed_since = self._health.unconfirmed_since(group)
        return max(unconfirmed_since, self._reading_since + READS_SETTLED_SECONDS)

    def _note_reads(self, now: float) -> None:
        """Notes since when reads of the topic have succeeded."""
        if not self._follower.is_following or self._follower.attempts.failures:
            self._reading_since = NEVER
        else:
            self._reading_since = min(self._reading_since, now)

    def _may_claim(self, group: str) -> bool:
        if self.is_draining or not self._follower.is_following or self._follower.attempts.failures:
            return False
        if group in self._claiming or len(group.encode()) > MAX_GROUP_BYTES:
            return False
        return not self.is_own(group)

    def _claim_delay(self, group: Group) -> float:
        """Returns the delay before this daemon claims a group; it differs between daemons."""
        spread = (stable_hash(group.name, self._identity.name) % 1000) / 1000
        is_same_zone = group.zone in ("", self._identity.zone)
        return spread * CLAIM_SPREAD_SECONDS + (0.0 if is_same_zone else OTHER_ZONE_SECONDS)

    def _schedule_next_claim(self) -> None:
        """Has the next claim's time computed again; called after each change that may affect it."""
        self._is_next_claim_known = False

    def _next_claim_due(self) -> float:
        """Returns when the next claim is due."""
        if not self._is_next_claim_known:
            due = [self._claim_due(group) for group in self._all_groups()]
            due += [self._settle_due(group) for group in self._settled]
            self._next_claim = min(due, default=NEVER)
            self._is_next_claim_known = True
        return self._next_claim

    def _settle_due(self, group: str) -> float:
        """Returns when a group whose predecessors have stopped is claimed again."""
        claim = self._claims.get(group)
        if claim is None or not claim.predecessors or not self.is_own(group):
            return NEVER
        if group in self._claiming:
            return NEVER
        return self._claimed_at.get(group, float("-inf")) + CLAIM_INTERVAL_SECONDS

    def _check(self, now: float) -> list[StoreCall]:
        """Claims the groups whose claim is due."""
        self._abandon_unanswered(now)
        self._health.forget_old_statements(now)
        claims: list[_OwnClaim] = []
        for group in self._all_groups():
            if group.name not in self._claims:
                self.on_coordinator_needed(now, group.name)
            if now >= self._claim_due(group) and len(claims) < MAX_CLAIMS_PER_CALL:
                self._log_reason(now, group.name)
                claims.append(self._own_claim(now, group.name, self._predecessors_of(group.name)))
        for name in sorted(self._settled):
            if now >= self._settle_due(name) and len(claims) < MAX_CLAIMS_PER_CALL:
                claims.append(self._own_claim(now, name, ()))
        self._settled = {name for name in self._settled if self.is_own(name)}
        self._schedule_next_claim()
        return [self._claim(claims)] if claims else []

    def _abandon_unanswered(self, now: float) -> None:
        for call, claims in list(self._own_claims.items()):
            if now >= claims[0].sent_at + CALL_TIMEOUT_SECONDS:
                self._end_call(call)

    def _end_call(self, call: int) -> tuple[_OwnClaim, ...]:
        claims = self._own_claims.pop(call)
        self._claiming.difference_update(claim.group for claim in claims)
        return claims

    def _predecessors_of(self, group: str) -> tuple[ClaimHolder, ...]:
        """Returns the holders of earlier claims of an exclusive group that may still act."""
        claim = self._claims.get(group)
        if claim is None or group not in self._exclusive:
            return ()
        holder = ClaimHolder(claim.daemon, claim.address)
        earlier = tuple(other for other in claim.predecessors if other != holder)
        if len(earlier) >= MAX_PREDECESSORS:
            earlier = (UNKNOWN_PREDECESSOR, *earlier[-MAX_PREDECESSORS + 2 :])
        return (*earlier, holder)

    def _log_reason(self, now: float, group: str) -> None:
        """Logs a claim that succeeds a coordinator which replies, but is unconfirmed."""
        claim = self._claims.get(group)
        since = self._health.unconfirmed_since(group)
        if claim is not None and since != NEVER:
            age = round((now - since) * 1000)
            self._log(
                "claim of an unconfirmed coordinator's group",
                group=group,
                coordinator=claim.daemon,
                unconfirmed_ms=age,
            )

    def _own_claim(
        self, now: float, group: str, predecessors: tuple[ClaimHolder, ...]
    ) -> _OwnClaim:
        self._claimed_at[group] = now
        self._claiming.add(group)
        incarnation = self._identity.incarnation if group in self._exclusive else 0
        return _OwnClaim(group, now, incarnation, predecessors)

    def _claim(self, claims: list[_OwnClaim]) -> StoreCall:
        call = self._numbers.next()
        self._own_claims[call] = tuple(claims)
        records = tuple(KeyedRecord(claim.group, self._encode(claim)) for claim in claims)
        end = self._follower.next_offset
        return AppendRecords(call, Partition(CLAIMS_TOPIC), records, expected_end=end)

    def _encode(self, claim: _OwnClaim) -> bytes:
        address = self._identity.address
        fields: list[object] = [self._identity.name, address.host, address.port]
        if claim.group in self._exclusive:
            earlier = [[p.daemon, p.address.host, p.address.port] for p in claim.predecessors]
            fields += [claim.incarnation, earlier]
        return cbor2.dumps(fields)

    # The store.

    def set_min_read_interval(self, seconds: float) -> None:
        """Sets the minimum interval between reads.

        A single claim ends the pending reads of all daemons, so the interval limits the load on the
        store.
        """
        self._follower.min_interval = seconds

    def read_again(self, now: float) -> None:
        """Reads the claims immediately; they may have changed while this process was suspended."""
        self._follower.read_again(now)

    def owns(self, call: int) -> bool:
        """Returns whether a call to the store was made by this object."""
        return call in self._own_claims or self._follower.owns(call)

    def on_answer(self, now: float, call: int, outcome: StoreOutcome) -> None:
        """Handles the outcome of a read or of a claim."""
        if self._follower.owns(call):
            self._follower.on_answer(now, call, outcome)
            self._note_reads(now)
            self._schedule_next_claim()
            return
        for position, own in enumerate(self._end_call(call)):
            self._on_claim_answered(now, own, position, outcome)
        self._schedule_next_claim()

    def _on_claim_answered(
        self, now: float, own: _OwnClaim, position: int, outcome: StoreOutcome
    ) -> None:
        """Handles the outcome of a claim that is the record at a position of its call."""
        group = own.group
        if isinstance(outcome, Appended):
            self.add_claim(
                Claim(
                    group,
                    self._identity.name,
                    self._identity.address,
                    outcome.offset + position,
                    own.incarnation,
                    own.predecessors,
                )
            )
            return
        if isinstance(outcome, EndMoved):
            self._claimed_at[group] = now - CLAIM_INTERVAL_SECONDS + CONFLICT_RETRY_SECONDS
        self._log("claim not taken", group=group, outcome=str(outcome)[:80])

    # Timers.

    def next_due(self) -> float:
        """Returns when `on_timer` is due next, in seconds of this process's clock."""
        return min(self._follower.next_due(), max(self._check_at, self._next_claim_due()))

    def on_timer(self, now: float) -> list[StoreCall]:
        """Reads claims, and claims groups that have had no coordinator for long enough."""
        holds_exclusive = any(self.is_own(name) for name in self._exclusive)
        self._follower.wait = EXCLUSIVE_READ_WAIT_SECONDS if holds_exclusive else READ_WAIT_SECONDS
        calls: list[StoreCall] = list(self._follower.on_timer(now))
        self._note_reads(now)
        if now >= self._check_at:
            self._check_at = now + CHECK_SECONDS
            calls += self._check(now)
        return calls


def claim_from(known: KnownClaim) -> Claim:
    """Returns a claim that was received from a peer."""
    return Claim(
        known.group,
        known.daemon,
        known.address,
        known.offset,
        known.incarnation,
        known.predecessors,
    )


def known_claim(claim: Claim) -> KnownClaim:
    """Returns a claim as it is sent to peers."""
    return KnownClaim(
        claim.group,
        claim.daemon,
        claim.address,
        claim.offset,
        claim.incarnation,
        claim.predecessors,
    )


class _ClaimFields(msgspec.Struct, frozen=True, array_like=True):
    daemon: str
    host: Ipv4Host
    port: Port
    incarnation: int = 0
    predecessors: tuple[tuple[str, Ipv4Host, Port], ...] = ()


@raises_only(MalformedCbor)
def decode_claim(record: KeyedRecord) -> Claim:
    """Decodes a claim's record: daemon, host and port; incarnation and predecessors if exclusive.

    Raises:
        MalformedCbor: the record is malformed.
    """
    fields = decode_cbor(record.value, _ClaimFields)
    address = Address(fields.host, fields.port)
    predecessors = tuple(
        ClaimHolder(name, Address(host, port)) for name, host, port in fields.predecessors
    )
    return Claim(
        record.key, fields.daemon, address, record.offset, fields.incarnation, predecessors
    )
