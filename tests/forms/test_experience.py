"""What daemons have learnt keeps its bytes in their directory in the store.

Guards against a daemon that starts and cannot read the times that daemons of the former version
have learnt, or leaves in the directory what those cannot read.
"""

import pytest

from tests.forms import samples
from tests.forms.forms import check_all_are_held, check_form


def test_each_entry_is_held() -> None:
    check_all_are_held("experience", samples.EXPERIENCES)


@pytest.mark.parametrize("name", samples.EXPERIENCES)
def test_an_entry_of_the_directory(name: str) -> None:
    check_form("experience", name, samples.EXPERIENCES[name])
