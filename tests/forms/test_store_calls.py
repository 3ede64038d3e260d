"""Calls to the store keep their bytes: method, path, query, headers and body.

Guards against a store that no longer understands a call, or understands another fence or group:
then two daemons of different versions could own one shard.
"""

import pytest

from tests.forms import samples
from tests.forms.forms import check_all_are_held, check_form


def test_each_call_is_held() -> None:
    check_all_are_held("store_calls", samples.STORE_CALLS)


@pytest.mark.parametrize("name", samples.STORE_CALLS)
def test_a_call(name: str) -> None:
    check_form("store_calls", name, samples.STORE_CALLS[name])
