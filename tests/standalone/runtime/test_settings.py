"""Invalid settings are reported on one line with file, key and reason, and exit status 2."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from troutswitch.cli import main as command_line
from troutswitch.standalone.runtime.settings import SettingsError, load_settings

VALID = 'name = "a"\nzone = "z"\nfleet_key = "12345678"\n'


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (VALID + "colour = 1\n", "colour"),
        (VALID + "shard_count = 0\n", "shard_count"),
        (VALID + 'batch_address = "nowhere"\n', "batch_address"),
        (VALID + 'batch_address = "127.0.0.1:99999"\n', "batch_address"),
        (VALID + 'online_threads = "many"\n', "online_threads"),
        ('zone = "z"\nfleet_key = "12345678"\n', "name"),
        ("name = \n", "Invalid value"),
    ],
)
def test_an_invalid_file_is_reported_with_key_and_reason(
    tmp_path: Path, text: str, key: str
) -> None:
    file = tmp_path / "daemon.toml"
    file.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(file, {})
    assert str(file) in str(caught.value) and key in str(caught.value)
    assert "\n" not in str(caught.value)


def test_flags_take_precedence_over_the_file(tmp_path: Path) -> None:
    file = tmp_path / "daemon.toml"
    file.write_text(VALID)
    assert load_settings(file, {"zone": "other"}).zone == "other"


@pytest.mark.parametrize(
    "arguments",
    [
        ["daemon", "--settings", "missing.toml"],
        ["daemon", "--no-such-flag"],
        ["simulate", "--faults", "gremlins"],
        ["settings", "check", "missing.toml"],
    ],
)
def test_invalid_usage_exits_with_status_two_and_one_line(
    arguments: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.argv", ["troutswitch", *arguments])
    with pytest.raises(SystemExit) as caught:
        command_line.main()
    assert caught.value.code == 2
    assert len(capsys.readouterr().err.strip().splitlines()) == 1


def test_settings_check_accepts_a_valid_file(tmp_path: Path) -> None:
    file = tmp_path / "daemon.toml"
    file.write_text(VALID)
    result = CliRunner().invoke(command_line.cli, ["settings", "check", str(file)])
    assert result.exit_code == 0, result.output
