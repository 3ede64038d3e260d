"""Settings, configuration, records of engines and hand-ins are read as before; defaults too.

Guards against a file or record written for the former version that is read as something else.
Values are compared by the places of their fields, whatever the fields are called.
"""

from pathlib import Path

import pytest

from tests.forms import samples
from tests.forms.forms import DATA, stored

HELD = stored("settings")
ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("name", HELD)
def test_a_text_is_read_as_before(name: str) -> None:
    row = HELD[name]
    assert samples.SETTINGS[row["kind"]](row["text"]) == row["read"]


def test_each_kind_of_text_is_held() -> None:
    assert {row["kind"] for row in HELD.values()} == set(samples.SETTINGS)


def test_the_deploy_file_is_as_it_was() -> None:
    """It names the command, the listeners and the address of the metrics."""
    assert (ROOT / "deploy" / "system.toml").read_bytes() == (DATA / "system.toml").read_bytes()
