"""The crash suspects of one daemon, for tests."""

import random

from tests.decisions.forwarding.harness import engine
from troutswitch.daemons.messages import CrashReport, ReportedCrash
from troutswitch.decisions.crashes.messages import EngineChecked, EngineCheckResult
from troutswitch.decisions.crashes.suspects import CrashSuspects
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.storage.read_attempts import CallNumbers

OFFSET = 1.7e9


class SuspectsHarness:
    """The crash suspects of one daemon with six engines."""

    def __init__(self, name: str = "d") -> None:
        self.engines = EngineRegistry()
        self.engines.on_list(0.0, [engine(f"s{n}") for n in range(6)])
        self.logged: list[str] = []
        self.suspects = CrashSuspects(
            name,
            self.engines,
            CallNumbers(),
            lambda: [],
            lambda instruction: None,
            lambda event, **fields: self.logged.append(event),
            random.Random(1),
        )
        self.suspects.clock_offset = OFFSET

    def crash(self, now: float, content: str, *engine_ids: str) -> None:
        for engine_id in engine_ids:
            self.suspects.on_lost(now, content, engine_id)
            self.suspects.on_checked(now, EngineChecked(engine_id, EngineCheckResult.ENDED))

    def report(self, now: float, content: str, *engine_ids: str) -> None:
        reported = tuple(
            ReportedCrash(content, name, int(now + OFFSET), True) for name in engine_ids
        )
        self.suspects.on_report(now, CrashReport("p", reported))
