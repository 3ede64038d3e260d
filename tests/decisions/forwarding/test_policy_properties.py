"""Properties that hold under every combination of placement and admission policy."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.decisions.forwarding.harness import ForwardingHarness, arrival, engine
from troutswitch.decisions.forwarding.admission import ADMISSION_POLICIES
from troutswitch.decisions.forwarding.messages import AnswerBegun, FinishRequest, SendRequest
from troutswitch.decisions.forwarding.placement import POLICIES
from troutswitch.decisions.forwarding.requests import ForwardedRequests
from troutswitch.outcomes import AttemptOutcome

ENGINES = 4
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=40)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "arrive", "arrive", "end", "refuse", "cut", "drain", "list"]),
        st.integers(0, ENGINES - 1),
    ),
    max_size=80,
)
every_placement = pytest.mark.parametrize("placement", sorted(POLICIES))
every_admission = pytest.mark.parametrize("admission", sorted(ADMISSION_POLICIES))


class PolicyDriver:
    """Applies steps to one daemon's forwarding decisions and checks each instruction."""

    def __init__(self, placement: str, admission: str) -> None:
        self.harness = ForwardingHarness(engines=ENGINES)
        self.harness.requests = ForwardedRequests(
            "z", self.harness.routes, self.harness.engines, random.Random(1), placement, admission
        )
        self.running: dict[int, SendRequest] = {}
        self.leaving: set[str] = set()
        self.finished = 0
        self.arrived = 0
        self.now = 0.0

    def on_instruction(self, instruction: SendRequest | FinishRequest | None) -> None:
        match instruction:
            case SendRequest():
                assert instruction.engine_id not in self.leaving
                self.running[instruction.token] = instruction
                begun = AnswerBegun(instruction.token, instruction.attempt, None)
                self.harness.requests.on_answer_begun(self.now, begun)
            case FinishRequest():
                self.running.pop(instruction.token, None)
                self.finished += 1

    def fire_timers(self) -> None:
        """Runs the timers, which retry the placement of waiting requests."""
        for instruction in self.harness.requests.on_timer(self.now):
            if isinstance(instruction, SendRequest | FinishRequest):
                self.on_instruction(instruction)

    def end_all(self) -> None:
        """Ends all running attempts and runs timers until no request is open."""
        while self.harness.requests.requests:
            if not self.running:
                self.now = max(self.now + 0.001, self.harness.requests.next_due())
                self.fire_timers()
            while self.running:
                self.apply_step("end", 0)

    def apply_step(self, step: str, index: int) -> None:
        self.now += 0.02
        self.fire_timers()
        match step:
            case "arrive":
                self.arrived += 1
                self.on_instruction(self.harness.arrive(self.now, arrival(self.arrived)))
            case "drain":
                self.leaving.add(f"s{index}")
                self.harness.engines.mark_draining(f"s{index}")
            case "list":
                listed = [engine(f"s{n}", f"s{n}" in self.leaving) for n in range(ENGINES)]
                self.harness.engines.on_list(self.now, listed)
            case _ if self.running:
                self.end(step, index)

    def end(self, step: str, index: int) -> None:
        token = sorted(self.running)[index % len(self.running)]
        sent = self.running.pop(token)
        if step == "end":
            self.finished += 1
            self.harness.end(self.now, sent, AttemptOutcome.COMPLETED, delivered=3)
        elif step == "refuse":
            self.on_instruction(self.harness.end(self.now, sent, AttemptOutcome.REFUSED))
        else:
            self.on_instruction(self.harness.end(self.now, sent, AttemptOutcome.CUT))


@every_placement
@every_admission
@DETERMINISTIC
@given(steps=STEPS)
def test_no_request_is_sent_to_a_leaving_engine_and_every_request_ends(
    placement: str, admission: str, steps: list[tuple[str, int]]
) -> None:
    driver = PolicyDriver(placement, admission)
    for step, index in steps:
        driver.apply_step(step, index)
    driver.end_all()
    assert driver.finished == driver.arrived
    assert not driver.harness.requests.requests
    engines = driver.harness.engines.engines.values()
    assert all(e.online_in_flight == 0 and not e.online_sent_at for e in engines)
