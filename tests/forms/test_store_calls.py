"""Store calls keep their bytes: method, path, query, headers and body.

Guards against a call that the store no longer understands, or for which it uses another fence or
group: two daemons of different versions could then own the same shard.
"""

import pytest

from tests.forms import samples
from tests.forms.forms import check_sample, check_samples_match_data


def test_samples_and_data_have_the_same_names() -> None:
    check_samples_match_data("store_calls", samples.STORE_CALLS)


@pytest.mark.parametrize("name", samples.STORE_CALLS)
def test_store_call_keeps_its_bytes(name: str) -> None:
    check_sample("store_calls", name, samples.STORE_CALLS[name])
