"""Settings, configuration, engine records and job submissions decode as before, with defaults.

Guards against a file or record written for the previous version that decodes to other values.
Values are compared by the position of their fields, not by field names.
"""

from pathlib import Path

import pytest

from tests.forms import samples
from tests.forms.forms import DATA, stored

STORED = stored("settings")
ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("name", STORED)
def test_text_decodes_to_the_same_values(name: str) -> None:
    row = STORED[name]
    assert samples.SETTINGS[row["kind"]](row["text"]) == row["read"]


def test_each_kind_of_text_has_data() -> None:
    assert {row["kind"] for row in STORED.values()} == set(samples.SETTINGS)


def test_deployed_settings_file_is_unchanged() -> None:
    """The file names the command, the listeners and the address of the metrics."""
    assert (ROOT / "deploy" / "system.toml").read_bytes() == (DATA / "system.toml").read_bytes()
