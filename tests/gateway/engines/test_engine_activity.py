"""Load headers of unknown form are counted where heads of answers are read."""

from troutswitch.gateway.engines.engine_activity import EngineActivityReporter
from troutswitch.platform.requests import AnswerHead


def test_unreadable_load_is_counted_and_a_readable_head_is_not() -> None:
    """A fourth figure made all loads unreadable for a whole deployment, and nothing told it."""
    counted: list[int] = []
    reporter = EngineActivityReporter(lambda event: None, lambda: counted.append(1))
    for is_unreadable in (True, False, True):
        reporter.record_head(AnswerHead(200, False, None, None, False, [], is_unreadable))
    assert len(counted) == 2
