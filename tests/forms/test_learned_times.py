"""Learned times keep their bytes in the entries of the peer registry in the store.

Guards against a daemon that cannot read the learned times of daemons of the previous version when
it starts, or that writes entries which those cannot read.
"""

import pytest

from tests.forms import samples
from tests.forms.forms import check_sample, check_samples_match_data


def test_samples_and_data_have_the_same_names() -> None:
    check_samples_match_data("experience", samples.LEARNED_TIMES)


@pytest.mark.parametrize("name", samples.LEARNED_TIMES)
def test_registry_entry_keeps_its_bytes(name: str) -> None:
    check_sample("experience", name, samples.LEARNED_TIMES[name])
