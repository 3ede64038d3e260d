"""Names on the wire, and hashes on which all daemons must agree, are unchanged.

Guards against daemons of two versions that look up a job in different shards, assign engines to
different groups, identify an engine or a request by different keys, or read different topics.
"""

import json

import pytest

from tests.forms import samples
from tests.forms.forms import check_samples_match_data, stored

NAMES = samples.names_and_hashes()


def test_samples_and_data_have_the_same_names() -> None:
    check_samples_match_data("names", NAMES)


@pytest.mark.parametrize("name", NAMES)
def test_name_or_hash_is_unchanged(name: str) -> None:
    assert json.loads(json.dumps(NAMES[name])) == stored("names")[name]
