"""Refusals and answers about jobs keep the status, headers and body that callers get.

Callers act on the status, on `Retry-After` or on words of the body. The body contains the class
name of an outcome and the name of the step, so these names must not change.
"""

import pytest

from tests.forms import samples
from tests.forms.forms import check_sample, check_samples_match_data


def test_samples_and_data_have_the_same_names() -> None:
    check_samples_match_data("refusals", samples.REFUSALS)


@pytest.mark.parametrize("name", samples.REFUSALS)
def test_answer_keeps_its_bytes(name: str) -> None:
    check_sample("refusals", name, samples.REFUSALS[name])
