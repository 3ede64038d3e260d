"""Configuration declarations: valid examples, errors and differences between trees."""

from pathlib import Path

import pytest

from troutswitch.standalone.decisions.configuration.declarations import (
    DeclarationError,
    changes_between,
    read_declarations,
)
from troutswitch.standalone.decisions.configuration.tree import ConfigurationTree, scope_of_path
from troutswitch.standalone.runtime.settings import load_settings

EXAMPLES = Path(__file__).parents[4] / "examples"


@pytest.mark.parametrize("name", ["quetzal", "ndiaye"])
def test_example_declarations_are_valid(name: str) -> None:
    tree = read_declarations(EXAMPLES / name / "configuration")
    assert changes_between(ConfigurationTree(), tree)
    assert changes_between(tree, tree) == []
    assert load_settings(EXAMPLES / name / "daemon.toml", {}).shard_count == 16


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ('["zone/"]\nbatch_policy = "none"\n', "not a path"),
        ("[root]\ncolour = 1\n", "unknown key"),
        ("[root]\nbatch_fixed_share = 2.0\n", "batch_fixed_share"),
        ("root = 1\n", "a table is expected"),
        ("[root\n", "Expected"),
    ],
)
def test_invalid_declaration_error_names_the_file_and_the_reason(
    tmp_path: Path, text: str, reason: str
) -> None:
    file = tmp_path / "bad.toml"
    file.write_text(text)
    with pytest.raises(DeclarationError, match=reason) as caught:
        read_declarations(tmp_path)
    assert str(file) in str(caught.value)


def test_removed_declarations_are_unset_and_paths_give_their_scope() -> None:
    current = read_declarations(EXAMPLES / "quetzal" / "configuration")
    changes = changes_between(current, ConfigurationTree())
    assert all(change.value is None for change in changes)
    assert scope_of_path("zone/a/service/b") == ("a", "b", "")
    assert scope_of_path("root") == ("", "", "")
