"""Items that cannot start: when they wait, and when they are dead-lettered."""

import random
from dataclasses import replace
from unittest.mock import MagicMock

import pytest

from tests.decisions.jobs.fixtures import item, job_index, route_table
from troutswitch.decisions.jobs.item_retries import ROUTE_GONE_SECONDS, ItemRetries


@pytest.mark.parametrize("may_be_outdated", [False, True])
def test_an_item_without_a_route_is_dead_lettered_only_by_the_newest_configuration(
    may_be_outdated: bool,
) -> None:
    """Guards against dead-lettering an item whose route the owner has not read yet."""
    routes, endings, refusals = route_table(), MagicMock(), MagicMock()
    index = job_index({"job": 0.0})
    configuration = routes.configuration
    assert configuration is not None
    routes.replace(replace(configuration, version=2, routes=()))
    retries = ItemRetries(routes, index, refusals, endings, random.Random(1))
    progress = item("job")
    routes.may_be_outdated = may_be_outdated
    for second in range(int(ROUTE_GONE_SECONDS) + 2):
        assert retries.prepare_start(float(second), progress) is None
    assert endings.dead_letter.called is not may_be_outdated
