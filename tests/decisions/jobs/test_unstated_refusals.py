"""Jobs while the store refuses calls without stating the values that its refusals should have."""

import random

import pytest

from tests.simulation.fleet import Daemon, SimulatedFleet
from troutswitch.decisions.jobs.ownership import EPOCH_BITS, WRITER
from troutswitch.decisions.jobs.records import shard_partition
from troutswitch.decisions.storage.messages import (
    AppendRecords,
    CallFailed,
    EndMoved,
    FencedOff,
    HistoryGone,
    OutOfSequence,
    StoreOutcome,
    WriterStamp,
)

UNKNOWN = CallFailed("status 409: ", True)
UNSTATED: dict[type, tuple[StoreOutcome, ...]] = {
    FencedOff: (FencedOff(None), UNKNOWN),
    OutOfSequence: (OutOfSequence(None), UNKNOWN),
    EndMoved: (UNKNOWN,),
    HistoryGone: (UNKNOWN,),
}
"""What the client makes of refusals of each type without their values."""


class UnstatedFleet(SimulatedFleet):
    """A fleet whose store states the values of its refusals only at times."""

    def __init__(self, seed: int, unstated_rate: float) -> None:
        self.refusal_rng = random.Random(f"refusals-{seed}")
        self.unstated_rate = unstated_rate
        self.unstated = 0
        super().__init__(seed)

    def _answer(self, daemon: Daemon, call: int, outcome: StoreOutcome, seconds: float) -> None:
        forms = UNSTATED.get(type(outcome))
        if forms is not None and self.refusal_rng.random() < self.unstated_rate:
            self.unstated += 1
            outcome = self.refusal_rng.choice(forms)
        super()._answer(daemon, call, outcome, seconds)


def check_jobs(fleet: SimulatedFleet) -> None:
    assert fleet.violations == []
    assert fleet.unfinished_jobs() == []
    assert all(job.accepted_at < float("inf") for job in fleet.jobs.values())


@pytest.mark.parametrize("seed", range(4))
def test_no_item_is_lost_or_listed_twice(seed: int) -> None:
    """Guards against decisions from values that the store did not state."""
    fleet = UnstatedFleet(seed, 0.7)
    fleet.faults.answer_loss_rate = 0.2
    fleet.faults.delays_lost_appends = True
    fleet.run(3.0)
    for number in range(16):
        fleet.submit_job(f"job{number}", 4)
        fleet.run(0.7)
        fleet.compact()
        fleet.reassign_shards()
        fleet.run(0.3)
    fleet.faults.answer_loss_rate = 0.0
    fleet.run(60.0)
    assert fleet.unstated > 10
    check_jobs(fleet)


def test_shard_is_owned_though_the_store_never_states_the_higher_epoch() -> None:
    """Guards against an owner that fences a shard with low epochs for good."""
    fleet = UnstatedFleet(1, 0.0)
    for shard in range(fleet.store.partitions):
        stamp = WriterStamp(WRITER, 30 << EPOCH_BITS, 0)
        fleet.store.call(0.0, AppendRecords(0, shard_partition(shard), (), stamp=stamp))
    fleet.unstated_rate = 1.0
    fleet.refusal_rng = random.Random(1)
    fleet.run(10.0)
    fleet.submit_job("job", 4)
    fleet.run(30.0)
    assert fleet.unstated
    check_jobs(fleet)
