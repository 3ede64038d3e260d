"""Exchanges with an engine in trouble: an answer is the run's own, whole and signed, or lost.

A few requests are sent, refused, failed, abandoned and sent again on few connections. The engine's
answers have each of the stand-ins' faults, and surplus answers come while a connection is idle or
in use by the next request.
"""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests.gateway.engines.scripted_engine import ENGINE, SOUND_STATUSES, Player
from troutswitch.standins.unproved_answers import AnswerFault

REQUEST_IDS = ("a", "b", "c")
"""Few, so that each is sent again on connections that others have used since."""
LATE_FAULTS = (
    AnswerFault.REPEATED_LATE,
    AnswerFault.FAILURE_REPEATED_LATE,
    AnswerFault.FAILURE_THEN_SUCCESS,
    AnswerFault.REFUSAL_REPEATED_LATE,
)
faults = st.none() | st.sampled_from(AnswerFault)
statuses = st.sampled_from(SOUND_STATUSES)
request_ids = st.sampled_from(REQUEST_IDS)


class ExchangePlay(RuleBasedStateMachine):
    """Requests that are sent and sent again to one engine, with all faults of its answers."""

    def __init__(self) -> None:
        super().__init__()
        self.player = Player()

    def teardown(self) -> None:
        self.player.end()

    @rule(
        name=request_ids,
        fault=faults,
        status=statuses,
        is_stream=st.booleans(),
        surplus_first=st.booleans(),
        is_reset=st.booleans(),
        in_chunks=st.booleans(),
    )
    def send(
        self,
        name: str,
        fault: AnswerFault | None,
        status: int,
        is_stream: bool,
        surplus_first: bool,
        is_reset: bool,
        in_chunks: bool,
    ) -> None:
        """Makes an exchange; surplus answers may come on its connection before the answer."""
        run = self.player.new_run(name, fault, status, is_stream)
        run.surplus_first, run.is_reset = surplus_first, is_reset
        self.player.send(run, in_chunks)

    @rule(name=request_ids, status=statuses)
    def send_soundly(self, name: str, status: int) -> None:
        """Makes an exchange that has no fault of its own."""
        self.player.send(self.player.new_run(name, None, status, is_stream=True))

    @rule(fault=st.sampled_from(LATE_FAULTS), status=statuses, is_late=st.booleans())
    def send_again_after_another(self, fault: AnswerFault, status: int, is_late: bool) -> None:
        """Sends a request again on its connection, after another request has used that."""
        first, other = REQUEST_IDS[:2]
        player = self.player
        player.send(player.new_run(first, fault, 200, is_stream=True))
        player.send(player.new_run(other, None, 200, is_stream=False))
        again = player.new_run(first, None, status, is_stream=True)
        again.surplus_first = not is_late
        player.send(again)

    @precondition(lambda self: len(self.player.open_exchanges) < 3)
    @rule(name=request_ids, fault=faults, is_stream=st.booleans())
    def open(self, name: str, fault: AnswerFault | None, is_stream: bool) -> None:
        """Opens an exchange whose body is read later, so that the next one has to connect."""
        run = self.player.new_run(name, fault, 200, is_stream)
        exchange = self.player.open(run)
        if exchange is not None:
            self.player.open_exchanges.append((run, exchange))

    @precondition(lambda self: self.player.open_exchanges)
    @rule(is_abandoned=st.booleans())
    def finish(self, is_abandoned: bool) -> None:
        """Reads the rest of an open exchange, or leaves it."""
        run, exchange = self.player.open_exchanges.pop(0)
        if is_abandoned:
            exchange.close()
        else:
            self.player.finish(run, exchange, in_chunks=True)

    @rule()
    def send_surplus(self) -> None:
        """Sends the surplus answers that are due while connections are idle."""
        self.player.has_surplus = True
        ENGINE.send_surplus()

    @rule()
    def drop_connections(self) -> None:
        """Makes the next exchange use a new connection."""
        self.player.drop_connections()


TestExchangePlay = pytest.mark.xdist_group("exchange-play")(ExchangePlay.TestCase)
TestExchangePlay.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=20,
    suppress_health_check=list(HealthCheck),
)


@pytest.fixture
def player() -> Player:
    return Player()


@pytest.mark.xdist_group("exchange-play")
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("before", [None, *SOUND_STATUSES])
@pytest.mark.parametrize("fault", list(AnswerFault))
def test_each_fault_on_new_and_reused_connections(
    player: Player, fault: AnswerFault, before: int | None, is_stream: bool, is_reset: bool
) -> None:
    """Whole answers are handed over, also between interim heads and surplus answers.

    `before` is the status of the answer that the connection carried before, None for a new one.
    """
    if before is not None:
        player.send(player.new_run("b", None, before, is_stream=False))
    run = player.new_run("a", fault, 200, is_stream)
    run.is_reset = is_reset
    player.send(run)
    after = player.new_run("b", None, 200, is_stream)
    player.send(after)
    player.end()
    assert (run.number in player.answered) == run.wire.is_whole
    assert after.number in player.answered


@pytest.mark.xdist_group("exchange-play")
@pytest.mark.parametrize("status", SOUND_STATUSES)
@pytest.mark.parametrize("fault", LATE_FAULTS)
def test_surplus_answer_is_not_taken_by_a_later_run_of_its_request(
    player: Player, fault: AnswerFault, status: int
) -> None:
    """Another request uses the connection between the two runs, with either order of surplus."""
    player.send(player.new_run("a", fault, 200, is_stream=True))
    player.send(player.new_run("b", None, 200, is_stream=True))
    again = player.new_run("a", None, status, is_stream=True)
    again.surplus_first = True
    player.send(again)
    player.end()
