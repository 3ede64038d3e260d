"""Refusals, and answers about jobs, keep status, headers and body as callers get them.

Guards against callers that act on a status, on `Retry-After` or on a word of the body. The class
of an outcome and the step stand in the body by name, so their names are part of the form.
"""

import pytest

from tests.forms import samples
from tests.forms.forms import check_all_are_held, check_form


def test_each_answer_is_held() -> None:
    check_all_are_held("refusals", samples.REFUSALS)


@pytest.mark.parametrize("name", samples.REFUSALS)
def test_an_answer(name: str) -> None:
    check_form("refusals", name, samples.REFUSALS[name])
