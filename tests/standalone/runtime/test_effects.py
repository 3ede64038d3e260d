"""An effect whose call raises an error is answered, as the loop waits for it."""

import queue
from typing import Any
from unittest.mock import MagicMock

import pytest

from troutswitch.common import Address
from troutswitch.outcomes import AttemptOutcome
from troutswitch.standalone.decisions.effects import (
    AppendToLog,
    Effect,
    PollEngine,
    ReadLog,
    ReadMachineList,
    StartBatchAttempt,
)
from troutswitch.standalone.decisions.events import (
    BatchAttemptEnded,
    EngineLoadRead,
    Event,
    LogAppendFailed,
    LogReadFailed,
    MachineListRead,
)
from troutswitch.standalone.runtime import effects
from troutswitch.standalone.runtime.effects import EffectRunner

WAIT_SECONDS = 10.0
HERE = Address("127.0.0.1", 1)
REASON = "RecursionError: too deep"

ANSWERS: list[tuple[Effect, Event]] = [
    (AppendToLog("s", b"x"), LogAppendFailed("s", REASON)),
    (ReadLog(3, "s", 0, 10), LogReadFailed(3, "s", REASON)),
    (PollEngine("e", HERE), EngineLoadRead("e", None)),
    (ReadMachineList(), MachineListRead(None)),
    (
        StartBatchAttempt("a", "e", HERE, "i", "j", MagicMock(), 0, 2, "so far"),
        BatchAttemptEnded("a", AttemptOutcome.CUT, REASON, False, 2, "so far"),
    ),
]


@pytest.mark.parametrize(("effect", "answer"), ANSWERS)
def test_call_that_raises_an_unexpected_error_is_answered(
    effect: Effect, answer: Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a log that is never appended to again, and items that never end."""
    failing: Any = MagicMock(side_effect=RecursionError("too deep"))
    monkeypatch.setattr(effects, "EngineStream", failing)
    log = MagicMock(append=failing, read=failing)
    runner = EffectRunner(MagicMock(), log, MagicMock(read=failing), 1, MagicMock())
    runner.engines = MagicMock(load=failing)
    events: queue.SimpleQueue[Event] = queue.SimpleQueue()
    runner.set_post(events.put)
    runner.execute(effect)
    assert events.get(timeout=WAIT_SECONDS) == answer
    runner.stop()
