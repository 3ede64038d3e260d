"""The log writer retries an append with the same bytes and joins queued records."""

from troutswitch.standalone.decisions.effects import AppendToLog, Effect
from troutswitch.standalone.decisions.log_writer import LogWriter
from troutswitch.standalone.decisions.sequences import WriterSequences
from troutswitch.standalone.log_service.records import EpochRenewed, decode_entry


def only_payload(effects: list[Effect]) -> bytes:
    (effect,) = effects
    assert isinstance(effect, AppendToLog)
    return effect.payload


def test_failed_append_is_retried_with_the_same_bytes_and_discarded_as_duplicate() -> None:
    writer = LogWriter("a#1")
    first = only_payload(writer.append("s", [EpochRenewed(1)]))
    assert writer.append("s", [EpochRenewed(2)]) == []  # one append in flight at a time
    writer.on_failed(10.0, "s")
    assert writer.is_failing("s")
    assert writer.on_timer(10.05) == []
    retried = only_payload(writer.on_timer(10.2))
    assert retried == first
    second = only_payload(writer.on_appended("s"))
    sequences = WriterSequences()
    accepted = [
        sequences.accept(entry.writer, entry.sequence)
        for entry in map(decode_entry, (first, retried, second, first))
    ]
    assert accepted == [True, False, True, False]
    writer.on_appended("s")
    assert writer.is_idle()


def test_queued_records_are_joined_into_one_entry() -> None:
    writer = LogWriter("a#1")
    writer.append("s", [EpochRenewed(0)])
    for epoch in range(1, 4):
        writer.append("s", [EpochRenewed(epoch)])
    joined = decode_entry(only_payload(writer.on_appended("s")))
    assert [r.epoch for r in joined.records if isinstance(r, EpochRenewed)] == [1, 2, 3]
