"""Items go on at the engine version that wrote their output, or start again."""

from dataclasses import replace

import pytest

from tests.decisions.forwarding.harness import engine
from tests.decisions.jobs.test_parts import RECORD_BYTES, events, new_progress
from troutswitch.decisions.forwarding.engine import Engine
from troutswitch.decisions.forwarding.engines import EngineRegistry
from troutswitch.decisions.invariants import InvariantViolated
from troutswitch.decisions.jobs.item_versions import VERSION_WAIT_SECONDS, ItemVersions
from troutswitch.decisions.jobs.items import ItemProgress
from troutswitch.decisions.jobs.records import (
    OutputId,
    OutputPart,
    checkpoint_record,
    checkpoint_removal,
)
from troutswitch.decisions.jobs.shard import ShardFold

NOW = 10.0
START = "00000000000000ff"


class Fixture:
    """The engines of a service, one of each version, and the rule."""

    def __init__(self, *versions: str) -> None:
        self.registry = EngineRegistry()
        self.list_versions(NOW, *versions)
        self.rule = ItemVersions(self.registry, 7, lambda event, **fields: None)

    def list_versions(self, now: float, *versions: str) -> None:
        self.registry.on_list(now, [replace(engine(v), version=v) for v in versions])

    def engine(self, version: str) -> Engine:
        return self.registry.engines[version]

    def may_start(self, now: float, progress: ItemProgress, version: str) -> bool:
        return self.rule.may_start_at(now, progress, self.engine(version))


def with_output(version: str) -> ItemProgress:
    progress = new_progress()
    progress.begin_output(OutputId(version, START))
    progress.add_events(events(1, 2))
    return progress


def test_item_without_output_starts_at_any_version() -> None:
    fixture = Fixture("v1", "v2")
    progress = new_progress()
    for version in ("v1", "v2"):
        assert fixture.may_start(NOW, progress, version)
        fixture.rule.prepare_run(NOW, progress, fixture.engine(version))
        assert progress.version == version


def test_each_start_is_an_output_of_its_own() -> None:
    fixture = Fixture("v1")
    first, second = new_progress(), new_progress()
    fixture.rule.prepare_run(NOW, first, fixture.engine("v1"))
    fixture.rule.prepare_run(NOW, second, fixture.engine("v1"))
    assert first.output_id.is_stated
    assert first.output_id != second.output_id
    first.add_events(events(1))
    before = first.output_id
    fixture.rule.prepare_run(NOW, first, fixture.engine("v1"))
    assert first.output_id == before
    first.needs_restart = True
    fixture.rule.prepare_run(NOW, first, fixture.engine("v1"))
    assert first.output_id not in (before, second.output_id)


def test_item_goes_on_at_the_version_that_wrote_its_output() -> None:
    fixture = Fixture("v1", "v2")
    progress = with_output("v1")
    assert fixture.may_start(NOW, progress, "v1")
    fixture.rule.prepare_run(NOW, progress, fixture.engine("v1"))
    assert progress.position == "2"


def test_item_waits_for_its_version_and_then_starts_again() -> None:
    fixture = Fixture("v1", "v2")
    progress = with_output("v1")
    assert not fixture.may_start(NOW, progress, "v2")
    assert not fixture.may_start(NOW + VERSION_WAIT_SECONDS - 0.1, progress, "v2")
    assert fixture.may_start(NOW + VERSION_WAIT_SECONDS, progress, "v2")
    fixture.rule.prepare_run(NOW + VERSION_WAIT_SECONDS, progress, fixture.engine("v2"))
    assert (progress.position, progress.output, progress.version) == ("", "", "v2")
    assert progress.version_wait_ends_at is None


def test_item_starts_again_at_once_without_an_engine_of_its_version() -> None:
    assert Fixture("v2", "v3").may_start(NOW, with_output("v1"), "v2")


def test_saved_output_goes_on_only_at_its_version_when_no_other_one_is_known() -> None:
    """Guards against text of two versions after all daemons started anew during a release."""
    part = with_output("v1").next_part(RECORD_BYTES)
    fold = ShardFold()
    fold.apply(checkpoint_record("job", 0, 0, part))
    successor = new_progress()
    successor.restore(fold.content("job").saved_output(0), 1)
    assert (successor.position, successor.output_id) == ("2", OutputId("v1", START))
    fixture = Fixture("v2")  # all that a daemon knows whose whole fleet has just started
    assert fixture.may_start(NOW, successor, "v2")
    fixture.rule.prepare_run(NOW, successor, fixture.engine("v2"))
    assert (successor.position, successor.version) == ("", "v2")
    assert successor.obsolete_parts == 1


@pytest.mark.parametrize("output", [OutputId(), OutputId("v1")])
def test_saved_output_of_an_unstated_start_is_not_continued(output: OutputId) -> None:
    """Earlier versions of this program state no start, and a version only at times."""
    fold = ShardFold()
    fold.apply(checkpoint_record("job", 0, 0, OutputPart("", "2", "t1\nt2", output)))
    content = fold.content("job")
    assert content.saved_output(0) == []
    progress = new_progress()
    progress.restore(content.saved_output(0), content.stored_parts(0))
    assert (progress.position, progress.obsolete_parts) == ("", 1)


def test_item_does_not_start_again_while_its_output_is_written() -> None:
    fixture = Fixture("v2", "v3")
    progress = with_output("v1")
    progress.is_saving = True
    assert not fixture.may_start(NOW, progress, "v2")
    with pytest.raises(InvariantViolated):
        progress.start_again()


def test_successor_finds_no_output_from_before_a_new_start() -> None:
    """Guards against old parts that follow the new ones in the chain of saved output."""
    progress = new_progress()
    progress.begin_output(OutputId("v1", START))
    fold = ShardFold()
    for number in range(1, 4):
        progress.add_events(events(number))
        part = progress.next_part(RECORD_BYTES)
        fold.apply(checkpoint_record("job", 0, progress.saved_parts, part))
        progress.on_saved(part)
    progress.start_again()
    assert progress.obsolete_parts == 3
    progress.begin_output(OutputId("v2", "0" * 16))
    progress.add_events(events(1))
    part = progress.next_part(RECORD_BYTES)
    fold.apply(checkpoint_record("job", 0, 0, part))
    for row in range(1, progress.obsolete_parts):
        fold.apply(checkpoint_removal("job", 0, row))
    progress.on_saved(part)
    assert [saved.position for saved in fold.content("job").saved_output(0)] == ["1"]
    assert progress.obsolete_parts == 0
