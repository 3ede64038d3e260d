"""The coordinator's counts follow from reports and from its own grants."""

from msgspec.structs import replace

from tests.decisions.slots.harness import record, report
from troutswitch.daemons.messages import EngineShare, engine_key
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.slots.ledger import GRANT_EXPIRY_SECONDS, SILENT_SECONDS, SlotLedger

INCARNATION = 77
A = engine_key("a")
ONE_ITEM = EngineShare(A, 0, 1, 0)


def ledger() -> tuple[SlotLedger, EngineRegistry]:
    engines = EngineRegistry()
    engines.on_list(0.0, [record("a"), record("b")])
    return SlotLedger(engines, INCARNATION), engines


def peers_batch(engines: EngineRegistry, name: str = "a") -> int:
    return engines.engines[name].peers_batch


def test_a_newer_report_replaces_the_older_one() -> None:
    slots, engines = ledger()
    assert slots.on_report(0.0, report(sequence=1, a=3))
    assert slots.on_report(0.1, report(sequence=2, b=2))
    assert (peers_batch(engines), peers_batch(engines, "b")) == (0, 2)


def test_a_report_received_out_of_order_has_no_effect() -> None:
    slots, engines = ledger()
    slots.on_report(0.0, report(sequence=2, a=3))
    assert not slots.on_report(0.1, report(sequence=1, a=9))
    assert peers_batch(engines) == 3


def test_a_new_incarnation_restarts_its_sequence_and_has_no_grants() -> None:
    slots, engines = ledger()
    slots.on_report(0.0, report(sequence=50, a=3))
    slots.grant(0.0, "peer", ONE_ITEM)
    slots.on_report(0.1, report(sequence=1, incarnation=2, a=1))
    assert peers_batch(engines) == 1


def test_a_grant_is_counted_when_it_is_sent() -> None:
    slots, engines = ledger()
    slots.on_report(0.0, report(sequence=1, a=1))
    slots.grant(0.0, "peer", ONE_ITEM)
    assert peers_batch(engines) == 2
    slots.grant(0.0, "peer", EngineShare(A, 0, -1, 0))
    assert peers_batch(engines) == 1


def test_a_report_made_before_a_grant_was_received_does_not_undo_it() -> None:
    slots, engines = ledger()
    slots.on_report(0.0, report(sequence=1, a=1))
    grant = slots.grant(0.0, "peer", ONE_ITEM)
    slots.on_report(0.01, report(sequence=2, a=1))
    assert peers_batch(engines) == 2
    newer = report(sequence=3, a=2)
    slots.on_report(
        0.02, replace(newer, coordinator_incarnation=INCARNATION, last_grant_seen=grant)
    )
    assert peers_batch(engines) == 2


def test_a_report_of_grants_from_an_earlier_incarnation_drops_no_grants() -> None:
    slots, engines = ledger()
    slots.on_report(0.0, report(sequence=1))
    slots.grant(0.0, "peer", ONE_ITEM)
    newer = report(sequence=2)
    slots.on_report(0.01, replace(newer, coordinator_incarnation=5, last_grant_seen=99))
    assert peers_batch(engines) == 1


def test_a_grant_that_is_never_reported_expires() -> None:
    slots, engines = ledger()
    slots.on_report(0.0, report(sequence=1))
    slots.grant(0.0, "peer", ONE_ITEM)
    slots.on_timer(GRANT_EXPIRY_SECONDS - 0.01)
    assert peers_batch(engines) == 1
    slots.on_timer(GRANT_EXPIRY_SECONDS + 0.2)
    assert peers_batch(engines) == 0


def test_the_items_of_a_silent_peer_are_no_longer_counted() -> None:
    slots, engines = ledger()
    slots.on_report(0.0, report(sequence=1, waiting=4, a=3))
    assert slots.holders["peer"].waiting_items == 4
    slots.on_timer(SILENT_SECONDS + 0.1)
    assert peers_batch(engines) == 0
    assert slots.holders["peer"].waiting_items == 0


def test_engines_added_later_are_counted_again() -> None:
    slots, engines = ledger()
    slots.on_report(0.0, report(sequence=1, a=2, c=3))
    engines.on_list(1.0, [record("a"), record("b"), record("c")])
    slots.recount(1.0, engines.engines.values())
    assert (peers_batch(engines), peers_batch(engines, "c")) == (2, 3)


def test_an_engine_is_avoided_if_several_daemons_report_it_as_unusable() -> None:
    slots, _ = ledger()
    for number, name in enumerate(("p", "q")):
        assert not slots.is_avoided(A)
        newer = report(sender=name, sequence=number)
        slots.on_report(0.0, replace(newer, unusable=(A,)))
    assert slots.is_avoided(A)
