"""Decides whether batch items wait for a coordinator's grants or start from the local slot counts.

Inputs: when each group's coordinator last sent a message, and when items last needed slots there,
in seconds of this process's clock; the coordinator's newest digest, at most `DIGEST_FRESH_SECONDS`
old.

Rule: items start at a group's engines only with a grant of the coordinator. If the coordinator has
sent nothing for `UNCOORDINATED_SECONDS`, items start from the local counts instead. The silence
counts only while items need slots there, because a coordinator has nothing to send to a daemon
without work.

Why: using both ways at the same time would fill slots twice. But items must not stop for as long as
nobody coordinates, for example while the store can't be written. If another daemon can take the
group over, it does so earlier than that (`coordinator_claims.py`).

docs/SLOTS.md, "When the other side is silent", lists the cases;
`tests/decisions/slots/test_batch_coordination.py` tests them.
"""

from dataclasses import dataclass

from troutswitch.daemons.messages import GroupDigest
from troutswitch.decisions.slots.coordinator import SlotCoordinator
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.messages import FleetShare, OwnItems

DIGEST_FRESH_SECONDS = 2.0
"""Maximum age of a digest that is used: four intervals between digests."""
UNCOORDINATED_SECONDS = 1.0
"""Time without a message from a group's coordinator after which batch items start from the local
slot counts. Another daemon takes the group over earlier, if it can."""


@dataclass(frozen=True, slots=True)
class _ReceivedDigest:
    """A digest and the time at which it was received."""

    received_at: float
    digest: GroupDigest


class BatchCoordination:
    """Tracks coordinators' messages that concern this daemon's batch items."""

    def __init__(
        self,
        groups: EngineGroups,
        coordinator: SlotCoordinator,
        ledger: SlotLedger,
        own_items: OwnItems,
    ) -> None:
        self._groups = groups
        self._coordinator = coordinator
        self._ledger = ledger
        self._own_items = own_items
        self._digests: dict[str, _ReceivedDigest] = {}
        self._active_at: dict[str, float] = {}
        """When each group's coordinator last sent a message, or last had nothing to send."""
        self._needed_at: dict[str, float] = {}
        """When items last needed slots of each group."""

    def on_activity(self, now: float, group: str) -> None:
        """Handles a message from the coordinator of a group."""
        self._active_at[group] = now

    def on_digest(self, now: float, digest: GroupDigest) -> None:
        """Handles a digest from the coordinator of a group."""
        self.on_activity(now, digest.group)
        self._digests[digest.group] = _ReceivedDigest(now, digest)

    def is_coordinated(self, now: float, engine_id: str) -> bool:
        """Returns whether items at an engine may start only with a coordinator's grant."""
        group = self._groups.of_engine(engine_id)
        if group is None:
            return False
        if self._coordinator.coordinates(group.name):
            return True
        needed_at = self._needed_at.get(group.name, float("-inf"))
        self._needed_at[group.name] = now
        if now - needed_at > UNCOORDINATED_SECONDS:
            self._active_at[group.name] = now  # the coordinator had nothing to send
        return now - self._active_at[group.name] <= UNCOORDINATED_SECONDS

    def share(self, now: float) -> FleetShare:
        """Returns the free slots and unfinished items of all daemons, from the newest digests."""
        free_slots = 0.0
        other_items = self._ledger.open_items() if self._coordinator.coordinated else 0
        for group in self._groups.all():
            digest = self._fresh_digest(now, group.name)
            if digest is None:
                free_slots += self._coordinator.mean_free_slots(now, group.name)
            else:
                free_slots += digest.free_slots_hundredths / 100
                other_items = max(other_items, digest.open_items - self._own_items.open_items)
        return FleetShare(free_slots, other_items)

    def _fresh_digest(self, now: float, group: str) -> GroupDigest | None:
        """Returns the newest digest of a group that a peer coordinates; None if it is too old."""
        received = self._digests.get(group)
        if received is None or self._coordinator.coordinates(group):
            return None
        is_fresh = now - received.received_at <= DIGEST_FRESH_SECONDS
        return received.digest if is_fresh else None
