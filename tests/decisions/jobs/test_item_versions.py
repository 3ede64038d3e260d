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
from troutswitch.decisions.jobs.records import OutputPart, checkpoint_record, checkpoint_removal
from troutswitch.decisions.jobs.shard import ShardFold

NOW = 10.0


class Fixture:
    """The engines of a service, one of each version, and the rule."""

    def __init__(self, *versions: str) -> None:
        self.registry = EngineRegistry()
        self.list_versions(NOW, *versions)
        self.rule = ItemVersions(self.registry, lambda event, **fields: None)

    def list_versions(self, now: float, *versions: str) -> None:
        self.registry.on_list(now, [replace(engine(v), version=v) for v in versions])

    def engine(self, version: str) -> Engine:
        return self.registry.engines[version]

    def may_start(self, now: float, progress: ItemProgress, version: str) -> bool:
        return self.rule.may_start_at(now, progress, self.engine(version))


def with_output(version: str) -> ItemProgress:
    progress = new_progress()
    progress.add_events(events(1, 2))
    progress.version = version
    return progress


def test_item_without_output_starts_at_any_version() -> None:
    fixture = Fixture("v1", "v2")
    progress = new_progress()
    for version in ("v1", "v2"):
        assert fixture.may_start(NOW, progress, version)
        fixture.rule.prepare_run(NOW, progress, fixture.engine(version))
        assert progress.version == version


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


def test_saved_output_without_a_version_goes_on_while_there_is_one() -> None:
    fixture = Fixture("v1")
    progress = new_progress()
    progress.restore([OutputPart("", "2", "t1\nt2")])
    fixture.rule.prepare_run(NOW, progress, fixture.engine("v1"))
    assert (progress.position, progress.version) == ("2", "v1")


def test_saved_output_without_a_version_is_dropped_once_there_are_several() -> None:
    fixture = Fixture("v1", "v2")
    progress = new_progress()
    progress.restore([OutputPart("", "2", "t1\nt2")])
    assert fixture.may_start(NOW, progress, "v1")
    fixture.rule.prepare_run(NOW, progress, fixture.engine("v1"))
    assert progress.position == ""


def test_saved_output_keeps_the_version_that_wrote_it() -> None:
    progress = with_output("v1")
    fold = ShardFold()
    part = progress.next_part(RECORD_BYTES, names_version=True)
    fold.apply(checkpoint_record("job", 0, 0, part))
    successor = new_progress()
    successor.restore(fold.content("job").saved_output(0))
    assert (successor.position, successor.version) == ("2", "v1")


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
    fold = ShardFold()
    for number in range(1, 4):
        progress.add_events(events(number))
        part = progress.next_part(RECORD_BYTES)
        fold.apply(checkpoint_record("job", 0, progress.saved_parts, part))
        progress.on_saved(part)
    progress.start_again()
    assert progress.obsolete_parts == 3
    progress.add_events(events(1))
    part = progress.next_part(RECORD_BYTES)
    fold.apply(checkpoint_record("job", 0, 0, part))
    for row in range(1, progress.obsolete_parts):
        fold.apply(checkpoint_removal("job", 0, row))
    progress.on_saved(part)
    assert [saved.position for saved in fold.content("job").saved_output(0)] == ["1"]
    assert progress.obsolete_parts == 0
