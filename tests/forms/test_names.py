"""Names on the wire, and hashes on which all daemons must agree, are as before.

Guards against daemons of two versions that look for a job in different shards, deal engines into
different groups, call an engine or a request by different keys, or read different topics.
"""

import json

import pytest

from tests.forms import samples
from tests.forms.forms import check_all_are_held, stored

TOLD = samples.names_told()


def test_each_name_is_held() -> None:
    check_all_are_held("names", TOLD)


@pytest.mark.parametrize("name", TOLD)
def test_names_and_hashes(name: str) -> None:
    assert json.loads(json.dumps(TOLD[name])) == stored("names")[name]
