"""Decides whether batch items wait for a coordinator's grants, or start from the local view.

Inputs: when each group's coordinator last sent a message, and when items last needed slots there,
in seconds of this process's clock; the coordinator's newest digest, at most
`DIGEST_FRESH_SECONDS` old.

Rule: items at a group's engines start only by its coordinator's grants, until it has sent nothing
for `UNCOORDINATED_SECONDS`; then they start from the local counts. The silence counts only while
items need slots there, since a coordinator has nothing to send to a daemon without work.

Why: both ways at once would fill slots twice; but items must not stop for as long as nobody
coordinates, for example while the store can't be written. Another daemon takes the group over
sooner than that if it can (`coordinator_claims.py`).

docs/SLOTS.md, "When the other side is silent", has the cases; `tests/decisions/slots/test_fleet.py`
holds them.
"""

from dataclasses import dataclass

from troutswitch.daemons.messages import GroupDigest
from troutswitch.decisions.slots.coordinator import SlotCoordinator
from troutswitch.decisions.slots.groups import EngineGroups
from troutswitch.decisions.slots.ledger import SlotLedger
from troutswitch.decisions.slots.messages import FleetShare, OwnItems

DIGEST_FRESH_SECONDS = 2.0
"""Age up to which a digest is used: four intervals between digests."""
UNCOORDINATED_SECONDS = 1.0
"""Seconds without a message from a group's coordinator after which batch items are started from
the local slot counts. Another daemon takes the group over sooner."""


@dataclass(frozen=True, slots=True)
class _ReceivedDigest:
    """A digest, and when it was received."""

    received_at: float
    digest: GroupDigest


class BatchCoordination:
    """What coordinators' messages mean for this daemon's batch items."""

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
        """When each group's coordinator sent a message, or last had nothing to send."""
        self._needed_at: dict[str, float] = {}
        """When items last needed slots of each group."""

    def on_activity(self, now: float, group: str) -> None:
        """The coordinator of a group sent a message."""
        self._active_at[group] = now

    def on_digest(self, now: float, digest: GroupDigest) -> None:
        """The coordinator of a group sent a digest."""
        self.on_activity(now, digest.group)
        self._digests[digest.group] = _ReceivedDigest(now, digest)

    def is_coordinated(self, now: float, engine_id: str) -> bool:
        """Returns whether items at an engine may start only by its coordinator's grants."""
        group = self._groups.of_engine(engine_id)
        if group is None:
            return False
        if self._coordinator.coordinates(group.name):
            return True
        needed_at = self._needed_at.get(group.name, float("-inf"))
        self._needed_at[group.name] = now
        if now - needed_at > UNCOORDINATED_SECONDS:
            self._active_at[group.name] = now  # no slots were needed, so it had nothing to send
        return now - self._active_at[group.name] <= UNCOORDINATED_SECONDS

    def share(self, now: float) -> FleetShare:
        """Returns the free slots and the items of all daemons, from the newest digests."""
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
        """Returns the newest digest of a group that another daemon coordinates, if it is fresh."""
        received = self._digests.get(group)
        if received is None or self._coordinator.coordinates(group):
            return None
        is_fresh = now - received.received_at <= DIGEST_FRESH_SECONDS
        return received.digest if is_fresh else None
