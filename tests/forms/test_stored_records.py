"""Records in the store keep their keys and bytes.

Guards against a change after which a daemon cannot read a record that was stored earlier, or that
a daemon of the previous version writes: jobs, their items and results, crashes, claims of groups,
and the entries of the standalone daemon's log.
"""

import pytest

from tests.forms import samples
from tests.forms.forms import check_sample, check_samples_match_data


def test_samples_and_data_have_the_same_names() -> None:
    check_samples_match_data("stored_records", samples.STORED_RECORDS)
    check_samples_match_data("log_entries", samples.LOG_ENTRIES)


@pytest.mark.parametrize("name", samples.STORED_RECORDS)
def test_gateway_record_keeps_its_bytes(name: str) -> None:
    check_sample("stored_records", name, samples.STORED_RECORDS[name])


@pytest.mark.parametrize("name", samples.LOG_ENTRIES)
def test_log_entry_keeps_its_bytes(name: str) -> None:
    check_sample("log_entries", name, samples.LOG_ENTRIES[name])
