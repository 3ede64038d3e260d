"""An append is repeated with the same bytes until it is confirmed."""

from troutswitch.standalone.decisions.effects import AppendToLog, Effect
from troutswitch.standalone.decisions.log_writer import LogWriter
from troutswitch.standalone.decisions.sequences import WriterSequences
from troutswitch.standalone.log_service.records import EpochRenewed, decode_entry


def payload(effects: list[Effect]) -> bytes:
    (effect,) = effects
    assert isinstance(effect, AppendToLog)
    return effect.payload


def test_a_lost_answer_repeats_the_same_entry_and_folds_drop_it() -> None:
    writer = LogWriter("a#1")
    first = payload(writer.append("s", [EpochRenewed(1)]))
    assert writer.append("s", [EpochRenewed(2)]) == []  # one in flight at a time
    writer.on_failed(10.0, "s")
    assert writer.is_failing("s")
    assert writer.on_timer(10.05) == []
    again = payload(writer.on_timer(10.2))
    assert again == first
    second = payload(writer.on_appended("s"))
    sequences = WriterSequences()
    taken = [
        sequences.accept(entry.writer, entry.sequence)
        for entry in map(decode_entry, (first, again, second, first))
    ]
    assert taken == [True, False, True, False]
    writer.on_appended("s")
    assert writer.is_idle()


def test_records_that_wait_are_joined_into_one_entry() -> None:
    writer = LogWriter("a#1")
    writer.append("s", [EpochRenewed(0)])
    for epoch in range(1, 4):
        writer.append("s", [EpochRenewed(epoch)])
    joined = decode_entry(payload(writer.on_appended("s")))
    assert [r.epoch for r in joined.records if isinstance(r, EpochRenewed)] == [1, 2, 3]
