"""Words on how far jobs are: always at the end, before that only near the quota."""

from collections import Counter

from troutswitch.decisions.jobs.records import INDEX, PROGRESS
from troutswitch.decisions.storage.messages import AppendRecords, StoreCall
from troutswitch.simulation.gatewayworld import GatewayWorld

JOBS = 3
ITEMS = 4
TOKENS_AN_ITEM = 100


class Words:
    """Counts words on progress as they pass to the store."""

    def __init__(self) -> None:
        self.by_job: Counter[str] = Counter()

    def __call__(self, call: StoreCall) -> StoreCall:
        if isinstance(call, AppendRecords) and call.partition == INDEX:
            for record in call.records:
                kind, _, job_id = record.key.partition(":")
                if kind == PROGRESS:
                    self.by_job[job_id] += 1
        return call


def played(words: Words, tokens_most: int = 0, answers_lost: float = 0.0) -> GatewayWorld:
    world = GatewayWorld(2, tokens_most=tokens_most, change=words)
    world.run(3.0)
    for number in range(JOBS):
        world.hand_in(f"job{number}", ITEMS, tokens=TOKENS_AN_ITEM)
    world.run(1.0)
    world.faults.answers_lost = answers_lost
    world.run(20.0)
    world.faults.answers_lost = 0.0
    world.run(10.0)
    return world


def assert_all_know_that_jobs_are_done(world: GatewayWorld) -> None:
    assert world.unfinished() == []
    for daemon in world.daemons.values():
        entries = daemon.core.jobs.replicas.index.jobs.values()
        assert len(entries) == JOBS
        assert not any(entry.is_open for entry in entries)


def test_far_from_the_quota_a_job_is_told_once_when_it_is_done() -> None:
    words = Words()
    assert_all_know_that_jobs_are_done(played(words))
    assert set(words.by_job.values()) == {1}


def test_near_the_quota_each_step_is_told() -> None:
    words = Words()
    assert_all_know_that_jobs_are_done(played(words, JOBS * ITEMS * TOKENS_AN_ITEM))
    assert max(words.by_job.values()) > 1


def test_a_word_whose_answer_was_lost_is_told_again() -> None:
    assert_all_know_that_jobs_are_done(played(Words(), answers_lost=0.6))


def test_a_successor_tells_what_its_predecessor_could_not() -> None:
    dropped = Words()
    world = GatewayWorld(2, change=lambda call: _without_words(call))
    world.run(3.0)
    for number in range(JOBS):
        world.hand_in(f"job{number}", ITEMS, tokens=TOKENS_AN_ITEM)
    world.run(15.0)
    world._change = dropped
    for name in list(world.daemons):
        world.kill(name)
    world.run(15.0)
    assert_all_know_that_jobs_are_done(world)


def _without_words(call: StoreCall) -> StoreCall:
    """Empties appends of words on progress, as if they never arrived."""
    if isinstance(call, AppendRecords) and call.partition == INDEX:
        kept = tuple(r for r in call.records if not r.key.startswith(f"{PROGRESS}:"))
        return AppendRecords(
            call.call, call.partition, kept, call.expected_end, call.stamp, call.timeout
        )
    return call
