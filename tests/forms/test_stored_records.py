"""Records in the store keep their keys and bytes.

Guards against a change after which a record stored earlier, or one that a daemon of the former
version writes now, is not understood: jobs, their items and results, crashes, claims of groups,
and the entries of the other product's log.
"""

import pytest

from tests.forms import samples
from tests.forms.forms import check_all_are_held, check_form


def test_each_record_is_held() -> None:
    check_all_are_held("stored_records", samples.STORED_RECORDS)
    check_all_are_held("log_entries", samples.LOG_ENTRIES)


@pytest.mark.parametrize("name", samples.STORED_RECORDS)
def test_a_record_of_the_gateway(name: str) -> None:
    check_form("stored_records", name, samples.STORED_RECORDS[name])


@pytest.mark.parametrize("name", samples.LOG_ENTRIES)
def test_an_entry_of_the_log(name: str) -> None:
    check_form("log_entries", name, samples.LOG_ENTRIES[name])
