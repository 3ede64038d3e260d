"""Rule: the items of which tenant get the next free slot of a paced service?

Inputs: the tenants that have items waiting at any daemon, by their newest reports (up to 0.5 s old)
less the slots granted since; which of them have items that can use the engine with the free slot.

Rule: deficit round robin. Tenants take turns in the order in which they began to wait. A turn is
worth one slot. A tenant whose items can't use the engine keeps the slot as a deficit for a later
turn, at most `MAX_DEFICIT_SLOTS`. A tenant without waiting items loses its turn and its deficit.

Why: with slots drawn by the number of items, the tenant that submits most items gets most slots,
and an item behind its backlog waits for all of it. Slots are counted and not their duration,
because the duration of an item is known only when it has ended.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

MAX_DEFICIT_SLOTS = 8
"""Maximum number of slots that a tenant makes up for: the slots of one engine. More would keep
other tenants waiting for the time of several items."""


@dataclass(frozen=True, slots=True)
class TenantShare:
    """Slots that a tenant got since it began to wait, of all slots assigned meanwhile."""

    tenant: str
    tenants_waiting: int
    slots: int
    slots_of_all: int


@dataclass(slots=True)
class _Turn:
    """A waiting tenant. `assigned_before` counts the slots of all tenants before it waited."""

    assigned_before: int
    deficit: int = 0
    slots: int = 0


class TenantTurns:
    """The waiting tenants in the order of their turns."""

    def __init__(self) -> None:
        self._turns: dict[str, _Turn] = {}
        self._assigned = 0

    def update(self, waiting: Iterable[str]) -> None:
        """Sets which tenants have waiting items."""
        tenants = set(waiting)
        for tenant in [tenant for tenant in self._turns if tenant not in tenants]:
            del self._turns[tenant]
        for tenant in sorted(tenants - self._turns.keys()):
            self._turns[tenant] = _Turn(self._assigned)

    def take(self, can_use: Callable[[str], bool]) -> str | None:
        """Returns the tenant that gets a slot, and counts the slot; None if none can use it."""
        if not any(can_use(tenant) for tenant in self._turns):
            return None
        while True:
            tenant, turn = next(iter(self._turns.items()))
            if can_use(tenant):
                break
            turn.deficit = min(turn.deficit + 1, MAX_DEFICIT_SLOTS)
            self._move_last(tenant)
        turn.deficit = max(turn.deficit, 1) - 1
        if not turn.deficit:
            self._move_last(tenant)
        turn.slots += 1
        self._assigned += 1
        return tenant

    def _move_last(self, tenant: str) -> None:
        self._turns[tenant] = self._turns.pop(tenant)

    def slots_of(self, tenant: str) -> int:
        """Returns the number of slots that a tenant got since it began to wait."""
        return self._turns[tenant].slots

    def share(self, tenant: str) -> TenantShare:
        """Returns the share of a tenant that waits."""
        turn = self._turns[tenant]
        meanwhile = self._assigned - turn.assigned_before
        return TenantShare(tenant, len(self._turns), turn.slots, meanwhile)
