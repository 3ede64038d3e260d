"""Which item of a refused path is tried again, and when."""

from dataclasses import replace
from unittest.mock import MagicMock

from tests.decisions.jobs.fixtures import item, job_index
from troutswitch.decisions.jobs.item_contents import ItemContentKeys
from troutswitch.decisions.jobs.item_refusals import (
    FEWEST_LOST_SECONDS,
    TRIAL_SECONDS,
    ItemRefusals,
)
from troutswitch.decisions.jobs.items import ItemProgress


def items_of_a_refused_path() -> tuple[ItemRefusals, ItemProgress, ItemProgress]:
    """Returns two items of one path, of which the first lost three runs and the second one."""
    first, second = item("job", 0), item("job", 1)
    second.item = replace(second.item, body=b"other")
    replicas = MagicMock()
    replicas.index = job_index({"job": 0.0})
    content = replicas.shard.return_value.fold.content.return_value
    content.items.return_value = [first.item, second.item]
    content.results = {}
    suspects = MagicMock()
    suspects.refused = frozenset({ItemContentKeys(replicas).run_key(first)})
    suspects.may_retry.side_effect = lambda now, content, pause, trials: now >= pause
    refusals = ItemRefusals(suspects, replicas)
    for engine, lost in enumerate((first, first, second, first)):
        refusals.on_lost(0.0, lost, f"engine-{engine}")
    return refusals, first, second


def test_a_trial_of_a_path_is_a_run_of_the_item_that_lost_the_fewest() -> None:
    """Guards against trials of the item that causes the crashes, which keep all others refused."""
    refusals, first, second = items_of_a_refused_path()
    assert refusals.forbids_start(TRIAL_SECONDS - 0.1, second)
    assert refusals.forbids_start(TRIAL_SECONDS, first)
    assert not refusals.forbids_start(TRIAL_SECONDS, second)


def test_any_item_of_a_path_is_tried_if_the_one_that_lost_the_fewest_does_not_start() -> None:
    """Guards against a path that is never tried because that item has no slot or no route."""
    refusals, first, _ = items_of_a_refused_path()
    assert refusals.forbids_start(TRIAL_SECONDS + FEWEST_LOST_SECONDS - 0.1, first)
    assert not refusals.forbids_start(TRIAL_SECONDS + FEWEST_LOST_SECONDS, first)


def test_a_path_has_one_trial_at_a_time() -> None:
    refusals, first, second = items_of_a_refused_path()
    refusals.on_started(TRIAL_SECONDS, second)
    after = TRIAL_SECONDS + FEWEST_LOST_SECONDS
    assert refusals.forbids_start(after, first)
    assert refusals.forbids_start(after, second)
