"""State machine of a coordinator and holders that start, die and pause, over an unreliable network.

Messages are lost, duplicated and late. The requests and items that the holders actually have at
engines are compared with the coordinator's counts, which follow from reports and from its own
grants. While grants arrive before they expire, the count of batch items is never too low, so the
coordinator never grants a slot that is not free. After messages were lost, the counts are correct
again once the holders have refreshed their reports, and the slots of a dead holder are free after
its silence.

The same holds for a paced service whose items belong to tenants.
"""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.decisions.slots.harness import SlotsDaemon, incarnation_of, record
from troutswitch.common import Address
from troutswitch.daemons.messages import HoldingsReport, PeerMessage
from troutswitch.decisions.slots import ledger
from troutswitch.decisions.slots.coordinator import GRACE_SECONDS
from troutswitch.decisions.slots.group_search import MAX_GROUPS_TRIED
from troutswitch.decisions.slots.ledger import CHECK_SECONDS, GRANT_EXPIRY_SECONDS, SILENT_SECONDS
from troutswitch.decisions.slots.reports import REFRESH_SECONDS
from troutswitch.decisions.slots.slot_requests import REPLY_TIMEOUT_SECONDS

ENGINES = 2
SLOTS = 3
HOLDERS = ("h1", "h2", "h3")
SETTLE_SECONDS = SILENT_SECONDS + GRANT_EXPIRY_SECONDS + REFRESH_SECONDS + 2 * CHECK_SECONDS
MAX_SEARCH_SECONDS = (MAX_GROUPS_TRIED + 1) * REPLY_TIMEOUT_SECONDS
"""Maximum time for which a request may wait for its slot."""
INDEXES = st.integers(0, 10_000)


class SlotsMachine(RuleBasedStateMachine):
    """One coordinator and three holders. Messages stay in transit until a rule removes them."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1.0
        self.in_transit: list[tuple[Address, PeerMessage]] = []
        self.daemons: dict[str, SlotsDaemon] = {}
        self.requested_at: dict[int, float] = {}
        self.tokens = 0
        self.incarnations = 0
        self.has_loss = False

    @initialize()
    def start(self) -> None:
        records = [record(f"s{n}", slots=SLOTS) for n in range(ENGINES)]
        self.daemons = {name: SlotsDaemon(name, records) for name in ("c", *HOLDERS)}
        coordinator = self.daemons["c"]
        coordinator.coordinate(self.now, *(self.daemons[name] for name in HOLDERS))
        self.now += GRACE_SECONDS
        for daemon in self.daemons.values():
            self.prepare(daemon)
        self.collect_messages()

    def prepare(self, daemon: SlotsDaemon) -> None:
        """Prepares a daemon that has just started."""

    def collect_messages(self) -> None:
        for daemon in self.daemons.values():
            for sent in daemon.outbox:
                self.in_transit += [(address, sent.message) for address in sent.addresses]
            daemon.outbox = []

    def holder(self, index: int) -> SlotsDaemon:
        return self.daemons[HOLDERS[index % len(HOLDERS)]]

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for daemon in self.daemons.values():
            daemon.tick(self.now)
            for token, _ in daemon.placements:
                self.requested_at.pop(token, None)
        self.collect_messages()

    # Requests and items.

    @rule(index=INDEXES)
    def request_slot(self, index: int) -> None:
        self.tokens += 1
        self.requested_at[self.tokens] = self.now
        self.holder(index).request_slot(self.now, self.tokens)
        self.collect_messages()

    @rule(index=INDEXES)
    def end_request(self, index: int) -> None:
        holder = self.holder(index)
        if holder.online:
            holder.end_request(self.now, next(iter(holder.online)))

    @rule(index=INDEXES, items=st.integers(1, 6))
    def add_items(self, index: int, items: int) -> None:
        self.holder(index).waiting += items

    @rule(index=INDEXES)
    def finish_item(self, index: int) -> None:
        holder = self.holder(index)
        if holder.items:
            holder.end_item(self.now, holder.items[0])

    # Messages.

    @precondition(lambda self: self.in_transit)
    @rule(index=INDEXES)
    def deliver(self, index: int) -> None:
        address, message = self.in_transit.pop(index % len(self.in_transit))
        for daemon in self.daemons.values():
            if daemon.address == address:
                daemon.receive(self.now, message)
        self.collect_messages()

    @precondition(lambda self: self.in_transit)
    @rule(index=INDEXES)
    def duplicate(self, index: int) -> None:
        self.in_transit.append(self.in_transit[index % len(self.in_transit)])

    @precondition(lambda self: self.in_transit)
    @rule(index=INDEXES)
    def drop(self, index: int) -> None:
        _, message = self.in_transit.pop(index % len(self.in_transit))
        self.has_loss = self.has_loss or isinstance(message, HoldingsReport)

    @rule(seconds=st.floats(0.001, 0.05))
    def wait(self, seconds: float) -> None:
        self.pass_time(seconds)

    @rule()
    def wait_long(self) -> None:
        """Lets grants in transit expire before they are received."""
        self.has_loss = True
        self.pass_time(GRANT_EXPIRY_SECONDS)

    @rule(index=INDEXES)
    def restart(self, index: int) -> None:
        """Ends a holder with all its requests and items, and starts a new incarnation of it."""
        name = HOLDERS[index % len(HOLDERS)]
        records = [engine.record for engine in self.daemons[name].engines.engines.values()]
        claims = self.daemons["c"].fleet.claims.known_claims()
        self.incarnations += 1
        incarnation = incarnation_of(name) + 1000 * self.incarnations
        restarted = SlotsDaemon(name, records, incarnation=incarnation)
        restarted.fleet.claims.add_claims(claims)
        self.prepare(restarted)
        self.daemons[name] = restarted
        restarted.tick(self.now)
        for token in [t for t in self.requested_at if t not in self.open_tokens()]:
            del self.requested_at[token]

    def open_tokens(self) -> set[int]:
        return {token for d in self.daemons.values() for token in d.fleet.requests._open}

    # Invariants.

    def actual_batch(self, engine_id: str) -> int:
        return sum(daemon.items.count(engine_id) for daemon in self.daemons.values())

    @invariant()
    def no_slot_is_granted_that_is_not_free(self) -> None:
        """Items never exceed an engine's slots unless a grant is received after it expired."""
        if self.has_loss:
            return
        for number in range(ENGINES):
            assert self.actual_batch(f"s{number}") <= SLOTS

    @invariant()
    def items_are_bounded_even_if_reports_are_lost(self) -> None:
        """The slots of each silent holder are granted at most once more."""
        for number in range(ENGINES):
            assert self.actual_batch(f"s{number}") <= SLOTS * (1 + len(HOLDERS))

    @invariant()
    def no_request_waits_longer_than_the_maximum(self) -> None:
        for token, requested in self.requested_at.items():
            if token in self.open_tokens():
                assert self.now - requested <= MAX_SEARCH_SECONDS + GRANT_EXPIRY_SECONDS

    @rule()
    def settle(self) -> None:
        """After a time without loss the counts are exact, and dead holders are not counted."""
        steps = round(SETTLE_SECONDS / 0.05)
        for _ in range(steps):
            while self.in_transit:
                self.deliver(0)
            self.pass_time(0.05)
        while self.in_transit:
            self.deliver(0)
        self.has_loss = False  # the excess grants have been retracted
        coordinator = self.daemons["c"]
        for number in range(ENGINES):
            engine = coordinator.engine(f"s{number}")
            online = sum(list(d.online.values()).count(f"s{number}") for d in self.daemons.values())
            assert engine.batch_count() == self.actual_batch(f"s{number}")
            assert engine.online_count() == online


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
"""Shrinking is omitted, as it takes minutes here; the failing steps are printed unshrunk."""
SlotsMachine.TestCase.settings = SETTINGS
TestSlots = SlotsMachine.TestCase


class TenantSlotsMachine(SlotsMachine):
    """Items of tenants in a paced service: reports name tenants, and grants are for their items."""

    def prepare(self, daemon: SlotsDaemon) -> None:
        daemon.make_paced(self.now)
        daemon.fleet.queueing.on_message("c", incarnation_of("c"), queues=True)

    @rule(index=INDEXES, tenant=st.sampled_from(("", "large", "small")), items=st.integers(1, 6))
    def add_tenant_items(self, index: int, tenant: str, items: int) -> None:
        self.holder(index).add_items(tenant, items)

    @invariant()
    def a_daemon_starts_no_more_items_than_it_has(self) -> None:
        """Guards against grants that are counted twice, for a tenant and for its daemon."""
        for daemon in self.daemons.values():
            assert daemon.waiting >= 0
            assert all(count >= 0 for count in daemon.waiting_tenants.values())


TenantSlotsMachine.TestCase.settings = SETTINGS
TestTenantSlots = TenantSlotsMachine.TestCase


def test_the_slots_of_dead_holders_stay_counted_without_timeouts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ledger, "SILENT_SECONDS", 1e9)
    monkeypatch.setattr(ledger, "GRANT_EXPIRY_SECONDS", 1e9)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(SlotsMachine, settings=settings(SETTINGS, max_examples=1000))
